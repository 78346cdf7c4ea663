/* fleet.c - starts daemons and stand-ins and publishes the instance list. */
#include "fleet.h"

#include "control.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define READY_STEP_MS 20
#define STATUS_OK 200

static const char S_sheet[] =
    "format: 1\n"
    "tiers:\n"
    "  - {name: urgent, rank: 1, deadline_ms: 30000}\n"
    "  - {name: booking, rank: 2, deadline_ms: 30000, yields_to: [urgent]}\n"
    "  - {name: routine, rank: 3, deadline_ms: 60000,\n"
    "     yields_to: [urgent, booking]}\n"
    "models:\n"
    "  - {name: blade, version: \"1\", output_tokens: 32}\n"
    "services:\n"
    "  - name: bookings\n"
    "    tier: booking\n"
    "    timeout_ms: 10000\n"
    "    concurrency: 32\n"
    "    routes:\n"
    "      - {method: GET, prefix: /status, idempotent: true}\n"
    "accounts:\n"
    "  - name: cafe\n"
    "    token_sha256: [4d48225f6b430572baed23512d00234dc2eabe1e4e5056e18cae"
    "e2d42f47a22d]\n"
    "data_centres:\n"
    "  - {name: n1, open: true}\n"
    "  - {name: n2, open: true}\n"
    "  - {name: s1, open: true}\n"
    "cold_start: {requests: 2, tokens: 4096, ramp_ms: 1000}\n";

const char *
BsFleet_DefaultSheet(void)
{
    return S_sheet;
}

/* Returns the region: south for names that start with "s", else north. */
static const char *
S_region(const char *data_centre)
{
    return data_centre[0] == 's' ? "south" : "north";
}

static char *
S_path(const BsFleet *fleet, const char *name, const char *ending)
{
    return g_strdup_printf("%s/%s.%s", fleet->directory, name, ending);
}

/* Starts a stand-in.  ARGV ends with NULL; its first element is replaced by
   the path of the program. */
static void
S_start_standin(const BsFleet *fleet, BsProcess *process, const char *name,
                char **argv)
{
    char *log = S_path(fleet, name, "log");
    argv[0] = g_build_filename(fleet->bin, "standin", NULL);
    BsProcess_StartStandin(process, argv, log);
    g_free(argv[0]);
    g_free(log);
}

BsFleet *
BsFleet_Create(const char *bin)
{
    BsFleet *fleet = g_new0(BsFleet, 1);
    fleet->directory = g_dir_make_tmp("boragespur-XXXXXX", NULL);
    fleet->bin = g_strdup(bin);
    fleet->instances = g_ptr_array_new();
    fleet->upstreams = g_ptr_array_new();
    char *argv[] = {NULL, "platform", NULL};
    S_start_standin(fleet, &fleet->platform, "platform", argv);
    return fleet;
}

static void
S_remove_directory(const char *path)
{
    GDir *directory = g_dir_open(path, 0, NULL);
    const char *name;
    while ((name = g_dir_read_name(directory)) != NULL) {
        char *file = g_build_filename(path, name, NULL);
        g_unlink(file);
        g_free(file);
    }
    g_dir_close(directory);
    g_rmdir(path);
}

void
BsFleet_Destroy(BsFleet *fleet, bool keep_logs)
{
    for (guint i = 0; i < fleet->instances->len; i++) {
        BsFleetInstance *instance = fleet->instances->pdata[i];
        BsProcess_Kill(&instance->process);
        g_free(instance->name);
        g_free(instance);
    }
    for (guint i = 0; i < fleet->upstreams->len; i++) {
        BsFleetUpstream *upstream = fleet->upstreams->pdata[i];
        BsProcess_Kill(&upstream->process);
        g_free(upstream->name);
        g_free(upstream);
    }
    BsProcess_Kill(&fleet->platform);
    if (!keep_logs) {
        S_remove_directory(fleet->directory);
    }
    g_ptr_array_unref(fleet->instances);
    g_ptr_array_unref(fleet->upstreams);
    g_free(fleet->directory);
    g_free(fleet->bin);
    g_free(fleet);
}

static BsFleetUpstream *
S_add_upstream(BsFleet *fleet, const char *name, const char *kind,
               const char *data_centre, int slots)
{
    BsFleetUpstream *upstream = g_new0(BsFleetUpstream, 1);
    upstream->name = g_strdup(name);
    upstream->kind = kind;
    upstream->data_centre = data_centre;
    upstream->region = S_region(data_centre);
    upstream->slots = slots;
    g_ptr_array_add(fleet->upstreams, upstream);
    return upstream;
}

BsFleetUpstream *
BsFleet_AddEngine(BsFleet *fleet, const char *name, const char *data_centre,
                  int slots, int rate)
{
    BsFleetUpstream *upstream =
        S_add_upstream(fleet, name, "engine", data_centre, slots);
    char *model_text = g_strdup_printf("--model=%s@1", BS_FLEET_MODEL);
    char *slots_text = g_strdup_printf("--slots=%d", slots);
    char *rate_text = g_strdup_printf("--rate=%d", rate);
    char *argv[] = {NULL, "engine", model_text, slots_text, rate_text, NULL};
    S_start_standin(fleet, &upstream->process, name, argv);
    g_free(model_text);
    g_free(slots_text);
    g_free(rate_text);
    return upstream;
}

BsFleetUpstream *
BsFleet_AddService(BsFleet *fleet, const char *name, const char *data_centre,
                   int slow_ms)
{
    BsFleetUpstream *upstream =
        S_add_upstream(fleet, name, "service", data_centre, 32);
    char *slow_text = g_strdup_printf("--slow-ms=%d", slow_ms);
    char *argv[] = {NULL, "service", slow_text, NULL};
    S_start_standin(fleet, &upstream->process, name, argv);
    g_free(slow_text);
    return upstream;
}

BsFleetInstance *
BsFleet_AddInstance(BsFleet *fleet, const char *name, const char *data_centre)
{
    BsFleetInstance *instance = g_new0(BsFleetInstance, 1);
    instance->name = g_strdup(name);
    instance->data_centre = data_centre;
    instance->region = S_region(data_centre);
    instance->caller_port = BsProcess_FreePort();
    instance->peer_port = BsProcess_FreePort();
    instance->admin_port = BsProcess_FreePort();
    instance->listed = BS_LISTED_LIVE;
    g_ptr_array_add(fleet->instances, instance);
    return instance;
}

static void
S_write_settings(const BsFleet *fleet, const BsFleetInstance *instance,
                 bool fresh, const char *path)
{
    GError *error = NULL;
    char *text = g_strdup_printf(
        "name: %s\n"
        "data_centre: %s\n"
        "region: %s\n"
        "callers: 127.0.0.1:%d\n"
        "peers: 127.0.0.1:%d\n"
        "admin: 127.0.0.1:%d\n"
        "platform: [\"http://127.0.0.1:%d\"]\n"
        "secret: a-secret-of-the-tests\n"
        "fresh_fleet: %s\n",
        instance->name, instance->data_centre, instance->region,
        instance->caller_port, instance->peer_port, instance->admin_port,
        fleet->platform.port, fresh ? "true" : "false");
    if (!g_file_set_contents(path, text, -1, &error)) {
        g_error("%s", error->message);
    }
    g_free(text);
}

void
BsFleet_Start(BsFleet *fleet, BsFleetInstance *instance, bool fresh)
{
    char *settings = S_path(fleet, instance->name, "yaml");
    char *log = S_path(fleet, instance->name, "log");
    char *program = g_build_filename(fleet->bin, "boragespurd", NULL);
    char *argv[] = {program, settings, NULL};
    S_write_settings(fleet, instance, fresh, settings);
    instance->stopping = false;
    BsProcess_Start(&instance->process, argv, log);
    g_free(settings);
    g_free(log);
    g_free(program);
}

static void
S_put_key(const BsFleet *fleet, const char *key, const char *value)
{
    char *path = g_strdup_printf("/control/keys/%s", key);
    if (BsControl_Call("PUT", fleet->platform.port, path, value, NULL) !=
        STATUS_OK) {
        g_error("cannot publish %s", key);
    }
    g_free(path);
}

void
BsFleet_PublishSheet(BsFleet *fleet, const char *sheet)
{
    S_put_key(fleet, "sheet", sheet);
}

static json_t *
S_create_entry(const char *name, const char *kind, const char *state, int port,
               const char *data_centre, const char *region)
{
    char *address = g_strdup_printf("127.0.0.1:%d", port);
    json_t *entry = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "name", name,
                              "kind", kind, "state", state, "address", address,
                              "data_centre", data_centre, "region", region);
    g_free(address);
    return entry;
}

static json_t *
S_create_upstream_entry(const BsFleetUpstream *upstream)
{
    bool engine = strcmp(upstream->kind, "engine") == 0;
    json_t *entry = S_create_entry(upstream->name, upstream->kind, "live",
                                   upstream->process.port,
                                   upstream->data_centre, upstream->region);
    json_object_set_new(
        entry, "serves",
        json_pack("[s]", engine ? BS_FLEET_MODEL : "bookings"));
    json_object_set_new(entry, "slots", json_integer(upstream->slots));
    if (engine) {
        json_object_set_new(entry, "generation", json_string("g1"));
        json_object_set_new(entry, "tokens", json_integer(1 << 20));
    }
    return entry;
}

void
BsFleet_Publish(BsFleet *fleet)
{
    json_t *entries = json_array();
    for (guint i = 0; i < fleet->instances->len; i++) {
        const BsFleetInstance *instance = fleet->instances->pdata[i];
        if (instance->listed != BS_LISTED_NOT) {
            json_array_append_new(
                entries,
                S_create_entry(instance->name, "instance",
                               instance->listed == BS_LISTED_LIVE ? "live"
                                                                  : "leaving",
                               instance->peer_port, instance->data_centre,
                               instance->region));
        }
    }
    for (guint i = 0; i < fleet->upstreams->len; i++) {
        json_array_append_new(
            entries, S_create_upstream_entry(fleet->upstreams->pdata[i]));
    }
    json_t *list =
        json_pack("{s:I, s:o}", "revision", (json_int_t)++fleet->list_revision,
                  "entries", entries);
    char *text = json_dumps(list, JSON_COMPACT);
    S_put_key(fleet, "instances", text);
    free(text);
    json_decref(list);
}

bool
BsFleet_WaitReady(const BsFleetInstance *instance, int limit_ms)
{
    int64_t until_us =
        g_get_monotonic_time() + limit_ms * G_TIME_SPAN_MILLISECOND;
    do {
        if (BsControl_Call("GET", instance->admin_port, "/readyz", NULL,
                           NULL) == STATUS_OK) {
            return true;
        }
        g_usleep(READY_STEP_MS * G_TIME_SPAN_MILLISECOND);
    } while (g_get_monotonic_time() < until_us);
    return false;
}
