/* soak_versions.c - releases of upstreams' software, and the check that no
 * stream joins two versions. */
#include "soak.h"

#include <stdio.h>
#include <string.h>

/* Steps of a release: in each of the first half, an upstream of the new
   version starts and one of the oldest leaves. */
#define STEPS 12

/* How long an upstream that leaves goes on serving. */
#define LEAVING_MS 4000

/* One in this many steps, an upstream crashes for CRASH_MS. */
#define CRASH_ONE_IN 3
#define CRASH_MS 1500

/* Uptime from which a gateway's answers to take-ups count. */
#define UP_MS 4000

/* Take-ups of one stream, and the pause before each. */
#define TRIES_MAX 6
#define PAUSE_MIN_MS 50
#define PAUSE_MAX_MS 1200

/* Fewest take-ups whose share is checked, and least part of the share of new
   streams that begin. */
#define TAKE_UPS_MIN 12
#define PART_MIN 0.5

#define EVENT_END "\n\n"

/* Attempts that count, and those that brought an event. */
typedef struct {
    unsigned sent;
    unsigned served;
} Share;

/* A stream that its caller will take up. */
typedef struct {
    SoakVersions *versions;
    SoakStream stream;
    ev_timer timer;
} Waiting;

struct SoakVersions {
    Soak *soak;
    unsigned newest;
    unsigned step;
    ev_timer timer;
    GHashTable *waiting; /* set of Waiting */
    Share fresh;
    Share taken_up;
    unsigned take_ups; /* counted or not */
    unsigned joined;   /* streams of two versions */
};

static void
S_free_waiting(gpointer data)
{
    Waiting *waiting = data;
    ev_timer_stop(waiting->versions->soak->loop, &waiting->timer);
    g_free(waiting);
}

/* --------------------------------------------------------------- releases --
 */

static void
S_on_left(int revents, void *context)
{
    (void)revents;
    SoakUpstream_Stop(context);
}

static void
S_start_new(SoakVersions *versions)
{
    Soak *soak = versions->soak;
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        if (SoakUpstream_IsStopped(soak->upstreams[i])) {
            Soak_Log(soak, "upstream %u starts with version %u", i,
                     versions->newest);
            SoakUpstream_Start(soak->upstreams[i], versions->newest);
            return;
        }
    }
}

static void
S_drain_oldest(SoakVersions *versions)
{
    Soak *soak = versions->soak;
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        unsigned version = SoakUpstream_Version(soak->upstreams[i]);
        if (version > 0 && version < versions->newest) {
            Soak_Log(soak, "upstream %u of version %u leaves", i, version);
            SoakUpstream_List(soak->upstreams[i], "draining", 0);
            ev_once(soak->loop, -1, 0, LEAVING_MS / 1000.0, S_on_left,
                    soak->upstreams[i]);
            return;
        }
    }
}

static void
S_crash_one(Soak *soak)
{
    unsigned number = (unsigned)g_rand_int_range(soak->failure_random, 0,
                                                 (gint32)soak->upstream_count);
    if (SoakUpstream_Version(soak->upstreams[number]) > 0) {
        Soak_Log(soak, "upstream %u crashes", number);
        SoakUpstream_Crash(soak->upstreams[number], CRASH_MS);
    }
}

static void
S_on_step(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    SoakVersions *versions = watcher->data;
    unsigned step = versions->step++ % STEPS;
    versions->newest += step == 0;
    if (step < STEPS / 2) {
        S_start_new(versions);
        S_drain_oldest(versions);
    }
    if (g_rand_int_range(versions->soak->failure_random, 0, CRASH_ONE_IN) ==
        0) {
        S_crash_one(versions->soak);
    }
}

void
SoakVersions_Start(SoakVersions *versions)
{
    Soak *soak = versions->soak;
    if (soak->release_pause_ms == 0) {
        return;
    }
    soak->trouble_ms = INT64_MAX;
    for (unsigned i = soak->upstream_count / 2; i < soak->upstream_count;
         i++) {
        SoakUpstream_Stop(soak->upstreams[i]);
    }
    double pause_s = (double)soak->release_pause_ms / 1000.0 / STEPS;
    ev_timer_set(&versions->timer, pause_s, pause_s);
    ev_timer_start(soak->loop, &versions->timer);
}

/* --------------------------------------------------------------- take-ups --
 */

static unsigned
S_count_serving(const Soak *soak, unsigned version)
{
    unsigned count = 0;
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        count += SoakUpstream_Version(soak->upstreams[i]) == version;
    }
    return count;
}

void
SoakVersions_NoteSent(SoakVersions *versions, SoakRequest *request)
{
    const Soak *soak = versions->soak;
    bool taken_up = request->stream.tries > 0;
    versions->take_ups += taken_up;
    request->counts =
        SoakFleet_UptimeMs(request->gateway) >= UP_MS &&
        Soak_IsSettled(soak, request->gateway) &&
        (!taken_up || S_count_serving(soak, request->stream.version) >= 2);
}

static void
S_on_pause_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Waiting *waiting = watcher->data;
    SoakVersions *versions = waiting->versions;
    SoakStream stream = waiting->stream;
    g_hash_table_remove(versions->waiting, waiting);
    SoakCallers_TakeUp(versions->soak, &stream);
}

static void
S_schedule(SoakVersions *versions, const SoakRequest *request)
{
    Soak *soak = versions->soak;
    const SoakStream *stream = &request->stream;
    if (soak->sending_ended || request->kind != SOAK_STREAM ||
        stream->version == 0 || stream->next_event >= soak->events ||
        stream->tries >= TRIES_MAX) {
        return;
    }
    Waiting *waiting = g_new0(Waiting, 1);
    waiting->versions = versions;
    waiting->stream = *stream;
    waiting->stream.tries++;
    gint32 pause_ms =
        g_rand_int_range(soak->failure_random, PAUSE_MIN_MS, PAUSE_MAX_MS + 1);
    ev_timer_init(&waiting->timer, S_on_pause_end, pause_ms / 1000.0, 0);
    waiting->timer.data = waiting;
    ev_timer_start(soak->loop, &waiting->timer);
    g_hash_table_add(versions->waiting, waiting);
}

/* ----------------------------------------------------------------- checks --
 */

/* Checks one complete event; returns false if it is of another version. */
static bool
S_check_event(Soak *soak, SoakRequest *request, const char *event)
{
    SoakStream *stream = &request->stream;
    unsigned number = 0;
    unsigned version = 0;
    if (sscanf(event, "id: %u\ndata: %*s v%u", &number, &version) != 2 ||
        number != stream->next_event) {
        Soak_Violation(soak, "order", "%s: event %u instead of %u",
                       request->id, number, stream->next_event);
        return true;
    }
    stream->next_event++;
    if (stream->version == 0) {
        stream->version = version;
        g_strlcpy(stream->first_id, request->id, sizeof(stream->first_id));
    }
    if (version == stream->version) {
        return true;
    }
    Soak_Violation(
        soak, "versions",
        "%s at gateway %u (up %d ms): event %u is of version %u, the "
        "stream began as %s at version %u; %s, take-up %u",
        request->id, request->gateway,
        (int)SoakFleet_UptimeMs(request->gateway), number, version,
        stream->first_id, stream->version,
        number == request->first_event ? "over tries" : "in one answer",
        stream->tries);
    return false;
}

/* Checks the complete events of an answer; stops at the first of another
   version. */
static void
S_check_events(SoakVersions *versions, SoakRequest *request, const char *body)
{
    const char *end = NULL;
    while ((end = strstr(body, EVENT_END)) != NULL) {
        if (!S_check_event(versions->soak, request, body)) {
            versions->joined++;
            request->joined = true;
            return;
        }
        body = end + strlen(EVENT_END);
    }
}

static void
S_count(Share *share, const SoakRequest *request)
{
    if (request->counts) {
        share->sent++;
        share->served += request->stream.next_event > request->first_event;
    }
}

void
SoakVersions_NoteEnd(SoakVersions *versions, SoakRequest *request,
                     const char *body)
{
    if (versions->soak->release_pause_ms == 0 ||
        (request->kind != SOAK_STREAM && request->kind != SOAK_ONCE)) {
        return;
    }
    if (request->status == 200) {
        S_check_events(versions, request, body);
    }
    if (request->kind == SOAK_STREAM) {
        S_count(request->stream.tries > 0 ? &versions->taken_up
                                          : &versions->fresh,
                request);
    }
    if (!request->joined) {
        S_schedule(versions, request);
    }
}

static double
S_part(const Share *share)
{
    return share->sent == 0 ? 0 : (double)share->served / share->sent;
}

void
SoakVersions_CheckShare(SoakVersions *versions)
{
    const Share *taken_up = &versions->taken_up;
    const Share *fresh = &versions->fresh;
    if (taken_up->sent >= TAKE_UPS_MIN &&
        S_part(taken_up) < PART_MIN * S_part(fresh)) {
        Soak_Violation(versions->soak, "take-up",
                       "%u of %u went on, %u of %u new streams began",
                       taken_up->served, taken_up->sent, fresh->served,
                       fresh->sent);
    }
}

void
SoakVersions_Print(const SoakVersions *versions)
{
    const Share *taken_up = &versions->taken_up;
    const Share *fresh = &versions->fresh;
    if (versions->soak->release_pause_ms > 0) {
        printf("versions: %u streams joined two; %u take-ups; of those that "
               "count %u of %u went on, %u of %u new streams began\n",
               versions->joined, versions->take_ups, taken_up->served,
               taken_up->sent, fresh->served, fresh->sent);
    }
}

/* -------------------------------------------------------------- lifecycle --
 */

SoakVersions *
SoakVersions_Create(Soak *soak)
{
    SoakVersions *versions = g_new0(SoakVersions, 1);
    versions->soak = soak;
    versions->newest = 1;
    versions->waiting =
        g_hash_table_new_full(NULL, NULL, S_free_waiting, NULL);
    ev_timer_init(&versions->timer, S_on_step, 0, 0);
    versions->timer.data = versions;
    return versions;
}

void
SoakVersions_Destroy(SoakVersions *versions)
{
    ev_timer_stop(versions->soak->loop, &versions->timer);
    g_hash_table_destroy(versions->waiting);
    g_free(versions);
}
