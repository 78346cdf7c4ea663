/* soak_store.c - simulated store of the platform: listings and watches. */
#include "soak.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    char *key;
    char *value; /* NULL if it was removed */
    uint64_t revision;
} Item;

typedef struct {
    BsInbound *inbound;
    char *prefix;
    uint64_t after;
    int64_t until_ms;
} Watch;

struct SoakStore {
    Soak *soak;
    BsInboundServer *server;
    GHashTable *items;
    GPtrArray *watches; /* Watch; calls without an answer yet */
    uint64_t revision;
    uint64_t oldest; /* watches from before it are answered 410 */
    SoakStoreMode mode;
    ev_timer timer;
};

static void
S_free_item(gpointer data)
{
    Item *item = data;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static void
S_free_watch(gpointer data)
{
    Watch *watch = data;
    g_free(watch->prefix);
    g_free(watch);
}

static char *
S_argument(const char *target, const char *name)
{
    char *mark = g_strdup_printf("%s=", name);
    const char *at = strstr(target, mark);
    char *value = NULL;
    if (at != NULL) {
        at += strlen(mark);
        char *raw = g_strndup(at, strcspn(at, "&"));
        value = g_uri_unescape_string(raw, NULL);
        g_free(raw);
    }
    g_free(mark);
    return value == NULL ? g_strdup("") : value;
}

static void
S_append_item(GString *out, const Item *item)
{
    g_string_append_printf(
        out, "%s{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
        out->str[out->len - 1] == '[' ? "" : ",", item->key, item->revision);
    if (item->value == NULL) {
        g_string_append(out, ",\"deleted\":true}");
        return;
    }
    char *text =
        g_base64_encode((const guchar *)item->value, strlen(item->value));
    g_string_append_printf(out, ",\"value\":\"%s\"}", text);
    g_free(text);
}

/* Returns the items below PREFIX that are newer than revision AFTER, with the
   removed ones if WITH_REMOVED; NULL if there are none and SKIP_EMPTY. */
static GString *
S_page(const SoakStore *store, const char *field, const char *prefix,
       uint64_t after, bool with_removed, bool skip_empty)
{
    GString *out = g_string_new(NULL);
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_string_append_printf(out, "{\"%s\":[", field);
    g_hash_table_iter_init(&iter, store->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Item *item = value;
        if (item->revision > after && g_str_has_prefix(item->key, prefix) &&
            (with_removed || item->value != NULL)) {
            S_append_item(out, item);
            count++;
        }
    }
    if (count == 0 && skip_empty) {
        g_string_free(out, TRUE);
        return NULL;
    }
    g_string_append_printf(out,
                           "],\"more-pages\":false,\"current-rev\":"
                           "%" G_GUINT64_FORMAT "}",
                           store->revision);
    return out;
}

static void
S_answer(BsInbound *inbound, GString *page)
{
    BsInbound_Answer(inbound, 200, "Content-Type: application/json\r\n",
                     page->str, page->len);
    g_string_free(page, TRUE);
}

/* Answers a watch that has events, or whose history was dropped, or that is
   DUE; returns whether it did. */
static bool
S_try_watch(SoakStore *store, const Watch *watch, bool due)
{
    if (watch->after < store->oldest) {
        BsInbound_Answer(watch->inbound, 410, NULL, "", 0);
        return true;
    }
    GString *page =
        S_page(store, "events", watch->prefix, watch->after, true, !due);
    if (page == NULL) {
        return false;
    }
    S_answer(watch->inbound, page);
    return true;
}

static void
S_serve_watches(SoakStore *store)
{
    int64_t now_ms = Soak_NowMs(store->soak);
    for (guint i = store->watches->len; i > 0; i--) {
        Watch *watch = store->watches->pdata[i - 1];
        if (store->mode == SOAK_SERVES &&
            S_try_watch(store, watch, now_ms >= watch->until_ms)) {
            g_ptr_array_remove_index(store->watches, i - 1);
        }
    }
}

static void
S_on_request(BsInbound *inbound, const BsHttpHead *head, const GString *body,
             void *context)
{
    SoakStore *store = context;
    (void)body;
    if (store->mode == SOAK_NO_ANSWER) {
        return;
    }
    if (store->mode != SOAK_SERVES) {
        BsInbound_Answer(inbound, store->mode == SOAK_BUSY ? 429 : 503, NULL,
                         "", 0);
        return;
    }
    char *prefix = S_argument(head->target, "prefix");
    if (strstr(head->target, "kv-range") != NULL) {
        S_answer(inbound, S_page(store, "items", prefix, 0, false, false));
        g_free(prefix);
        return;
    }
    char *after = S_argument(head->target, "after");
    char *wait = S_argument(head->target, "wait-ms");
    Watch *watch = g_new0(Watch, 1);
    watch->inbound = inbound;
    watch->prefix = prefix;
    watch->after = g_ascii_strtoull(after, NULL, 10);
    watch->until_ms =
        Soak_NowMs(store->soak) + g_ascii_strtoll(wait, NULL, 10);
    g_ptr_array_add(store->watches, watch);
    g_free(after);
    g_free(wait);
    S_serve_watches(store);
}

static void
S_on_disconnect(BsInbound *inbound, void *context)
{
    SoakStore *store = context;
    for (guint i = 0; i < store->watches->len; i++) {
        if (((Watch *)store->watches->pdata[i])->inbound == inbound) {
            g_ptr_array_remove_index(store->watches, i);
            return;
        }
    }
}

static const BsInboundApp S_app = {
    .on_request = S_on_request,
    .on_disconnect = S_on_disconnect,
};

static void
S_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    S_serve_watches(watcher->data);
}

SoakStore *
SoakStore_Create(Soak *soak, const struct sockaddr_in *address)
{
    BsInboundLimits limits = {8192, 1024, 5000, 60000, 4096, 1 << 20};
    GError *error = NULL;
    SoakStore *store = g_new0(SoakStore, 1);
    store->soak = soak;
    store->revision = 1;
    store->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_free_item);
    store->watches = g_ptr_array_new_with_free_func(S_free_watch);
    store->server =
        BsInboundServer_Create(soak->loop, soak->clock, address, &S_app, store,
                               &limits, soak->conn_budget, &error);
    if (store->server == NULL) {
        g_error("store: %s", error->message);
    }
    ev_timer_init(&store->timer, S_on_timer, 0.05, 0.05);
    store->timer.data = store;
    ev_timer_start(soak->loop, &store->timer);
    return store;
}

void
SoakStore_Destroy(SoakStore *store)
{
    ev_timer_stop(store->soak->loop, &store->timer);
    BsInboundServer_Destroy(store->server);
    g_ptr_array_free(store->watches, TRUE);
    g_hash_table_destroy(store->items);
    g_free(store);
}

void
SoakStore_SetMode(SoakStore *store, SoakStoreMode mode)
{
    store->mode = mode;
}

void
SoakStore_Put(SoakStore *store, const char *key, const char *value)
{
    Item *item = g_new0(Item, 1);
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = ++store->revision;
    g_hash_table_replace(store->items, item->key, item);
    S_serve_watches(store);
}

void
SoakStore_Compact(SoakStore *store)
{
    store->oldest = store->revision + 1;
    S_serve_watches(store);
}
