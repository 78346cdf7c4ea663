/* orders.c - loading and unloading of models. */
#include "orders.h"

#include <pthread.h>
#include <string.h>

#define DEFAULT_VERSION "1"

typedef struct {
    char *version;
    int64_t ready_at_ms;
} S_Model;

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *S_models; /* name to S_Model */
static uint64_t S_fencing;   /* highest number seen */
static bool S_checks_fencing;
static int S_load_ms;

static void
S_load(const char *name, const char *version, int64_t ready_at_ms)
{
    S_Model *model = g_new0(S_Model, 1);
    model->version = g_strdup(version);
    model->ready_at_ms = ready_at_ms;
    g_hash_table_insert(S_models, g_strdup(name), model);
}

void
BsOrders_Init(char **models, bool checks_fencing, int load_ms)
{
    S_models = g_hash_table_new(g_str_hash, g_str_equal);
    S_checks_fencing = checks_fencing;
    S_load_ms = load_ms;
    for (; models != NULL && *models != NULL; models++) {
        char **parts = g_strsplit(*models, "@", 2);
        S_load(parts[0], parts[1] == NULL ? DEFAULT_VERSION : parts[1], 0);
        g_strfreev(parts);
    }
}

bool
BsOrders_IsLoaded(const char *model)
{
    pthread_mutex_lock(&S_lock);
    const S_Model *found =
        model == NULL ? NULL : g_hash_table_lookup(S_models, model);
    bool loaded = found != NULL && BsStandin_NowMs() >= found->ready_at_ms;
    pthread_mutex_unlock(&S_lock);
    return loaded;
}

/* Obeys an order unless its number is old; the lock is held. */
static bool
S_apply_order(const char *verb, const char *model, const char *version,
              uint64_t fencing)
{
    if (S_checks_fencing && fencing < S_fencing) {
        return false;
    }
    S_fencing = MAX(S_fencing, fencing);
    if (strcmp(verb, "load") == 0) {
        S_load(model, version, BsStandin_NowMs() + S_load_ms);
    }
    else {
        g_hash_table_remove(S_models, model);
    }
    return true;
}

enum MHD_Result
BsOrders_Handle(const BsStandinCall *call)
{
    const char *verb = NULL;
    const char *model = NULL;
    const char *version = "";
    json_int_t fencing = 0;
    json_t *order = json_loads(call->body, 0, NULL);
    if (order == NULL ||
        json_unpack(order, "{s:s, s:s, s?s, s:I}", "verb", &verb, "model",
                    &model, "version", &version, "fencing", &fencing) != 0) {
        json_decref(order);
        return BsStandin_Reply(call, MHD_HTTP_BAD_REQUEST, json_object());
    }
    pthread_mutex_lock(&S_lock);
    bool applied = S_apply_order(verb, model, version, (uint64_t)fencing);
    json_int_t highest = (json_int_t)S_fencing;
    pthread_mutex_unlock(&S_lock);
    json_decref(order);
    return BsStandin_Reply(call, applied ? MHD_HTTP_OK : MHD_HTTP_CONFLICT,
                           json_pack("{s:I}", "fencing", highest));
}

void
BsOrders_Report(json_t *report)
{
    GHashTableIter iterator;
    gpointer name;
    gpointer value;
    json_t *loaded = json_array();
    pthread_mutex_lock(&S_lock);
    g_hash_table_iter_init(&iterator, S_models);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        const S_Model *model = value;
        if (BsStandin_NowMs() >= model->ready_at_ms) {
            json_array_append_new(loaded,
                                  json_pack("{s:s, s:s}", "model", name,
                                            "version", model->version));
        }
    }
    json_object_set_new(report, "checks_fencing",
                        json_boolean(S_checks_fencing));
    json_object_set_new(report, "fencing",
                        json_integer((json_int_t)S_fencing));
    pthread_mutex_unlock(&S_lock);
    json_object_set_new(report, "loaded", loaded);
}
