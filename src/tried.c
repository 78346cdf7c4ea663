/*
 * tried.c - the owners that a request is not forwarded to.
 *
 * Rules: an owner that holds an attempt of the request, or that lacks the
 * model version which began its stream, is not tried again; all others are,
 * once every owner was tried.
 */
#include "entrystate.h"

#include "choice.h"

void
BsEntry_AddGone(BsEntryRequest *request, const char *owner)
{
    if (request->gone == NULL) {
        request->gone =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    g_hash_table_add(request->gone, g_strdup(owner));
}

bool
BsEntry_IsVersionGone(const BsEntry *entry, const BsEntryRequest *request)
{
    return request->gone != NULL &&
           !BsChoice_HasOwner(entry->core, &request->request->u.request,
                              request->gone);
}

void
BsEntry_ForgetTried(BsEntryRequest *request)
{
    GHashTableIter iter;
    gpointer owner;
    g_hash_table_remove_all(request->tried);
    if (request->gone != NULL) {
        g_hash_table_iter_init(&iter, request->gone);
        while (g_hash_table_iter_next(&iter, &owner, NULL)) {
            g_hash_table_add(request->tried, g_strdup(owner));
        }
    }
    for (guint i = 0; i < request->held->len; i++) {
        const BsEntryAttempt *held = request->held->pdata[i];
        g_hash_table_add(request->tried, g_strdup(held->owner));
    }
}
