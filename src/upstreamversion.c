/* upstreamversion.c - which model versions an engine has loaded. */
#include "upstream.h"

#include <string.h>

bool
BsUpstream_HasLoaded(const BsUpstream *upstream, const char *version)
{
    return upstream->loaded == NULL || version == NULL ||
           BsUpstream_Reports(upstream, version);
}

/* Returns the item after the one at AT in a list separated by commas, or
   NULL. */
static const char *
S_next_item(const char *at)
{
    const char *comma = strchr(at, ',');
    return comma == NULL ? NULL : comma + 1;
}

bool
BsUpstream_Reports(const BsUpstream *upstream, const char *version)
{
    size_t length = version == NULL ? 0 : strlen(version);
    const char *at = version == NULL ? NULL : upstream->loaded;
    for (; at != NULL; at = S_next_item(at)) {
        if (strncmp(at, version, length) == 0 &&
            (at[length] == ',' || at[length] == '\0')) {
            return true;
        }
    }
    return false;
}

/* Returns whether the item (model@version) at AT is of MODEL, whose name ends
   at its end or at an '@'. */
static bool
S_is_of_model(const char *at, const char *model)
{
    size_t length = strcspn(model, "@");
    return strcspn(at, "@,") == length && at[length] == '@' &&
           memcmp(at, model, length) == 0;
}

char *
BsUpstream_OnlyVersion(const BsUpstream *upstream, const char *model)
{
    const char *only = NULL;
    for (const char *at = upstream->loaded; at != NULL; at = S_next_item(at)) {
        if (!S_is_of_model(at, model)) {
            continue;
        }
        if (only != NULL) {
            return NULL;
        }
        only = at;
    }
    return only == NULL ? NULL : g_strndup(only, strcspn(only, ","));
}

/* Returns whether VERSION is the only version of its model that is loaded, by
   the last report, and no other one was ordered since. */
static bool
S_is_only_version(const BsUpstream *upstream, const char *version)
{
    char *only = BsUpstream_OnlyVersion(upstream, version);
    bool equal = g_strcmp0(only, version) == 0;
    g_free(only);
    return equal && (upstream->loading == NULL ||
                     !S_is_of_model(upstream->loading, version));
}

bool
BsUpstream_Continues(const BsUpstream *upstream, const char *version,
                     const char *current)
{
    if (upstream->reported_ms <= upstream->uncertain_ms) {
        return false;
    }
    return g_strcmp0(version, current) == 0
               ? BsUpstream_Reports(upstream, version)
               : S_is_only_version(upstream, version);
}

bool
BsUpstream_MayContinue(const BsUpstream *upstream, const char *version,
                       const char *current)
{
    return !upstream->heard || g_strcmp0(version, current) == 0 ||
           S_is_only_version(upstream, version);
}

void
BsUpstream_OnOrder(BsUpstream *upstream, const char *loading, int64_t now_ms)
{
    upstream->uncertain_ms = now_ms;
    if (loading != NULL) {
        BsMessage_SetString(&upstream->loading, loading);
    }
}

void
BsUpstream_ForgetVersions(BsUpstream *upstream, int64_t now_ms)
{
    upstream->heard = false;
    upstream->uncertain_ms = now_ms;
    g_clear_pointer(&upstream->loading, g_free);
}

void
BsUpstream_OnLoaded(BsUpstream *upstream, const BsReport *report,
                    int64_t now_ms)
{
    upstream->heard = upstream->heard || report->reachable;
    if (report->loaded == NULL) {
        return;
    }
    BsMessage_SetString(&upstream->loaded, report->loaded);
    upstream->reported_ms = now_ms - report->age_ms;
    if (BsUpstream_Reports(upstream, upstream->loading)) {
        g_clear_pointer(&upstream->loading, g_free);
    }
}
