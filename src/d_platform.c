/* d_platform.c - watches keys of the configuration service. */
#include "d_platform.h"

#include "d_curl.h"
#include "d_listing.h"

#include <string.h>
#include <strings.h>
#include <syslog.h>

#define LONG_POLL_MS 5000
#define READ_TIMEOUT_MS 7000L /* longer than LONG_POLL_MS */
#define CONNECT_TIMEOUT_MS 1000L
#define RETRY_DELAY_MS 1000
#define NEXT_READ_DELAY_MS 250

/* Time within which a change is in force, and the part of it for the way from
   an instance that reads it to the others. */
#define IN_FORCE_MS 12000
#define SPREAD_MS 2000

/* A change is read in time on a new connection if the one in use has stopped
   responding. */
G_STATIC_ASSERT(NEXT_READ_DELAY_MS + READ_TIMEOUT_MS + RETRY_DELAY_MS +
                    CONNECT_TIMEOUT_MS + SPREAD_MS <
                IN_FORCE_MS);

#define VALUE_MAX_BYTES (4 * 1024 * 1024)
#define POOL_CONNECTIONS 4
#define MS_PER_S 1000.0
#define STATUS_OK 200
#define STATUS_NOT_MODIFIED 304
#define REVISION_HEADER "X-Revision:"

typedef struct {
    BsPlatform *platform;
    const char *key;
    CURL *easy; /* the running read, or NULL */
    GByteArray *value;
    ev_timer timer;
    uint64_t revision;          /* of the last value */
    uint64_t received_revision; /* from the running read */
    unsigned address_index;     /* index into the settings' list */
    bool wanted;                /* the core asks for this key */
    bool has_revision;          /* the next read is a long poll */
    bool down;                  /* the last read failed */
    bool invalid;               /* the last value was rejected */
} BsKeyWatch;

struct BsPlatform {
    BsLoop *loop;
    BsCurl *curl;
    BsKeyWatch sheet;
    BsKeyWatch list;
};

static void
S_schedule(BsKeyWatch *watch, int64_t delay_ms)
{
    struct ev_loop *ev = BsLoop_Ev(watch->platform->loop);
    ev_timer_stop(ev, &watch->timer);
    if (watch->wanted) {
        ev_timer_set(&watch->timer, (double)delay_ms / MS_PER_S, 0.0);
        ev_timer_start(ev, &watch->timer);
    }
}

static size_t
S_on_write(char *data, size_t unit, size_t count, void *context)
{
    BsKeyWatch *watch = context;
    size_t size = unit * count;
    if (watch->value->len + size > VALUE_MAX_BYTES) {
        return 0;
    }
    g_byte_array_append(watch->value, (const guint8 *)data, (guint)size);
    return size;
}

static size_t
S_on_header(char *line, size_t unit, size_t count, void *context)
{
    BsKeyWatch *watch = context;
    size_t size = unit * count;
    size_t length = strlen(REVISION_HEADER);
    if (size > length && strncasecmp(line, REVISION_HEADER, length) == 0) {
        char *text = g_strndup(line + length, size - length);
        watch->received_revision = g_ascii_strtoull(text, NULL, 10);
        g_free(text);
    }
    return size;
}

/* Parses and posts an instance list; returns whether it was valid. */
static bool
S_accept_list(BsKeyWatch *watch)
{
    BsLoop *loop = watch->platform->loop;
    GError *error = NULL;
    BsMessage *message =
        BsListing_Parse(watch->value->data, watch->value->len, &error);
    if (message == NULL) {
        BsLoop_Count(loop, "platform_lists_bad", 1);
        if (!watch->invalid) {
            BsLoop_Log(loop, LOG_ERR, "instance list ignored: %s",
                       error->message);
        }
        g_error_free(error);
        return false;
    }
    BsLoop_Post(loop, message);
    return true;
}

static void
S_accept_sheet(BsKeyWatch *watch)
{
    BsMessage *message = BsMessage_Create(BS_PLATFORM_SHEET);
    message->u.sheet.revision = watch->received_revision;
    message->u.sheet.text = g_bytes_new(watch->value->data, watch->value->len);
    BsLoop_Post(watch->platform->loop, message);
}

static void
S_accept_value(BsKeyWatch *watch)
{
    watch->revision = watch->received_revision;
    watch->has_revision = true;
    if (watch == &watch->platform->list) {
        watch->invalid = !S_accept_list(watch);
    }
    else {
        S_accept_sheet(watch);
    }
}

static void
S_set_down(BsKeyWatch *watch, bool down, const char *reason)
{
    BsLoop *loop = watch->platform->loop;
    if (down != watch->down) {
        watch->down = down;
        BsLoop_Log(loop, down ? LOG_WARNING : LOG_NOTICE,
                   "configuration service: key %s %s%s", watch->key,
                   down ? "cannot be read: " : "can be read again",
                   down ? reason : "");
    }
    if (down) {
        BsLoop_Count(loop, "platform_reads_failed", 1);
        BsLoop_Post(loop, BsMessage_Create(BS_PLATFORM_DOWN));
    }
}

static void
S_on_done(CURL *easy, CURLcode result, void *context)
{
    BsKeyWatch *watch = context;
    char reason[64];
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    watch->easy = NULL;
    if (result == CURLE_OK &&
        (status == STATUS_OK || status == STATUS_NOT_MODIFIED)) {
        S_set_down(watch, false, NULL);
        if (status == STATUS_OK) {
            S_accept_value(watch);
        }
        S_schedule(watch,
                   watch->invalid ? RETRY_DELAY_MS : NEXT_READ_DELAY_MS);
        return;
    }
    g_snprintf(reason, sizeof(reason), "%s %ld", curl_easy_strerror(result),
               status);
    S_set_down(watch, true, reason);
    watch->address_index++;
    watch->has_revision = false;
    S_schedule(watch, RETRY_DELAY_MS);
}

static char *
S_make_url(const BsKeyWatch *watch)
{
    const BsSettings *settings = BsLoop_Settings(watch->platform->loop);
    const char *base =
        settings->platform[watch->address_index % settings->platform_count];
    if (!watch->has_revision) {
        return g_strdup_printf("%s/v1/keys/%s", base, watch->key);
    }
    return g_strdup_printf(
        "%s/v1/keys/%s?after=%" G_GUINT64_FORMAT "&wait_ms=%d", base,
        watch->key, (guint64)watch->revision, LONG_POLL_MS);
}

static void
S_start_read(BsKeyWatch *watch)
{
    char *url = S_make_url(watch);
    CURL *easy = curl_easy_init();
    g_byte_array_set_size(watch->value, 0);
    watch->easy = easy;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, READ_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, S_on_write);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, watch);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, S_on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, watch);
    BsLoop_Count(watch->platform->loop, "platform_reads", 1);
    BsCurl_Start(watch->platform->curl, easy, S_on_done, watch);
    g_free(url);
}

static void
S_on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    S_start_read(watcher->data);
}

static void
S_set_wanted(BsKeyWatch *watch, bool wanted)
{
    if (watch->wanted == wanted) {
        return;
    }
    watch->wanted = wanted;
    if (watch->easy != NULL) {
        BsCurl_Cancel(watch->platform->curl, watch->easy);
        watch->easy = NULL;
    }
    S_schedule(watch, 0);
}

static void
S_on_watch(const BsMessage *message, void *context)
{
    BsPlatform *platform = context;
    S_set_wanted(&platform->sheet, message->u.watch.sheet);
    S_set_wanted(&platform->list, message->u.watch.list);
}

static void
S_init_watch(BsPlatform *platform, BsKeyWatch *watch, const char *key)
{
    watch->platform = platform;
    watch->key = key;
    watch->value = g_byte_array_new();
    ev_timer_init(&watch->timer, S_on_timer, 0.0, 0.0);
    watch->timer.data = watch;
    S_set_wanted(watch, true);
}

BsPlatform *
BsPlatform_Create(BsLoop *loop)
{
    BsPlatform *platform = g_new0(BsPlatform, 1);
    platform->loop = loop;
    platform->curl = BsCurl_Create(loop, POOL_CONNECTIONS);
    S_init_watch(platform, &platform->sheet, "sheet");
    S_init_watch(platform, &platform->list, "instances");
    BsLoop_Handle(loop, BS_PLATFORM_WATCH, S_on_watch, platform);
    return platform;
}

void
BsPlatform_Destroy(BsPlatform *platform)
{
    if (platform == NULL) {
        return;
    }
    S_set_wanted(&platform->sheet, false);
    S_set_wanted(&platform->list, false);
    BsCurl_Destroy(platform->curl);
    g_byte_array_unref(platform->sheet.value);
    g_byte_array_unref(platform->list.value);
    g_free(platform);
}
