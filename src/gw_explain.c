/* gw_explain.c - the admin call GET /explain: where a request would go now,
   and why.  Nothing is sent, and no state changes but this page's own. */
#include "gw_gatewayparts.h"
#include "gw_relayparts.h"
#include "targetexplain.h"

#include <jansson.h>
#include <string.h>

#define EXPLAIN_PATH "/explain"

/* Least time between two explanations: each takes as long as a choice among
   all upstreams of a service, on instances with an eighth of a core. */
#define EXPLAIN_INTERVAL_MS 50

/* No explanation is made while more bytes of earlier answers wait for their
   readers; one explanation with 20 candidates has about 5,000. */
#define EXPLAIN_UNREAD_MAX_BYTES 65536

/* Longest text of a caller or of the platform in an explanation. */
#define TEXT_MAX_CHARACTERS 100

/* Highest number of tokens, as in requests. */
#define TOKENS_MAX UINT32_MAX

/* Place of the request among those of its rank, from 0 to 1: it stands for
   half of them.  See BsRelay.yield_draw. */
#define TYPICAL_DRAW 0.5

/* The request to explain. */
typedef struct {
    const char *host;
    const char *path;
    const char *account; /* NULL: none given */
    const char *prompt_tokens;
    const char *output_tokens;
} BsExplainInput;

/* What would become of the request. */
typedef struct {
    const char *decision;
    const char *rule;
    uint32_t status; /* of a rejection; else 0 */
} BsExplainDecision;

/* ------------------------------------------------------------ documents -- */

/* Returns TEXT, cut and made valid for JSON. */
static json_t *
S_text(const char *text)
{
    char *valid = g_utf8_make_valid(text, -1);
    char *cut = g_utf8_substring(
        valid, 0, MIN(g_utf8_strlen(valid, -1), TEXT_MAX_CHARACTERS));
    json_t *json = json_string(cut);
    g_free(valid);
    g_free(cut);
    return json;
}

/* Sends JSON and frees it. */
static void
S_send(BsInbound *inbound, uint32_t status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_REAL_PRECISION(6));
    json_decref(json);
    BsInbound_Answer(inbound, status, "Content-Type: application/json\r\n",
                     text, strlen(text));
    free(text);
}

/* Answers STATUS with ERROR. */
static void
S_fail(BsInbound *inbound, uint32_t status, const char *error)
{
    S_send(inbound, status, json_pack("{s:s}", "error", error));
}

/* Answers STATUS with the error BEFORE 'TEXT' AFTER. */
static void
S_fail_about(BsInbound *inbound, uint32_t status, const char *before,
             const char *text, const char *after)
{
    json_t *quoted = S_text(text);
    char *error = g_strdup_printf("%s '%s' %s", before,
                                  json_string_value(quoted), after);
    S_fail(inbound, status, error);
    g_free(error);
    json_decref(quoted);
}

/* ----------------------------------------------------------- candidates -- */

static json_t *
S_cost(const BsTargetCost *cost)
{
    return json_pack("{s:f, s:f, s:f, s:f, s:f, s:f, s:f}", "work",
                     cost->work_ms, "load", cost->load_ms, "errors",
                     cost->error_ms, "distance", cost->distance_ms, "cold",
                     cost->cold_ms, "limit_check", cost->limit_check_ms,
                     "jitter", cost->jitter_ms);
}

static void
S_add_state(json_t *states, bool holds, const char *name)
{
    if (holds) {
        json_array_append_new(states, json_string(name));
    }
}

/* Returns the states of TARGET; BEST is the first candidate. */
static json_t *
S_states(const BsTargetCandidate *candidate, const BsTarget *best,
         int64_t now_ms)
{
    const BsTarget *target = candidate->target;
    json_t *states = json_array();
    S_add_state(states, target->cold_until_ms > now_ms, "cold");
    S_add_state(states,
                target->retry_at_ms > now_ms ||
                    target->requested_pause_until_ms > now_ms,
                "paused");
    S_add_state(states, target->failures > 0, "failing");
    S_add_state(states, target->silent, "silent");
    S_add_state(states, target->limit.per_s > 0, "limited");
    S_add_state(states, target->draining || target->leaving, "draining");
    S_add_state(states, target->closed, "closed");
    S_add_state(states, target->usable_until_ms != INT64_MAX, "unlisted");
    S_add_state(states, candidate->estimated, "estimated");
    S_add_state(states, target->version_hash != best->version_hash,
                "other_version");
    return states;
}

static json_t *
S_candidate(const BsTargetExplanation *explanation, unsigned index,
            int64_t now_ms)
{
    const BsTargetCandidate *candidate = &explanation->candidates[index];
    const BsTarget *target = candidate->target;
    const BsTargetJudgement *judgement = &candidate->judgement;
    bool eligible = judgement->reason == BS_TARGET_ELIGIBLE;
    json_t *json = json_pack(
        "{s:o, s:b, s:f, s:o, s:I, s:I, s:I, s:o, s:o, s:o}", "upstream",
        S_text(target->id), "eligible", eligible, "cost_ms",
        BsTargetCost_Sum(&judgement->cost), "cost", S_cost(&judgement->cost),
        "own", (json_int_t)target->own, "others", (json_int_t)target->others,
        "slots", (json_int_t)target->slots, "data_centre",
        S_text(target->data_centre), "software", S_text(target->version),
        "states",
        S_states(candidate, explanation->candidates[0].target, now_ms));
    if (!eligible) {
        json_object_set_new(
            json, "reason",
            json_string(BsTargetReason_Name(judgement->reason)));
    }
    if (!target->local) {
        json_object_set_new(json, "load_age_ms",
                            json_integer(explanation->remote_age_ms));
    }
    if (target->last_received_ms > 0) {
        json_object_set_new(json, "answer_age_ms",
                            json_integer(now_ms - target->last_received_ms));
    }
    return json;
}

static json_t *
S_candidates(const BsTargetExplanation *explanation, int64_t now_ms)
{
    json_t *candidates = json_array();
    for (unsigned i = 0; i < explanation->count; i++) {
        json_array_append_new(candidates, S_candidate(explanation, i, now_ms));
    }
    return candidates;
}

/* Returns how many upstreams there are by reason, without reasons of none. */
static json_t *
S_reasons(const BsTargetExplanation *explanation)
{
    json_t *reasons = json_object();
    for (unsigned i = 0; i < BS_TARGET_REASONS; i++) {
        if (explanation->by_reason[i] > 0) {
            json_object_set_new(reasons,
                                BsTargetReason_Name((BsTargetReason)i),
                                json_integer(explanation->by_reason[i]));
        }
    }
    return reasons;
}

/* ------------------------------------------------------------- decision -- */

/* Decides by the upstreams, in the order of BsRelay_Dispatch(). */
static BsExplainDecision
S_decide_by_targets(const BsRelayForecast *forecast,
                    const BsTargetExplanation *explanation)
{
    switch (explanation->verdict) {
    case BS_TARGET_CHOSEN:
        return (BsExplainDecision){
            "sent", explanation->spilled ? "spilled" : "cheapest", 0};
    case BS_TARGET_NONE:
        return (BsExplainDecision){"rejected", "no_upstream", 503};
    default:
        break;
    }
    if (explanation->limit_wait_ms > forecast->queue_ms) {
        return (BsExplainDecision){"rejected", "limited", 503};
    }
    return (BsExplainDecision){
        "queued",
        explanation->verdict == BS_TARGET_COLD ? "limited" : "no_free_slot",
        0};
}

/* Decides in the order of the checks of a new request. */
static BsExplainDecision
S_decide(const BsRelay *relay, const BsRelayForecast *forecast,
         const BsTargetExplanation *explanation)
{
    if (relay->gate->refusing) {
        return (BsExplainDecision){"rejected", "stopping", 503};
    }
    if (!relay->route->keyless && relay->account == NULL) {
        return (BsExplainDecision){"rejected", "unknown_key", 401};
    }
    if (forecast->quota_wait_ms > 0) {
        return (BsExplainDecision){"rejected", "account_limit", 429};
    }
    if (forecast->too_late) {
        return (BsExplainDecision){"rejected", "stopping", 503};
    }
    return S_decide_by_targets(forecast, explanation);
}

/* Adds the decision and the figures behind it to JSON. */
static void
S_add_decision(json_t *json, const BsRelay *relay,
               const BsRelayForecast *forecast,
               const BsTargetExplanation *explanation)
{
    BsExplainDecision decision = S_decide(relay, forecast, explanation);
    json_object_set_new(json, "decision", json_string(decision.decision));
    json_object_set_new(json, "rule", json_string(decision.rule));
    if (decision.status != 0) {
        json_object_set_new(json, "status", json_integer(decision.status));
    }
    else if (explanation->chosen != NULL) {
        json_object_set_new(json, "upstream", S_text(explanation->chosen->id));
    }
    else {
        json_object_set_new(json, "queue_ms",
                            json_integer(forecast->queue_ms));
    }
    if (forecast->quota_wait_ms > 0) {
        json_object_set_new(json, "account_wait_ms",
                            json_integer(forecast->quota_wait_ms));
    }
    if (explanation->limit_wait_ms > 0) {
        bool endless = explanation->limit_wait_ms == INT64_MAX;
        json_object_set_new(
            json, "limit_wait_ms",
            endless ? json_null() : json_integer(explanation->limit_wait_ms));
    }
    json_object_set_new(json, "all_silent",
                        json_boolean(explanation->all_silent));
    json_object_set_new(json, "queued_requests",
                        json_integer(BsWaitQueue_Length(relay->gate->queue)));
    json_object_set_new(json, "yield_share", json_real(forecast->yield_share));
    json_object_set_new(json, "reserved_slots",
                        json_integer(forecast->reserved_slots));
}

/* Evaluates the request RELAY, which is in no table of the gateway. */
static json_t *
S_explain(const BsRelay *relay, int64_t now_ms)
{
    BsRelayForecast forecast;
    BsTargetExplanation explanation;
    BsTargetQuery query;
    BsRelay_Forecast(relay, &forecast);
    BsAttempt_FillQuery(relay, &query);
    query.reserved_slots = forecast.reserved_slots;
    BsTargets_Explain(relay->gate->targets, &query, now_ms, &explanation);
    json_t *json = json_pack(
        "{s:I, s:o, s:o, s:o}", "catalog",
        (json_int_t)BsCatalog_Version(relay->catalog), "route",
        S_text(relay->route->name), "service", S_text(relay->service->name),
        "account",
        relay->account == NULL ? json_null() : S_text(relay->account->name));
    S_add_decision(json, relay, &forecast, &explanation);
    json_object_set_new(json, "upstreams", json_integer(explanation.judged));
    json_object_set_new(json, "reasons", S_reasons(&explanation));
    json_object_set_new(json, "candidates",
                        S_candidates(&explanation, now_ms));
    return json;
}

/* -------------------------------------------------------------- request -- */

/* Returns the service of ROUTE that gets the most requests. */
static const char *
S_main_service(const BsCatalogRoute *route)
{
    const BsCatalogShare *best = NULL;
    for (guint i = 0; i < route->shares->len; i++) {
        const BsCatalogShare *share =
            &g_array_index(route->shares, BsCatalogShare, i);
        if (best == NULL || share->weight > best->weight) {
            best = share;
        }
    }
    return best == NULL ? "" : best->service;
}

/* Sets the token count TEXT, if given, in VALUE.  Returns false after an error
   answer. */
static bool
S_set_tokens(BsInbound *inbound, const char *text, BsRequestInfo *info,
             uint32_t *value)
{
    guint64 number = 0;
    if (text == NULL) {
        return true;
    }
    if (!g_ascii_string_to_unsigned(text, 10, 0, TOKENS_MAX, &number, NULL)) {
        S_fail_about(inbound, 400, "token count", text,
                     "is not a number from 0 to 4294967295");
        return false;
    }
    *value = (uint32_t)number;
    info->has_tokens = true;
    return true;
}

/* Sets route, service and account of RELAY, whose catalog is set.  Returns
   false after an error answer. */
static bool
S_resolve(BsInbound *inbound, const BsExplainInput *input, BsRelay *relay)
{
    char *host = g_ascii_strdown(input->host, -1);
    relay->route = BsCatalog_FindRoute(relay->catalog, host, input->path);
    g_free(host);
    if (relay->route == NULL) {
        S_fail_about(inbound, 404, "no route for the host and path",
                     input->path, "in the configuration in force; check both");
        return false;
    }
    const char *service = S_main_service(relay->route);
    relay->service = BsCatalog_FindService(relay->catalog, service);
    if (relay->service == NULL) {
        S_fail_about(inbound, 404, "unknown service", service,
                     "of the route; publish it in the configuration");
        return false;
    }
    if (input->account == NULL) {
        return true;
    }
    const BsCatalogAccount *account =
        BsCatalog_FindAccount(relay->catalog, input->account);
    if (account == NULL) {
        S_fail_about(inbound, 404, "unknown account", input->account,
                     "in the configuration in force; check the name");
        return false;
    }
    relay->account = relay->route->keyless ? NULL : account;
    return true;
}

static void
S_answer(BsGateway *gateway, BsInbound *inbound, const BsExplainInput *input)
{
    BsGate *gate = &gateway->gate;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsRelay relay = {
        .gate = gate,
        .catalog = gate->catalog,
        .info = {.deadline_ms = -1, .last_event = -1},
        .arrived_ms = now_ms,
        .yield_draw = TYPICAL_DRAW,
    };
    if (!S_set_tokens(inbound, input->prompt_tokens, &relay.info,
                      &relay.info.prompt_tokens) ||
        !S_set_tokens(inbound, input->output_tokens, &relay.info,
                      &relay.info.output_tokens) ||
        !S_resolve(inbound, input, &relay)) {
        return;
    }
    relay.expires_ms = now_ms + relay.route->timeout_ms;
    S_send(inbound, 200, S_explain(&relay, now_ms));
}

/* Sets the member of INPUT that KEY names.  Returns whether there is one. */
static bool
S_set_input(BsExplainInput *input, const char *key, const char *value)
{
    const struct {
        const char *key;
        const char **member;
    } members[] = {
        {"host", &input->host},
        {"path", &input->path},
        {"account", &input->account},
        {"prompt_tokens", &input->prompt_tokens},
        {"output_tokens", &input->output_tokens},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        if (strcmp(key, members[i].key) == 0) {
            *members[i].member = value;
            return true;
        }
    }
    return false;
}

/* Fills INPUT from PARAMETERS.  Returns false after an error answer. */
static bool
S_read_input(BsInbound *inbound, GHashTable *parameters, BsExplainInput *input)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, parameters);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (!S_set_input(input, key, value)) {
            S_fail_about(inbound, 400, "unknown parameter", key,
                         "in the query; use host, path, account, "
                         "prompt_tokens and output_tokens");
            return false;
        }
    }
    if (input->host == NULL || input->path == NULL || input->path[0] != '/') {
        S_fail(inbound, 400,
               "name the request with host=HOST and path=PATH; the path "
               "begins with '/'");
        return false;
    }
    return true;
}

/* Returns whether an explanation may be made now: one at a time, at most every
   EXPLAIN_INTERVAL_MS, and not for clients that do not read. */
static bool
S_may_explain(BsGateway *gateway)
{
    int64_t now_ms = BsClock_NowMs(gateway->gate.clock);
    bool early = gateway->explained_ms != 0 &&
                 now_ms - gateway->explained_ms < EXPLAIN_INTERVAL_MS;
    if (early || BsInboundServer_PendingBytes(gateway->admin) >
                     EXPLAIN_UNREAD_MAX_BYTES) {
        return false;
    }
    gateway->explained_ms = now_ms;
    return true;
}

bool
BsExplainPage_IsFor(const char *target)
{
    size_t length = strlen(EXPLAIN_PATH);
    return strncmp(target, EXPLAIN_PATH, length) == 0 &&
           (target[length] == '\0' || target[length] == '?');
}

void
BsExplainPage_Answer(BsGateway *gateway, BsInbound *inbound,
                     const char *target)
{
    const char *mark = strchr(target, '?');
    BsExplainInput input = {0};
    if (!S_may_explain(gateway)) {
        BsCounters_Add(gateway->gate.counters, "explanations_denied_total", 1);
        S_fail(inbound, 503,
               "another explanation was made in the last 50 ms, or is not "
               "read yet; try again");
        return;
    }
    BsCounters_Add(gateway->gate.counters, "explanations_total", 1);
    if (gateway->gate.catalog == NULL) {
        S_fail(inbound, 503,
               "no configuration is in force; check that the store is up");
        return;
    }
    GHashTable *parameters = g_uri_parse_params(
        mark == NULL ? "" : mark + 1, -1, "&", G_URI_PARAMS_WWW_FORM, NULL);
    if (parameters == NULL) {
        S_fail(inbound, 400, "the query is no list of KEY=VALUE, escaped");
        return;
    }
    if (S_read_input(inbound, parameters, &input)) {
        S_answer(gateway, inbound, &input);
    }
    g_hash_table_destroy(parameters);
}
