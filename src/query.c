/* query.c - answers to queries of operators and callers. */
#include "query.h"

#include "entry.h"
#include "explain.h"
#include "keeper.h"
#include "once.h"
#include "poison.h"
#include "run.h"
#include "sheetstore.h"
#include "stop.h"
#include "tally.h"
#include "ticket.h"
#include "token.h"

#include <jansson.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_NOT_READY 503

typedef struct {
    const char *what;
    /* Returns the body and sets STATUS. */
    GBytes *(*answer)(BsCore *core, const BsQuery *query, uint32_t *status);
} BsQueryRow;

/* Returns the text of JSON as bytes; takes over the reference to JSON. */
static GBytes *
S_to_bytes(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(json);
    GBytes *bytes = g_bytes_new(text, strlen(text));
    free(text);
    return bytes;
}

static bool
S_is_ready(const BsCore *core)
{
    return BsCore_Sheet(core) != NULL &&
           BsMembers_List(core->members) != NULL &&
           !BsStop_IsActive(core->stop);
}

static GBytes *
S_answer_ready(BsCore *core, const BsQuery *query, uint32_t *status)
{
    (void)query;
    bool ready = S_is_ready(core);
    *status = ready ? STATUS_OK : STATUS_NOT_READY;
    return S_to_bytes(json_pack("{s:b}", "ready", ready));
}

static GBytes *
S_answer_status(BsCore *core, const BsQuery *query, uint32_t *status)
{
    (void)query;
    *status = STATUS_OK;
    return S_to_bytes(json_pack(
        "{s:s, s:s, s:s, s:b, s:I, s:I, s:i}", "instance", core->config.name,
        "data_centre", core->config.data_centre, "version", BS_VERSION,
        "ready", S_is_ready(core), "sheet_revision",
        (json_int_t)BsSheetStore_Revision(core->sheets), "list_revision",
        (json_int_t)BsMembers_Revision(core->members), "requests",
        (int)BsEntry_Count(core->entry)));
}

static GBytes *
S_answer_metrics(BsCore *core, const BsQuery *query, uint32_t *status)
{
    (void)query;
    GString *out = g_string_new(NULL);
    BsCounters_Set(core->counters, "sheet_revision",
                   BsSheetStore_Revision(core->sheets));
    BsCounters_Set(core->counters, "list_revision",
                   BsMembers_Revision(core->members));
    BsCounters_Set(core->counters, "requests_open",
                   BsEntry_Count(core->entry) + BsOnce_Count(core->once));
    BsCounters_Set(core->counters, "records",
                   BsKeeper_CountRecords(core->keeper));
    BsCounters_Set(core->counters, "runs", BsRuns_Count(core->runs));
    BsCounters_Set(core->counters, "suspects", BsPoison_Count(core->poison));
    BsTally_Refresh(core);
    BsCounters_Format(core->counters, out);
    *status = STATUS_OK;
    return g_string_free_to_bytes(out);
}

static GBytes *
S_answer_models(BsCore *core, const BsQuery *query, uint32_t *status)
{
    (void)query;
    const BsSheet *sheet = BsCore_Sheet(core);
    json_t *rows = json_array();
    *status = sheet == NULL ? STATUS_NOT_READY : STATUS_OK;
    if (sheet != NULL) {
        const BsSheetData *data = BsSheet_Data(sheet);
        for (unsigned i = 0; i < data->models_count; i++) {
            json_array_append_new(rows, json_pack("{s:s, s:s, s:s}", "id",
                                                  data->models[i].name,
                                                  "object", "model", "version",
                                                  data->models[i].version));
        }
    }
    return S_to_bytes(json_pack("{s:s, s:o}", "object", "list", "data", rows));
}

static GBytes *
S_answer_ticket(BsCore *core, const BsQuery *query, uint32_t *status)
{
    const BsSheet *sheet = BsCore_Sheet(core);
    char *account =
        sheet == NULL || query->token == NULL
            ? NULL
            : BsToken_Resolve(sheet, core->config.secret, query->token);
    char *ticket = account == NULL ? NULL : BsTicket_Issue(core, account);
    json_t *body = NULL;
    if (account == NULL) {
        *status = STATUS_UNAUTHORIZED;
        body = json_pack("{s:s}", "error",
                         BsError_Describe(BS_ERR_UNAUTHORIZED)->name);
    }
    else if (ticket == NULL || BsStop_IsActive(core->stop)) {
        *status = STATUS_NOT_READY;
        body = json_pack("{s:s}", "error",
                         BsError_Describe(BS_ERR_NOT_READY)->name);
    }
    else {
        *status = STATUS_OK;
        body = json_pack("{s:s, s:I}", "ticket", ticket, "valid_ms",
                         (json_int_t)core->config.resend_window_ms);
    }
    g_free(ticket);
    g_free(account);
    return S_to_bytes(body);
}

static const BsQueryRow S_rows[] = {
    {"ticket", S_answer_ticket}, {"ready", S_answer_ready},
    {"status", S_answer_status}, {"metrics", S_answer_metrics},
    {"models", S_answer_models},
};

void
BsQuery_Handle(BsCore *core, const BsMessage *message)
{
    const BsQuery *query = &message->u.query;
    if (BsExplain_OnQuery(core->explain, message)) {
        return;
    }
    BsMessage *reply = BsMessage_Create(BS_QUERY_REPLY);
    reply->u.reply.query_id = g_strdup(query->query_id);
    for (size_t i = 0; i < G_N_ELEMENTS(S_rows); i++) {
        if (g_strcmp0(query->what, S_rows[i].what) == 0) {
            reply->u.reply.body =
                S_rows[i].answer(core, query, &reply->u.reply.status);
        }
    }
    if (reply->u.reply.body == NULL) {
        reply->u.reply.status = STATUS_NOT_FOUND;
        reply->u.reply.body = S_to_bytes(json_pack(
            "{s:s}", "error", BsError_Describe(BS_ERR_NOT_FOUND)->name));
    }
    BsCore_Emit(core, reply);
}
