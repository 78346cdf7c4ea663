/* d_loop.c - the event loop, and messages between the core and the tasks. */
#include "d_loop.h"

#include "counter.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#define TICK_INTERVAL_S 0.01
#define KIND_LIMIT 128

typedef struct {
    BsHandlerFunc handler;
    void *context;
} BsHandler;

struct BsLoop {
    struct ev_loop *ev;
    const BsSettings *settings;
    BsCore *core;
    BsCounters *counters;
    GQueue posted;                /* BsMessage not yet handled */
    GArray *handlers[KIND_LIMIT]; /* BsHandler by message kind */
    ev_timer tick;
    ev_prepare wake; /* never started, only fed events by BsLoop_Post() */
    uint64_t incarnation;
};

static struct timespec
S_now(void *context)
{
    (void)context;
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

static const BsClock S_clock = {S_now, NULL};

static void
S_call_handlers(BsLoop *loop, const BsMessage *message)
{
    GArray *handlers =
        message->kind < KIND_LIMIT ? loop->handlers[message->kind] : NULL;
    for (guint i = 0; handlers != NULL && i < handlers->len; i++) {
        BsHandler *handler = &g_array_index(handlers, BsHandler, i);
        handler->handler(message, handler->context);
    }
}

static void
S_on_emit(const BsMessage *message, void *context)
{
    S_call_handlers(context, message);
}

static void
S_on_wake(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)ev;
    (void)events;
    BsLoop *loop = watcher->data;
    BsMessage *message;
    while ((message = g_queue_pop_head(&loop->posted)) != NULL) {
        BsCore_Step(loop->core, message);
        S_call_handlers(loop, message);
        BsMessage_Destroy(message);
    }
}

static void
S_on_tick(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    BsLoop_Post(watcher->data, BsMessage_Create(BS_TICK));
}

static void
S_on_log(const BsMessage *message, void *context)
{
    BsLoop_Log(context, (int)message->u.log.priority, "%s",
               message->u.log.text);
}

static uint64_t
S_random(void)
{
    uint64_t value = 0;
    while (value == 0) {
        if (getrandom(&value, sizeof(value), 0) != sizeof(value)) {
            value = 0;
        }
    }
    return value;
}

BsLoop *
BsLoop_Create(const BsSettings *settings, GError **error)
{
    BsLoop *loop = g_new0(BsLoop, 1);
    BsCoreConfig config;
    loop->settings = settings;
    loop->incarnation = S_random();
    loop->counters = BsCounters_Create();
    g_queue_init(&loop->posted);
    BsSettings_FillConfig(settings, &config);
    config.incarnation = loop->incarnation;
    config.seed = S_random();
    loop->core = BsCore_Create(&config, &S_clock, S_on_emit, loop, error);
    if (loop->core == NULL) {
        BsLoop_Destroy(loop);
        return NULL;
    }
    loop->ev = ev_loop_new(EVBACKEND_EPOLL);
    ev_prepare_init(&loop->wake, S_on_wake);
    loop->wake.data = loop;
    ev_timer_init(&loop->tick, S_on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
    loop->tick.data = loop;
    ev_timer_start(loop->ev, &loop->tick);
    BsLoop_Handle(loop, BS_LOG, S_on_log, loop);
    return loop;
}

void
BsLoop_Destroy(BsLoop *loop)
{
    if (loop == NULL) {
        return;
    }
    BsCore_Destroy(loop->core);
    g_queue_clear_full(&loop->posted, (GDestroyNotify)BsMessage_Destroy);
    for (size_t i = 0; i < KIND_LIMIT; i++) {
        if (loop->handlers[i] != NULL) {
            g_array_unref(loop->handlers[i]);
        }
    }
    if (loop->ev != NULL) {
        ev_loop_destroy(loop->ev);
    }
    BsCounters_Destroy(loop->counters);
    g_free(loop);
}

struct ev_loop *
BsLoop_Ev(const BsLoop *loop)
{
    return loop->ev;
}

const BsSettings *
BsLoop_Settings(const BsLoop *loop)
{
    return loop->settings;
}

uint64_t
BsLoop_Incarnation(const BsLoop *loop)
{
    return loop->incarnation;
}

int64_t
BsLoop_NowMs(const BsLoop *loop)
{
    (void)loop;
    return BsClock_NowMs(&S_clock);
}

void
BsLoop_Handle(BsLoop *loop, uint32_t kind, BsHandlerFunc handler,
              void *context)
{
    BsHandler row = {handler, context};
    g_assert(kind < KIND_LIMIT);
    if (loop->handlers[kind] == NULL) {
        loop->handlers[kind] = g_array_new(FALSE, FALSE, sizeof(BsHandler));
    }
    g_array_append_val(loop->handlers[kind], row);
}

void
BsLoop_Post(BsLoop *loop, BsMessage *message)
{
    g_queue_push_tail(&loop->posted, message);
    ev_feed_event(loop->ev, &loop->wake, EV_PREPARE);
}

void
BsLoop_Publish(BsLoop *loop, BsMessage *message)
{
    S_call_handlers(loop, message);
    BsMessage_Destroy(message);
}

void
BsLoop_Count(BsLoop *loop, const char *name, uint64_t amount)
{
    BsCounters_Add(loop->counters, name, amount);
}

void
BsLoop_SetGauge(BsLoop *loop, const char *name, uint64_t value)
{
    BsCounters_Set(loop->counters, name, value);
}

void
BsLoop_FormatCounters(const BsLoop *loop, GString *out)
{
    BsCounters_Format(loop->counters, out);
}

void
BsLoop_Log(BsLoop *loop, int priority, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    GDateTime *now = g_date_time_new_now_utc();
    char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
    g_strdelimit(text, "\r\n", ' ');
    fprintf(stderr, "<%d>%s %s boragespurd[%d]: %s\n", priority, stamp,
            loop->settings->name, (int)getpid(), text);
    g_date_time_unref(now);
    g_free(stamp);
    g_free(text);
}

void
BsLoop_Run(BsLoop *loop)
{
    ev_run(loop->ev, 0);
}

void
BsLoop_Stop(BsLoop *loop)
{
    ev_break(loop->ev, EVBREAK_ALL);
}
