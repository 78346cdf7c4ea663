/* soak_callers.c - simulated callers that keep connections open and check
 * every answer. */
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest time past the deadline that a request may be unanswered. */
#define LATE_MS 1500

/* A caller leaves a stream after a pause of this length; follows from the
   configuration in main_soak.c. */
#define PAUSE_MAX_MS 2000

/* Age at which a gateway is taken to have read a request that reached no
   upstream. */
#define READ_MS 1000

/* Tolerance when times are compared with those of a gateway. */
#define SLACK_MS 50

/* Prompt parts of runs in which one of them is deadly. */
#define SOUND_PARTS 3
#define DEADLY_PART 0xdead
#define OWN_PARTS 0x100000

/* Time without trouble before a request that silences may not end. */
#define STABLE_MS 4000

/* Of streams in runs with releases, the connections of one in CUT_ONE_IN break
   off. */
#define CUT_ONE_IN 2
#define CUT_MIN_MS 200
#define CUT_MAX_MS 1200

typedef struct {
    Soak *soak;
    SoakRequest *request;
    BsOutbound *call;
    GString *body;
    char *signature;
    bool mismatched;
    bool stopping;       /* sent while the gateway was in a planned stop */
    int64_t received_ms; /* when bytes of the answer last came, or it was
                            sent */
    int64_t pause_ms;    /* longest time without bytes */
    ev_timer limit;
    ev_timer cut; /* the caller's connection breaks */
} Call;

static BsOutboundPool *S_pool;
static ev_timer S_timer;
static ev_timer S_deadly_timer;
static unsigned S_serial;
static GHashTable *S_calls; /* set of Call */

static void
S_free_call(gpointer data)
{
    Call *call = data;
    ev_timer_stop(call->soak->loop, &call->limit);
    ev_timer_stop(call->soak->loop, &call->cut);
    BsOutbound_Cancel(call->call);
    g_string_free(call->body, TRUE);
    g_free(call->signature);
    g_free(call);
}

static bool
S_is_stream(const SoakRequest *request)
{
    return request->kind == SOAK_STREAM || request->kind == SOAK_ONCE;
}

static GString *
S_expected_body(const SoakRequest *request, unsigned events)
{
    GString *body = g_string_new(NULL);
    if (!S_is_stream(request)) {
        g_string_append_printf(body, "body of %s", request->id);
        return body;
    }
    for (unsigned i = request->first_event; i < events; i++) {
        g_string_append_printf(body, "id: %u\ndata: %s", i, request->id);
        if (request->stream.version > 0) {
            g_string_append_printf(body, " v%u", request->stream.version);
        }
        g_string_append(body, "\n\n");
    }
    return body;
}

/* Returns whether an upstream was silent since the request was sent. */
static bool
S_met_silence(const Call *call)
{
    const Soak *soak = call->soak;
    return !call->request->deadly &&
           (soak->silent_count > 0 ||
            soak->silent_ms >= call->request->sent_ms);
}

/* Notes that bytes of the answer came, or its end. */
static void
S_note_received(Call *call)
{
    int64_t now_ms = Soak_NowMs(call->soak);
    call->pause_ms = MAX(call->pause_ms, now_ms - call->received_ms);
    call->received_ms = now_ms;
}

/* Checks a complete answer. */
static void
S_check_answer(Call *call)
{
    Soak *soak = call->soak;
    SoakRequest *request = call->request;
    request->answered = true;
    request->answered_ms = Soak_NowMs(soak);
    if (request->status >= 502 && request->status <= 504 &&
        S_met_silence(call)) {
        soak->failed_in_silence[request->status - 502]++;
    }
    if (request->status == 429 || request->status == 503 ||
        request->status == 408 || request->status == 421) {
        request->refused = true;
        bool once = request->kind == SOAK_UNSAFE || request->kind == SOAK_ONCE;
        if (once && request->runs > 0) {
            Soak_Violation(soak, "not run", "%s was answered %d and has run",
                           request->id, request->status);
        }
        return;
    }
    if (request->status != 200) {
        return;
    }
    GString *expected = S_expected_body(request, soak->events);
    char *signature = g_strdup_printf("sig-%s", request->id);
    if (request->joined) {
        g_free(signature);
        g_string_free(expected, TRUE);
        return;
    }
    if (call->mismatched || g_strcmp0(call->signature, signature) != 0 ||
        !g_string_equal(call->body, expected)) {
        Soak_Violation(soak, S_is_stream(request) ? "order" : "whole",
                       "%s got %s: %.200s", request->id,
                       call->signature == NULL ? "no signature"
                                               : call->signature,
                       call->body->str);
    }
    soak->answered_good++;
    soak->answered_after_faults[request->kind] += soak->faults_ended;
    g_free(signature);
    g_string_free(expected, TRUE);
}

/* Reports a request that ended without a complete answer although its gateway
   was in a planned stop without any other fault. */
static void
S_check_unanswered(Call *call, BsOutboundEnd end)
{
    Soak *soak = call->soak;
    SoakRequest *request = call->request;
    bool must_answer =
        call->stopping && SoakFleet_IsStopping(request->gateway) &&
        soak->faults_ended && request->runs > 0 && !S_is_stream(request);
    if (must_answer && end != BS_OUTBOUND_UNSENT) {
        Soak_Violation(soak, "stop", "%s ended without an answer",
                       request->id);
    }
}

/* Returns whether the caller of a stream would have left, however long the
   gateway had waited: its upstream, if any, still says nothing. */
static bool
S_would_leave(const Call *call)
{
    const SoakRequest *request = call->request;
    bool silent =
        request->upstream == NULL ||
        Soak_NowMs(call->soak) -
                SoakProxy_SilentMs(SoakUpstream_Proxy(request->upstream)) <=
            SLACK_MS;
    return S_is_stream(request) && silent &&
           call->pause_ms >= PAUSE_MAX_MS - SLACK_MS;
}

/* Returns whether something else than a silence may end the request without a
   complete answer. */
static bool
S_is_excused(const Call *call, int64_t age_ms)
{
    const SoakRequest *request = call->request;
    bool unread = request->runs == 0 && age_ms < READ_MS;
    return unread || S_would_leave(call) ||
           age_ms >= call->soak->deadline_ms - SLACK_MS ||
           SoakFleet_IsGraceOver(request->gateway) ||
           call->soak->trouble_ms > request->sent_ms - STABLE_MS;
}

/* Reports a request that ended without a complete answer although nothing but
   silences and planned work happened; only logs one that is excused. */
static void
S_check_silence(Call *call)
{
    const SoakRequest *request = call->request;
    int64_t age_ms = Soak_NowMs(call->soak) - request->sent_ms;
    if (!S_met_silence(call)) {
        return;
    }
    call->soak->cut_in_silence++;
    char *text = g_strdup_printf(
        "%s (%s) at gateway %u%s was cut after %d ms, status %d, %u bytes, "
        "longest pause %d ms, %u runs",
        request->id, SoakLoad_Name(request->kind), request->gateway,
        SoakFleet_IsStopping(request->gateway) ? ", stopping," : "",
        (int)age_ms, request->status, (unsigned)call->body->len,
        (int)call->pause_ms, request->runs);
    if (S_is_excused(call, age_ms)) {
        Soak_Log(call->soak, "excused: %s", text);
    }
    else {
        Soak_Violation(call->soak, "silence", "%s", text);
    }
    g_free(text);
}

static void
S_on_head(const BsHttpHead *head, void *context)
{
    Call *call = context;
    S_note_received(call);
    const char *id = BsHttpHead_Find(head, "Request-Id");
    call->request->status = (int)head->status;
    call->signature = g_strdup(BsHttpHead_Find(head, "Response-Signature"));
    call->mismatched = id == NULL || strcmp(id, call->request->id) != 0;
}

static void
S_on_body(const char *data, size_t size_bytes, void *context)
{
    S_note_received(context);
    g_string_append_len(((Call *)context)->body, data, (gssize)size_bytes);
}

static void
S_on_end(BsOutboundEnd end, void *context)
{
    Call *call = context;
    call->call = NULL;
    S_note_received(call);
    SoakVersions_NoteEnd(call->soak->versions, call->request, call->body->str);
    if (end == BS_OUTBOUND_DONE) {
        S_check_answer(call);
    }
    else {
        S_check_unanswered(call, end);
    }
    if (end != BS_OUTBOUND_DONE && end != BS_OUTBOUND_UNSENT) {
        call->request->cut = true;
        S_check_silence(call);
    }
    g_hash_table_remove(S_calls, call);
}

static const BsOutboundEvents S_events = {
    .on_head = S_on_head,
    .on_body = S_on_body,
    .on_end = S_on_end,
};

/* Cancels a call; a settled gateway must have answered it by now. */
static void
S_on_limit(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Call *call = watcher->data;
    const SoakRequest *request = call->request;
    if (Soak_IsSettled(call->soak, request->gateway) &&
        !SoakFleet_IsStopping(request->gateway)) {
        Soak_Violation(call->soak, "service", "%s was not answered in time",
                       request->id);
    }
    SoakVersions_NoteEnd(call->soak->versions, call->request, call->body->str);
    g_hash_table_remove(S_calls, call);
}

/* Breaks the connection of a call off. */
static void
S_on_cut(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Call *call = watcher->data;
    call->request->cut = true;
    SoakVersions_NoteEnd(call->soak->versions, call->request, call->body->str);
    g_hash_table_remove(S_calls, call);
}

/* Lets the connections of some streams break off while upstreams change. */
static void
S_draw_cut(Call *call)
{
    Soak *soak = call->soak;
    ev_timer_init(&call->cut, S_on_cut, 0, 0);
    call->cut.data = call;
    if (soak->release_pause_ms > 0 && call->request->kind == SOAK_STREAM &&
        g_rand_int_range(soak->failure_random, 0, CUT_ONE_IN) == 0) {
        gint32 cut_ms =
            g_rand_int_range(soak->failure_random, CUT_MIN_MS, CUT_MAX_MS + 1);
        ev_timer_set(&call->cut, cut_ms / 1000.0, 0);
        ev_timer_start(soak->loop, &call->cut);
    }
}

/* Adds the parts of the prompt: two that many requests share, of which the
   second may be deadly, and one of the request's own. */
static void
S_add_parts(const SoakRequest *request, GString *text)
{
    unsigned number = (unsigned)strtoul(request->id + 1, NULL, 10);
    unsigned second = request->deadly ? DEADLY_PART : number % SOUND_PARTS;
    g_string_append_printf(text, "Prompt-Prefix: 5a:20,%x:20,%x:10\r\n",
                           second, OWN_PARTS + number);
}

static GString *
S_message(const Soak *soak, const SoakRequest *request)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "POST /%s/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
        "Deadline-Ms: %d\r\nApi-Key: key-%u\r\nToken-Usage: 50,10\r\n",
        SoakLoad_Name(request->kind), request->id, soak->deadline_ms,
        request->key);
    if (request->stream.tries > 0) {
        g_string_append_printf(text, "Last-Event-Id: %u\r\nResumes: %s\r\n",
                               request->first_event - 1,
                               request->stream.first_id);
    }
    if (soak->deadly_part) {
        S_add_parts(request, text);
        g_string_append_printf(text, "Content-Length: %zu\r\n\r\n%s",
                               strlen(request->id), request->id);
        return text;
    }
    g_string_append_printf(text, "Content-Length: 4\r\n\r\n%s",
                           request->deadly ? "dies" : "body");
    return text;
}

static SoakRequest *
S_create_request(Soak *soak)
{
    SoakRequest *request = g_new0(SoakRequest, 1);
    snprintf(request->id, sizeof(request->id), "r%u", ++S_serial);
    request->kind = (SoakKind)Soak_RandomInt(soak, 0, 3);
    /* Some callers still use a revoked key. */
    unsigned oldest =
        soak->first_valid_key > 1 ? soak->first_valid_key - 1 : 0;
    request->key = (unsigned)Soak_RandomInt(soak, (int)oldest,
                                            (int)soak->first_valid_key + 2);
    request->gateway =
        (unsigned)Soak_RandomInt(soak, 0, (int)soak->gateway_count - 1);
    request->sent_ms = Soak_NowMs(soak);
    g_hash_table_insert(soak->requests, request->id, request);
    SoakRepeats_NoteSent(soak->repeats);
    return request;
}

/* Creates a deadly request, with a valid key. */
static SoakRequest *
S_create_deadly(Soak *soak)
{
    SoakRequest *request = g_new0(SoakRequest, 1);
    snprintf(request->id, sizeof(request->id), "d%u", ++S_serial);
    request->deadly = true;
    request->kind = !soak->deadly_part  ? SOAK_SAFE
                    : S_serial % 2 == 0 ? SOAK_STREAM
                                        : SOAK_ONCE;
    request->key = soak->first_valid_key + 1;
    request->gateway = (unsigned)g_rand_int_range(soak->deadly_random, 0,
                                                  (gint32)soak->gateway_count);
    request->sent_ms = Soak_NowMs(soak);
    g_hash_table_insert(soak->requests, request->id, request);
    SoakRepeats_NoteSent(soak->repeats);
    return request;
}

static void
S_send(Soak *soak, SoakRequest *request)
{
    Call *call = g_new0(Call, 1);
    char owner[16];
    snprintf(owner, sizeof(owner), "gw-%u", request->gateway);
    BsOutboundRequest outbound = {
        .owner = owner,
        .message = S_message(soak, request),
        .reuse_idle_ms = 60000,
        .connect_timeout_ms = 1000,
    };
    Soak_Address(soak, request->gateway, SOAK_CALLERS_PORT, &outbound.address);
    call->soak = soak;
    call->request = request;
    call->body = g_string_new(NULL);
    call->received_ms = request->sent_ms;
    call->stopping = SoakFleet_IsStopping(request->gateway);
    SoakVersions_NoteSent(soak->versions, request);
    call->call = BsOutbound_Start(S_pool, &outbound, &S_events, call);
    ev_timer_init(&call->limit, S_on_limit,
                  (soak->deadline_ms + LATE_MS) / 1000.0, 0);
    call->limit.data = call;
    ev_timer_start(soak->loop, &call->limit);
    S_draw_cut(call);
    g_hash_table_add(S_calls, call);
}

void
SoakCallers_TakeUp(Soak *soak, const SoakStream *stream)
{
    SoakRequest *request = g_new0(SoakRequest, 1);
    snprintf(request->id, sizeof(request->id), "t%u", ++S_serial);
    request->kind = SOAK_STREAM;
    request->stream = *stream;
    request->first_event = stream->next_event;
    request->key = soak->first_valid_key + 1;
    request->gateway = (unsigned)g_rand_int_range(soak->failure_random, 0,
                                                  (gint32)soak->gateway_count);
    request->sent_ms = Soak_NowMs(soak);
    g_hash_table_insert(soak->requests, request->id, request);
    SoakRepeats_NoteSent(soak->repeats);
    S_send(soak, request);
}

static void
S_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = watcher->data;
    S_send(soak, S_create_request(soak));
}

static void
S_on_deadly_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = watcher->data;
    S_send(soak, S_create_deadly(soak));
}

void
SoakCallers_Start(Soak *soak, unsigned count, double rate)
{
    (void)count;
    S_pool = BsOutboundPool_Create(soak->loop, soak->clock);
    S_calls = g_hash_table_new_full(NULL, NULL, S_free_call, NULL);
    ev_timer_init(&S_timer, S_on_timer, 0, 1 / rate);
    S_timer.data = soak;
    ev_timer_start(soak->loop, &S_timer);
}

void
SoakCallers_StartDeadly(Soak *soak)
{
    double pause_s = (double)soak->deadly_ms / 1000.0;
    ev_timer_init(&S_deadly_timer, S_on_deadly_timer, pause_s, pause_s);
    S_deadly_timer.data = soak;
    ev_timer_start(soak->loop, &S_deadly_timer);
}

void
SoakCallers_StopSending(Soak *soak)
{
    soak->sending_ended = true;
    ev_timer_stop(soak->loop, &S_timer);
    ev_timer_stop(soak->loop, &S_deadly_timer);
}

void
SoakCallers_Stop(Soak *soak)
{
    SoakCallers_StopSending(soak);
    g_hash_table_destroy(S_calls);
    BsOutboundPool_Destroy(S_pool);
}
