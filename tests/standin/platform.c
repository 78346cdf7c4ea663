/*
 * platform.c - simulated configuration service: revisioned keys, long polling.
 *
 * All published values of a key are kept, so that older ones can be served.
 * Each read counts once, however long it waits.
 */
#include "standin.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MAX_MS 60000

/* Value of every key, with a revision one higher, in mode junk. */
#define JUNK "\x01\xff{]: - \t%%junk"

typedef struct {
    uint64_t revision;
    GBytes *value;
} S_Version;

typedef enum {
    S_MODE_OK = 0,
    S_MODE_DOWN,  /* connections are reset */
    S_MODE_STALE, /* values from the time when the fault was set */
    S_MODE_OLDER, /* the version before the newest */
    S_MODE_JUNK
} S_Mode;

static const char *const S_mode_names[] = {"ok", "down", "stale", "older",
                                           "junk"};

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t S_changed;
static GHashTable *S_keys;   /* key to GPtrArray of S_Version */
static GHashTable *S_frozen; /* key to number of versions at the last fault */
static S_Mode S_mode;
static uint64_t S_reads;
static int S_port;

static const GOptionEntry S_flags[] = {
    {"port", 'p', 0, G_OPTION_ARG_INT, &S_port, "Port, 0 for any", "N"},
    G_OPTION_ENTRY_NULL};

/* Returns the version of KEY to serve in the current mode, or NULL. */
static const S_Version *
S_current_version(const char *key)
{
    const GPtrArray *versions = g_hash_table_lookup(S_keys, key);
    if (versions == NULL) {
        return NULL;
    }
    guint count = versions->len;
    if (S_mode == S_MODE_STALE) {
        count = GPOINTER_TO_UINT(g_hash_table_lookup(S_frozen, key));
    }
    if (S_mode == S_MODE_OLDER && count > 1) {
        count--;
    }
    return count == 0 ? NULL : versions->pdata[count - 1];
}

static struct timespec
S_deadline(int64_t wait_ms)
{
    struct timespec when;
    clock_gettime(CLOCK_MONOTONIC, &when);
    when.tv_sec += wait_ms / 1000;
    when.tv_nsec += (wait_ms % 1000) * 1000000;
    if (when.tv_nsec >= 1000000000) {
        when.tv_nsec -= 1000000000;
        when.tv_sec++;
    }
    return when;
}

/* Waits until the revision of KEY differs from AFTER, or the mode is down or
   junk; returns false on a timeout. */
static bool
S_wait(const char *key, uint64_t after, int64_t wait_ms)
{
    struct timespec until = S_deadline(MIN(wait_ms, WAIT_MAX_MS));
    for (;;) {
        const S_Version *version = S_current_version(key);
        if (S_mode == S_MODE_DOWN || S_mode == S_MODE_JUNK ||
            (version != NULL && version->revision != after)) {
            return true;
        }
        if (pthread_cond_timedwait(&S_changed, &S_lock, &until) != 0) {
            return false;
        }
    }
}

static enum MHD_Result
S_reply_value(const BsStandinCall *call, uint64_t revision, const void *data,
              size_t size)
{
    char text[32];
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size, (void *)data, MHD_RESPMEM_MUST_COPY);
    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, revision);
    MHD_add_response_header(response, "X-Revision", text);
    return BsStandin_Queue(call, MHD_HTTP_OK, response);
}

static enum MHD_Result
S_reply_empty(const BsStandinCall *call, unsigned status)
{
    return BsStandin_Queue(
        call, status,
        MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT));
}

/* Answers a read; the caller holds the lock. */
static enum MHD_Result
S_read_locked(const BsStandinCall *call, const char *key)
{
    const char *after = BsStandin_Argument(call, "after");
    const char *wait_ms = BsStandin_Argument(call, "wait_ms");
    S_reads++;
    if (after != NULL && S_mode != S_MODE_DOWN &&
        !S_wait(key, g_ascii_strtoull(after, NULL, 10),
                wait_ms == NULL ? 0 : g_ascii_strtoll(wait_ms, NULL, 10))) {
        return S_reply_empty(call, S_current_version(key) == NULL
                                       ? MHD_HTTP_NOT_FOUND
                                       : MHD_HTTP_NOT_MODIFIED);
    }
    const S_Version *version = S_current_version(key);
    if (S_mode == S_MODE_DOWN) {
        return BsStandin_Reset(call);
    }
    if (S_mode == S_MODE_JUNK) {
        return S_reply_value(call, version == NULL ? 1 : version->revision + 1,
                             JUNK, sizeof(JUNK) - 1);
    }
    if (version == NULL) {
        return S_reply_empty(call, MHD_HTTP_NOT_FOUND);
    }
    gsize size;
    const void *data = g_bytes_get_data(version->value, &size);
    return S_reply_value(call, version->revision, data, size);
}

static enum MHD_Result
S_read(const BsStandinCall *call, const char *key)
{
    pthread_mutex_lock(&S_lock);
    enum MHD_Result result = S_read_locked(call, key);
    pthread_mutex_unlock(&S_lock);
    return result;
}

/* Returns the revision of a new value: from the query, else from the member
   "revision" of a JSON value, else the next number. */
static uint64_t
S_choose_revision(const BsStandinCall *call, const GPtrArray *versions)
{
    const char *asked = BsStandin_Argument(call, "revision");
    json_t *json = json_loads(call->body, 0, NULL);
    uint64_t revision =
        (uint64_t)json_integer_value(json_object_get(json, "revision"));
    json_decref(json);
    if (asked != NULL) {
        return g_ascii_strtoull(asked, NULL, 10);
    }
    if (revision == 0) {
        revision = 1;
        if (versions->len > 0) {
            const S_Version *last = versions->pdata[versions->len - 1];
            revision = last->revision + 1;
        }
    }
    return revision;
}

static enum MHD_Result
S_publish(const BsStandinCall *call, const char *key)
{
    pthread_mutex_lock(&S_lock);
    GPtrArray *versions = g_hash_table_lookup(S_keys, key);
    if (versions == NULL) {
        versions = g_ptr_array_new();
        g_hash_table_insert(S_keys, g_strdup(key), versions);
    }
    S_Version *version = g_new0(S_Version, 1);
    version->revision = S_choose_revision(call, versions);
    version->value = g_bytes_new(call->body, call->body_bytes);
    g_ptr_array_add(versions, version);
    uint64_t revision = version->revision;
    pthread_cond_broadcast(&S_changed);
    pthread_mutex_unlock(&S_lock);
    return BsStandin_Reply(
        call, MHD_HTTP_OK,
        json_pack("{s:I}", "revision", (json_int_t)revision));
}

static void
S_freeze(void)
{
    GHashTableIter iterator;
    gpointer key;
    gpointer versions;
    g_hash_table_iter_init(&iterator, S_keys);
    while (g_hash_table_iter_next(&iterator, &key, &versions)) {
        g_hash_table_insert(S_frozen, key,
                            GUINT_TO_POINTER(((GPtrArray *)versions)->len));
    }
}

static enum MHD_Result
S_set_fault(const BsStandinCall *call)
{
    json_t *json = json_loads(call->body, 0, NULL);
    const char *mode = json_string_value(json_object_get(json, "mode"));
    pthread_mutex_lock(&S_lock);
    for (size_t i = 0; i < G_N_ELEMENTS(S_mode_names); i++) {
        if (g_strcmp0(mode, S_mode_names[i]) == 0) {
            S_mode = (S_Mode)i;
        }
    }
    S_freeze();
    pthread_cond_broadcast(&S_changed);
    pthread_mutex_unlock(&S_lock);
    json_decref(json);
    return BsStandin_Reply(call, MHD_HTTP_OK, json_object());
}

static enum MHD_Result
S_handle(const BsStandinCall *call)
{
    static const char READ_PREFIX[] = "/v1/keys/";
    static const char PUBLISH_PREFIX[] = "/control/keys/";
    if (strcmp(call->method, "GET") == 0 &&
        g_str_has_prefix(call->path, READ_PREFIX)) {
        return S_read(call, call->path + strlen(READ_PREFIX));
    }
    if (strcmp(call->method, "PUT") == 0 &&
        g_str_has_prefix(call->path, PUBLISH_PREFIX)) {
        return S_publish(call, call->path + strlen(PUBLISH_PREFIX));
    }
    if (BsStandin_Matches(call, "PUT", "/control/fault")) {
        return S_set_fault(call);
    }
    if (BsStandin_Matches(call, "GET", "/control/reads")) {
        pthread_mutex_lock(&S_lock);
        json_int_t reads = (json_int_t)S_reads;
        pthread_mutex_unlock(&S_lock);
        return BsStandin_Reply(call, MHD_HTTP_OK,
                               json_pack("{s:I}", "reads", reads));
    }
    return S_reply_empty(call, MHD_HTTP_NOT_FOUND);
}

int
BsStandinPlatform_Main(int argc, char **argv)
{
    pthread_condattr_t attributes;
    if (!BsStandin_ParseFlags(&argc, &argv, S_flags)) {
        return 2;
    }
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&S_changed, &attributes);
    S_keys = g_hash_table_new(g_str_hash, g_str_equal);
    S_frozen = g_hash_table_new(g_str_hash, g_str_equal);
    return BsStandin_Serve(S_port, S_handle);
}
