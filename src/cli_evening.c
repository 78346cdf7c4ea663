/* cli_evening.c - the subcommand evening: the owner's page for the day. */
#include "cli_command.h"
#include "cli_http.h"
#include "dailyreport.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define STATUS_OK 200
#define LATE_PERCENT 1

/* Bounds the wait for a frozen instance, which accepts connections but never
   answers. */
#define QUERY_TIMEOUT_MS 3000

#define LIST_PATH "/v1/keys/instances"

/* Returns the body of the answer to GET PATH at ADDRESS, or NULL unless its
   status is 200; g_free() it. */
static char *
S_fetch(const char *address, const char *path)
{
    BsExchange exchange = {0};
    char *text = NULL;
    if (BsExchange_RunWithin(&exchange, QUERY_TIMEOUT_MS, address, "GET", path,
                             NULL, NULL, NULL) &&
        exchange.status == STATUS_OK) {
        text = g_strdup(exchange.body->str);
    }
    BsExchange_Clear(&exchange);
    return text;
}

/* Returns the name of the instance at ADDRESS from its status, or NULL;
   g_free() it. */
static char *
S_fetch_name(const char *address)
{
    char *text = S_fetch(address, "/status");
    json_t *json = text == NULL ? NULL : json_loads(text, 0, NULL);
    char *name =
        g_strdup(json_string_value(json_object_get(json, "instance")));
    json_decref(json);
    g_free(text);
    return name;
}

/* Adds the metrics of the instance at ADDRESS to the page, and its name to
   NAMES. */
static void
S_query_instance(BsDailyReport *report, const char *address, GHashTable *names)
{
    char *name = S_fetch_name(address);
    char *metrics = name == NULL ? NULL : S_fetch(address, "/metrics");
    if (metrics == NULL) {
        BsDailyReport_AddMissing(report, name == NULL ? address : name,
                                 "it did not answer");
    }
    else {
        BsDailyReport_AddMetrics(report, name, metrics);
    }
    if (name != NULL) {
        g_hash_table_add(names, name);
    }
    g_free(metrics);
}

/* Adds as missing the instances of the platform's list that are not in
   NAMES. */
static void
S_add_unqueried(BsDailyReport *report, const char *platform, GHashTable *names)
{
    char *text = S_fetch(platform, LIST_PATH);
    json_t *list = text == NULL ? NULL : json_loads(text, 0, NULL);
    const json_t *entry;
    size_t index;
    if (list == NULL) {
        BsDailyReport_AddMissing(
            report, "the instance list",
            "the configuration service did not return it");
    }
    json_array_foreach(json_object_get(list, "entries"), index, entry)
    {
        const char *kind = json_string_value(json_object_get(entry, "kind"));
        const char *name = json_string_value(json_object_get(entry, "name"));
        if (name != NULL && g_strcmp0(kind, "instance") == 0 &&
            !g_hash_table_contains(names, name)) {
            BsDailyReport_AddMissing(
                report, name,
                "it is in the instance list, but none of the "
                "given addresses is its own");
        }
    }
    json_decref(list);
    g_free(text);
}

static void
S_print(const BsDailyReport *report, bool html)
{
    GDateTime *now = g_date_time_new_now_local();
    char *day = g_date_time_format(now, "%A, %-d %B %Y, %H:%M");
    char *page = html ? BsDailyReport_FormatHtml(report, day)
                      : BsDailyReport_FormatText(report, day);
    fputs(page, stdout);
    g_free(page);
    g_free(day);
    g_date_time_unref(now);
}

int
BsCommand_Evening(const BsCommandOptions *options, const char *addresses)
{
    BsDailyReport *report = BsDailyReport_Create(LATE_PERCENT);
    GHashTable *names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char **list = g_strsplit(addresses, ",", -1);
    for (char **address = list; *address != NULL; address++) {
        S_query_instance(report, g_strstrip(*address), names);
    }
    if (options->platform != NULL) {
        S_add_unqueried(report, options->platform, names);
    }
    S_print(report, options->html);
    int code = (int)BsDailyReport_Result(report);
    g_strfreev(list);
    g_hash_table_destroy(names);
    BsDailyReport_Destroy(report);
    return code;
}
