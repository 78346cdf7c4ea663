/* run.c - the owner's table of runs of non-idempotent requests. */
#include "run.h"

#include <syslog.h>

#define DOUBLE_RUNS "double_runs_seen"

/* Time between searches for expired runs. */
#define EXPIRE_INTERVAL_MS 5000

/* Number of leases for which a finished answer is kept. */
#define ANSWER_LEASES 4

/* Stored answers may use 1 / ANSWER_SHARE of the memory for request bodies. */
#define ANSWER_SHARE 8

typedef enum { RUN_QUEUED, RUN_DISPATCHED, RUN_REFUSED, RUN_ENDED } BsRunState;

typedef struct {
    char *account;
    char *key;
    char *body_hash;
    char *run_id;
    char *keeper;
    uint64_t keeper_incarnation;
    GPtrArray *pieces; /* BsMessage as sent to the keeper */
    uint64_t bytes;
    int64_t changed_ms;
    uint32_t attempt;
    BsRunState state;
    BsOutcome outcome;
    bool answer_lost;
    BsRuns *runs;
} BsRun;

struct BsRuns {
    BsCore *core;
    GHashTable *runs;       /* keeper incarnation and run id to BsRun */
    GHashTable *ran;        /* set of account, key and body hash that ran */
    GHashTable *dispatched; /* account and key to the BsRun dispatched last */
    uint64_t bytes;
    int64_t expired_ms;
};

/* Returns an id of the work of RUN that does not depend on its keeper, or NULL
   when the key is not known; g_free() it. */
static char *
S_scope(const BsRun *run)
{
    return run->account == NULL || run->key == NULL
               ? NULL
               : g_strdup_printf("%s\n%s", run->account, run->key);
}

static void
S_forget_dispatch(BsRun *run)
{
    char *scope = S_scope(run);
    if (scope != NULL &&
        g_hash_table_lookup(run->runs->dispatched, scope) == run) {
        g_hash_table_remove(run->runs->dispatched, scope);
    }
    g_free(scope);
}

static void
S_destroy_run(void *data)
{
    BsRun *run = data;
    S_forget_dispatch(run);
    g_free(run->account);
    g_free(run->key);
    g_free(run->body_hash);
    g_free(run->run_id);
    g_free(run->keeper);
    g_ptr_array_unref(run->pieces);
    g_free(run);
}

BsRuns *
BsRuns_Create(BsCore *core)
{
    BsRuns *runs = g_new0(BsRuns, 1);
    runs->core = core;
    runs->runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_destroy_run);
    runs->ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    runs->dispatched =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    BsCore_Count(core, DOUBLE_RUNS, 0);
    return runs;
}

void
BsRuns_Destroy(BsRuns *runs)
{
    if (runs == NULL) {
        return;
    }
    g_hash_table_destroy(runs->ran);
    g_hash_table_destroy(runs->runs);
    g_hash_table_destroy(runs->dispatched);
    g_free(runs);
}

uint32_t
BsRuns_Count(const BsRuns *runs)
{
    return g_hash_table_size(runs->runs);
}

static char *
S_name(uint64_t incarnation, const char *run_id)
{
    return g_strdup_printf("%" G_GINT64_MODIFIER "x %s", incarnation, run_id);
}

static BsRun *
S_find(const BsRuns *runs, uint64_t incarnation, const char *run_id)
{
    char *name = S_name(incarnation, run_id);
    BsRun *run = g_hash_table_lookup(runs->runs, name);
    g_free(name);
    return run;
}

static BsRun *
S_add(BsRuns *runs, const BsMessage *message, const char *run_id)
{
    BsRun *run = g_new0(BsRun, 1);
    run->runs = runs;
    run->run_id = g_strdup(run_id);
    run->keeper = g_strdup(message->from);
    run->keeper_incarnation = message->from_incarnation;
    run->pieces =
        g_ptr_array_new_with_free_func((GDestroyNotify)BsMessage_Destroy);
    run->changed_ms = BsCore_NowMs(runs->core);
    g_hash_table_insert(runs->runs, S_name(run->keeper_incarnation, run_id),
                        run);
    return run;
}

static void
S_refuse(BsRuns *runs, const BsMessage *message, const char *run_id,
         uint32_t attempt, BsErrorKind error)
{
    BsMessage *answer = BsCore_CreateError(BS_ANSWER, run_id, attempt, error,
                                           BS_OUTCOME_NOT_RUN);
    answer->u.answer.to_stage = BS_STAGE_KEEPER;
    BsCore_Send(runs->core, message->from, message->from_incarnation, answer);
}

static void
S_accept(BsRuns *runs, const BsMessage *message)
{
    BsMessage *accept = BsMessage_Create(BS_ACCEPT);
    accept->u.accept.request_id = g_strdup(message->u.request.request_id);
    accept->u.accept.attempt = message->u.request.attempt;
    accept->u.accept.to_stage = message->u.request.from_stage;
    BsCore_Send(runs->core, message->from, message->from_incarnation, accept);
}

/* Sends the pieces of the answer of RUN that the keeper does not have. */
static void
S_resume(BsRuns *runs, const BsRun *run, const BsMessage *message)
{
    uint64_t from = message->u.request.from_piece;
    S_accept(runs, message);
    if (run->answer_lost && run->state == RUN_ENDED) {
        BsMessage *answer =
            BsCore_CreateError(BS_ANSWER, run->run_id, run->attempt,
                               BS_ERR_ANSWER_LOST, run->outcome);
        answer->u.answer.to_stage = BS_STAGE_KEEPER;
        answer->u.answer.seq = from;
        BsCore_Send(runs->core, message->from, message->from_incarnation,
                    answer);
        return;
    }
    for (uint64_t i = from; !run->answer_lost && i < run->pieces->len; i++) {
        BsCore_Send(runs->core, message->from, message->from_incarnation,
                    BsMessage_Copy(run->pieces->pdata[i]));
    }
}

/* Handles another forward of RUN; returns whether to queue it. */
static bool
S_admit_known(BsRuns *runs, BsRun *run, const BsMessage *forward)
{
    const BsRequest *request = &forward->u.request;
    if (run->state == RUN_REFUSED && request->attempt <= run->attempt) {
        S_refuse(runs, forward, run->run_id, request->attempt,
                 BS_ERR_CANCELLED);
        return false;
    }
    if (run->state != RUN_REFUSED) {
        S_accept(runs, forward);
        return false;
    }
    run->attempt = request->attempt;
    run->state = RUN_QUEUED;
    g_ptr_array_set_size(run->pieces, 0);
    return true;
}

bool
BsRuns_Admit(BsRuns *runs, const BsMessage *forward)
{
    const BsRequest *request = &forward->u.request;
    if (request->request_id == NULL) {
        BsCore_Count(runs->core, "peer_messages_dropped", 1);
        return false;
    }
    BsRun *run = S_find(runs, forward->from_incarnation, request->request_id);
    if (request->resume) {
        if (run != NULL) {
            S_resume(runs, run, forward);
        }
        return false;
    }
    if (run != NULL) {
        return S_admit_known(runs, run, forward);
    }
    if (BsRuns_Count(runs) >= runs->core->config.record_limit) {
        BsCore_Count(runs->core, "run_table_full", 1);
        S_refuse(runs, forward, request->request_id, request->attempt,
                 BS_ERR_MEMORY_FULL);
        return false;
    }
    run = S_add(runs, forward, request->request_id);
    run->account = g_strdup(request->account);
    run->key = g_strdup(request->key);
    run->body_hash = g_strdup(request->body_hash);
    run->attempt = request->attempt;
    return true;
}

void
BsRuns_OnRepeat(BsRuns *runs, const BsMessage *forward)
{
    const BsRequest *request = &forward->u.request;
    const BsRun *run =
        request->request_id == NULL
            ? NULL
            : S_find(runs, forward->from_incarnation, request->request_id);
    if (run != NULL && run->attempt == request->attempt) {
        S_resume(runs, run, forward);
    }
}

/* Counts and logs RUN if its work was already dispatched for another run. */
static void
S_count_double_run(BsRuns *runs, BsRun *run)
{
    char *scope = S_scope(run);
    if (scope == NULL) {
        return;
    }
    const BsRun *prior = g_hash_table_lookup(runs->dispatched, scope);
    if (prior != NULL && prior != run && prior->state != RUN_REFUSED) {
        BsCore_Count(runs->core, DOUBLE_RUNS, 1);
        BsCore_Log(runs->core, LOG_CRIT,
                   "key %s of account %s ran twice: for %s and for %s",
                   run->key, run->account, prior->keeper, run->keeper);
    }
    g_hash_table_insert(runs->dispatched, scope, run);
}

void
BsRuns_OnDispatch(BsRuns *runs, const BsMessage *forward)
{
    BsRun *run =
        S_find(runs, forward->from_incarnation, forward->u.request.request_id);
    if (run != NULL) {
        run->state = RUN_DISPATCHED;
        run->changed_ms = BsCore_NowMs(runs->core);
        S_count_double_run(runs, run);
    }
}

static void
S_drop_answer(BsRuns *runs, BsRun *run)
{
    runs->bytes -= run->bytes;
    run->bytes = 0;
    run->answer_lost = true;
    g_ptr_array_set_size(run->pieces, 0);
}

static char *
S_name_work(const char *account, const char *key, const char *body_hash)
{
    return g_strdup_printf("%s\n%s\n%s", account, key, body_hash);
}

bool
BsRuns_HasRun(const BsRuns *runs, const char *account, const char *key,
              const char *body_hash)
{
    char *name = S_name_work(account, key, body_hash);
    bool has = g_hash_table_contains(runs->ran, name);
    g_free(name);
    return has;
}

static void
S_end(BsRuns *runs, BsRun *run, const BsAnswer *last)
{
    bool refused = last->outcome == BS_OUTCOME_NOT_RUN;
    run->state = refused ? RUN_REFUSED : RUN_ENDED;
    run->outcome = last->outcome;
    if (run->outcome == BS_OUTCOME_NONE) {
        run->outcome =
            last->error == BS_ERR_NONE ? BS_OUTCOME_RAN : BS_OUTCOME_UNKNOWN;
    }
    if (run->outcome == BS_OUTCOME_RAN) {
        g_hash_table_add(runs->ran,
                         S_name_work(run->account, run->key, run->body_hash));
    }
}

void
BsRuns_Keep(BsRuns *runs, const BsMessage *forward, const BsMessage *piece)
{
    const BsAnswer *answer = &piece->u.answer;
    BsRun *run =
        S_find(runs, forward->from_incarnation, forward->u.request.request_id);
    if (run == NULL || run->attempt != forward->u.request.attempt) {
        return;
    }
    run->changed_ms = BsCore_NowMs(runs->core);
    if (answer->final) {
        S_end(runs, run, answer);
    }
    if (run->answer_lost) {
        return;
    }
    uint64_t bytes =
        sizeof(*piece) +
        (answer->data == NULL ? 0 : g_bytes_get_size(answer->data));
    g_ptr_array_add(run->pieces, BsMessage_Copy(piece));
    run->bytes += bytes;
    runs->bytes += bytes;
    if (runs->bytes > runs->core->config.queue_bytes / ANSWER_SHARE) {
        S_drop_answer(runs, run);
    }
}

bool
BsRuns_OnCancel(BsRuns *runs, const BsMessage *message)
{
    const BsCancel *cancel = &message->u.cancel;
    if (cancel->request_id == NULL) {
        return false;
    }
    BsRun *run = S_find(runs, message->from_incarnation, cancel->request_id);
    if (run != NULL) {
        return run->state == RUN_QUEUED && run->attempt <= cancel->attempt;
    }
    if (BsRuns_Count(runs) >= runs->core->config.record_limit) {
        return false;
    }
    run = S_add(runs, message, cancel->request_id);
    run->attempt = cancel->attempt;
    run->state = RUN_REFUSED;
    run->outcome = BS_OUTCOME_NOT_RUN;
    S_refuse(runs, message, cancel->request_id, cancel->attempt,
             BS_ERR_CANCELLED);
    return false;
}

static BsNote *
S_create_note(const BsRuns *runs, const BsRun *run)
{
    BsNote *note = g_new0(BsNote, 1);
    note->account = g_strdup(run->account);
    note->key = g_strdup(run->key);
    note->body_hash = g_strdup(run->body_hash);
    note->request_id = g_strdup(run->run_id);
    note->keeper = g_strdup(run->keeper);
    note->keeper_incarnation = run->keeper_incarnation;
    note->state =
        run->state == RUN_ENDED ? BS_RECORD_FINISHED : BS_RECORD_DISPATCHED;
    note->outcome = run->outcome;
    note->age_ms = BsCore_NowMs(runs->core) - run->changed_ms;
    return note;
}

void
BsRuns_AppendNotes(const BsRuns *runs, const char *instance, GPtrArray *notes)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, runs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsRun *run = value;
        if (run->key == NULL || run->state == RUN_REFUSED) {
            continue;
        }
        const char *keeper =
            BsMembers_KeeperOf(runs->core->members, run->account, run->key);
        if (g_strcmp0(keeper, instance) == 0) {
            g_ptr_array_add(notes, S_create_note(runs, run));
        }
    }
}

void
BsRuns_OnTick(BsRuns *runs)
{
    const BsCoreConfig *config = &runs->core->config;
    int64_t now_ms = BsCore_NowMs(runs->core);
    if (now_ms - runs->expired_ms < EXPIRE_INTERVAL_MS) {
        return;
    }
    runs->expired_ms = now_ms;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, runs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsRun *run = value;
        int64_t age_ms = now_ms - run->changed_ms;
        bool ended = run->state == RUN_ENDED || run->state == RUN_REFUSED;
        if (ended && age_ms > config->resend_window_ms) {
            char *name = S_name_work(run->account, run->key, run->body_hash);
            g_hash_table_remove(runs->ran, name);
            g_free(name);
            S_drop_answer(runs, run);
            g_hash_table_iter_remove(&iter);
        }
        else if (run->state == RUN_ENDED && !run->answer_lost &&
                 age_ms > ANSWER_LEASES * config->lease_ms) {
            S_drop_answer(runs, run);
        }
    }
}
