/* d_reply.c - error bodies and common headers of responses to callers. */
#include "d_reply.h"

#include <jansson.h>
#include <string.h>

const char *
BsReply_OutcomeName(uint32_t outcome)
{
    switch (outcome) {
    case BS_OUTCOME_RAN:
        return "ran";
    case BS_OUTCOME_NOT_RUN:
        return "not-run";
    default:
        return "unknown";
    }
}

char *
BsReply_FormatError(BsErrorKind error, const char *detail, uint32_t outcome,
                    const char *request_id)
{
    const BsErrorText *text = BsError_Describe(error);
    char *message = detail == NULL
                        ? g_strdup(text->message)
                        : g_strdup_printf("%s: %s", text->message, detail);
    char *valid = g_utf8_make_valid(message, -1);
    json_t *json = json_pack(
        "{s:{s:s, s:s, s:s, s:s, s:s?}}", "error", "type", text->name,
        "message", valid, "remedy", text->remedy, "outcome",
        BsReply_OutcomeName(outcome), "request_id", request_id);
    char *dump = json_dumps(json, JSON_COMPACT);
    char *copy = g_strdup(dump);
    free(dump);
    json_decref(json);
    g_free(valid);
    g_free(message);
    return copy;
}

void
BsReply_AddHeader(struct MHD_Response *response, const char *name,
                  const char *value)
{
    if (value == NULL || value[0] == '\0') {
        return;
    }
    for (const char *c = value; *c != '\0'; c++) {
        if (g_ascii_iscntrl(*c)) {
            return;
        }
    }
    MHD_add_response_header(response, name, value);
}

void
BsReply_AddNumber(struct MHD_Response *response, const char *name,
                  uint32_t number)
{
    char text[16];
    g_snprintf(text, sizeof(text), "%u", number);
    BsReply_AddHeader(response, name, text);
}

void
BsReply_AddOutcome(struct MHD_Response *response, uint32_t outcome)
{
    if (outcome != BS_OUTCOME_NONE) {
        BsReply_AddHeader(response, "Boragespur-Outcome",
                          BsReply_OutcomeName(outcome));
    }
}
