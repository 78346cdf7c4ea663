/* eventlog.c - structured log with bounded memory that never blocks. */
#include "eventlog.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Limit of the buffer for a slow reader: a small share of the minimum memory
   of a process. */
#define BUFFER_MAX_BYTES (256 * 1024)

/* Length of a rate-limit window. */
#define WINDOW_MS 1000

/* Lines per second of each class.  An instance of a large fleet answers some
   11 requests a second: the limits fit failures of all of them and the steps
   of some. */
static const uint32_t S_lines_per_window[BS_EVENT_CLASSES] = {
    [BS_EVENT_STATE] = 50,
    [BS_EVENT_FAILURE] = 80,
    [BS_EVENT_DETAIL] = 60,
};

struct BsEventLog {
    int fd;
    char *instance;
    const BsClock *clock;
    const BsClock *wall;
    GString *buffer;
    int64_t window_start_ms;
    uint32_t lines[BS_EVENT_CLASSES];
    uint64_t dropped;
    uint64_t dropped_reported;
};

BsEventLog *
BsEventLog_Create(int fd, const char *instance, const BsClock *clock,
                  const BsClock *wall)
{
    BsEventLog *log = g_new0(BsEventLog, 1);
    int flags = fcntl(fd, F_GETFL);
    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    log->fd = fd;
    log->instance = g_strdup(instance);
    log->clock = clock;
    log->wall = wall;
    log->buffer = g_string_new(NULL);
    return log;
}

void
BsEventLog_Destroy(BsEventLog *log)
{
    if (log == NULL) {
        return;
    }
    BsEventLog_Flush(log);
    g_string_free(log->buffer, TRUE);
    g_free(log->instance);
    g_free(log);
}

static void
S_append_string(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    for (const char *at = text; *at != '\0'; at++) {
        unsigned char c = (unsigned char)*at;
        if (c == '"' || c == '\\') {
            g_string_append_c(out, '\\');
            g_string_append_c(out, (gchar)c);
        }
        else if (c < ' ' || c >= 0x7f) {
            g_string_append_printf(out, "\\u%04x", c);
        }
        else {
            g_string_append_c(out, (gchar)c);
        }
    }
    g_string_append_c(out, '"');
}

void
BsEventLog_Text(BsEventLog *log, const char *name, const char *value)
{
    if (value == NULL) {
        return;
    }
    g_string_append_printf(log->buffer, ",\"%s\":", name);
    S_append_string(log->buffer, value);
}

void
BsEventLog_Number(BsEventLog *log, const char *name, int64_t value)
{
    g_string_append_printf(log->buffer, ",\"%s\":%" G_GINT64_FORMAT, name,
                           value);
}

void
BsEventLog_End(BsEventLog *log)
{
    g_string_append(log->buffer, "}\n");
}

static void
S_start_line(BsEventLog *log, const char *event, int64_t now_ms)
{
    g_string_append_printf(log->buffer,
                           "{\"ms\":%" G_GINT64_FORMAT
                           ",\"wall_ms\":%" G_GINT64_FORMAT
                           ",\"event\":\"%s\"",
                           now_ms, BsClock_NowMs(log->wall), event);
    BsEventLog_Text(log, "instance", log->instance);
}

/* Starts a new window when the current one is over, and logs how many lines
   have been dropped since the last such line. */
static void
S_roll_window(BsEventLog *log, int64_t now_ms)
{
    if (now_ms - log->window_start_ms < WINDOW_MS) {
        return;
    }
    log->window_start_ms = now_ms;
    memset(log->lines, 0, sizeof(log->lines));
    if (log->dropped > log->dropped_reported &&
        log->buffer->len < BUFFER_MAX_BYTES) {
        S_start_line(log, "log_lines_dropped", now_ms);
        BsEventLog_Number(log, "count",
                          (int64_t)(log->dropped - log->dropped_reported));
        BsEventLog_End(log);
        log->dropped_reported = log->dropped;
    }
}

bool
BsEventLog_Begin(BsEventLog *log, BsEventClass event_class, const char *event)
{
    int64_t now_ms = BsClock_NowMs(log->clock);
    S_roll_window(log, now_ms);
    if (log->lines[event_class] >= S_lines_per_window[event_class] ||
        log->buffer->len >= BUFFER_MAX_BYTES) {
        log->dropped++;
        return false;
    }
    log->lines[event_class]++;
    S_start_line(log, event, now_ms);
    return true;
}

void
BsEventLog_Flush(BsEventLog *log)
{
    while (log->buffer->len > 0) {
        ssize_t size = write(log->fd, log->buffer->str, log->buffer->len);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            return; /* full or closed: lines are buffered, then dropped */
        }
        g_string_erase(log->buffer, 0, size);
    }
}

uint64_t
BsEventLog_Dropped(const BsEventLog *log)
{
    return log->dropped;
}
