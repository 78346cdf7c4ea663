/* d_daemon.c - the boragespurd process. */
#include "d_daemon.h"

#include "d_admin.h"
#include "d_callers.h"
#include "d_health.h"
#include "d_peers.h"
#include "d_platform.h"
#include "d_stop.h"
#include "d_trace.h"
#include "d_upstreams.h"
#include "startsignals.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <syslog.h>

#define EXIT_USAGE 2

typedef struct {
    BsSettings *settings;
    BsLoop *loop;
    BsTrace *trace;
    BsUpstreams *upstreams;
    BsHealth *health;
    BsPeerSockets *peers;
    BsCallers *callers;
    BsAdmin *admin;
    BsPlatform *platform;
    BsStopSignals *stop;
    ev_signal hangup; /* watched only without TLS, which handles it itself */
} BsDaemon;

/* A settings file without TLS has nothing that SIGHUP reloads; by default the
   signal would end the process. */
static void
S_on_hangup(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)ev;
    (void)events;
    BsLoop_Log(watcher->data, LOG_NOTICE,
               "SIGHUP: nothing to reload, as there is no tls");
}

static void
S_watch_hangup(BsDaemon *daemon)
{
    ev_signal_init(&daemon->hangup, S_on_hangup, SIGHUP);
    daemon->hangup.data = daemon->loop;
    ev_signal_start(BsLoop_Ev(daemon->loop), &daemon->hangup);
}

static void
S_destroy(BsDaemon *daemon)
{
    /* A second SIGTERM would end the process by the signal once the first one
       is no longer watched. */
    BsStartSignals_Hold();
    BsStopSignals_Destroy(daemon->stop);
    BsPlatform_Destroy(daemon->platform);
    BsAdmin_Destroy(daemon->admin);
    BsCallers_Destroy(daemon->callers);
    BsPeerSockets_Destroy(daemon->peers);
    BsHealth_Destroy(daemon->health);
    BsUpstreams_Destroy(daemon->upstreams);
    BsTrace_Destroy(daemon->trace);
    if (daemon->hangup.data != NULL) {
        ev_signal_stop(BsLoop_Ev(daemon->loop), &daemon->hangup);
    }
    BsLoop_Destroy(daemon->loop);
    BsSettings_Destroy(daemon->settings);
}

static bool
S_create(BsDaemon *daemon, const char *file, GError **error)
{
    daemon->settings = BsSettings_Load(file, error);
    if (daemon->settings == NULL) {
        return false;
    }
    daemon->loop = BsLoop_Create(daemon->settings, error);
    if (daemon->loop == NULL) {
        return false;
    }
    if (daemon->settings->tls == NULL) {
        S_watch_hangup(daemon);
    }
    daemon->trace = BsTrace_Create(daemon->loop);
    daemon->upstreams = BsUpstreams_Create(daemon->loop);
    daemon->health = BsHealth_Create(daemon->loop);
    daemon->peers = BsPeerSockets_Create(daemon->loop, error);
    if (daemon->peers == NULL) {
        return false;
    }
    daemon->callers = BsCallers_Create(daemon->loop, error);
    if (daemon->callers == NULL) {
        return false;
    }
    daemon->admin = BsAdmin_Create(daemon->loop, error);
    if (daemon->admin == NULL) {
        return false;
    }
    daemon->platform = BsPlatform_Create(daemon->loop);
    daemon->stop = BsStopSignals_Create(daemon->loop, daemon->callers);
    BsStartSignals_Release();
    return true;
}

static int
S_run(const char *file)
{
    BsDaemon daemon = {0};
    GError *error = NULL;
    int code = 0;
    if (S_create(&daemon, file, &error)) {
        BsLoop_Log(daemon.loop, LOG_NOTICE,
                   "version " BS_VERSION
                   ", listening for callers on %s, admin "
                   "on %s, peers on %s",
                   daemon.settings->callers, daemon.settings->admin,
                   daemon.settings->peers);
        BsLoop_Run(daemon.loop);
    }
    else {
        fprintf(stderr, "boragespurd: %s\n", error->message);
        g_error_free(error);
        code = EXIT_USAGE;
    }
    S_destroy(&daemon);
    return code;
}

int
BsDaemon_Main(int argc, char **argv)
{
    gboolean version = FALSE;
    GOptionEntry entries[] = {{"version", 0, 0, G_OPTION_ARG_NONE, &version,
                               "Print the version", NULL},
                              G_OPTION_ENTRY_NULL};
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("SETTINGS - run a request scheduler instance");
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "boragespurd: %s; see --help\n", error->message);
        g_error_free(error);
        return EXIT_USAGE;
    }
    if (version) {
        puts("boragespurd " BS_VERSION);
        return 0;
    }
    if (argc != 2) {
        fputs("boragespurd: name one settings file; see --help\n", stderr);
        return EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int code = S_run(argv[1]);
    curl_global_cleanup();
    return code;
}
