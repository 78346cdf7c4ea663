/* d_httpd.c - a libmicrohttpd server driven by the event loop. */
#include "d_httpd.h"

#include "d_screen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <syslog.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

/* Time after which a connection without progress is closed, also one whose
   caller closed its side before the request was complete. */
#define IDLE_TIMEOUT_S 30U

/* Runs of the server per loop iteration that need no event. */
#define RUNS_MAX 16

#define MS_PER_S 1000.0

/* Connections that the library may have for each one that the screen has: it
   notices the end of a closed one later. */
#define LIBRARY_CONNECTIONS 2U

struct BsHttpd {
    BsLoop *loop;
    struct MHD_Daemon *daemon;
    ev_io io;
    ev_prepare prepare;
    ev_prepare resumed; /* only fed by BsHttpd_Resume(), never started */
    ev_timer timer;
    BsScreen *screen; /* NULL when the library itself accepts connections */
    bool closing;     /* responses announce the end of their connection */
};

static void
S_run(BsHttpd *httpd)
{
    MHD_run(httpd->daemon);
}

static void
S_on_io(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    S_run(watcher->data);
}

static void
S_on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    S_run(watcher->data);
}

static void
S_on_resumed(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)ev;
    (void)events;
    S_run(watcher->data);
}

/* Runs the server while it has work that needs no event, then sets the timer
   to its timeout. */
static void
S_on_prepare(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)events;
    BsHttpd *httpd = watcher->data;
    MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
    enum MHD_Result has_timeout = MHD_NO;
    for (int i = 0; i < RUNS_MAX; i++) {
        has_timeout = MHD_get_timeout(httpd->daemon, &timeout_ms);
        if (has_timeout != MHD_YES || timeout_ms > 0) {
            break;
        }
        S_run(httpd);
    }
    ev_timer_stop(ev, &httpd->timer);
    if (has_timeout == MHD_YES) {
        ev_timer_set(&httpd->timer, (double)timeout_ms / MS_PER_S, 0.0);
        ev_timer_start(ev, &httpd->timer);
    }
}

/* Returns a bound and listening socket, or -1 with ERROR set. */
static int
S_listen(const BsHttpdConfig *config, GError **error)
{
    struct sockaddr_storage address;
    socklen_t length;
    if (!BsSettings_ParseAddress(config->address, &address, &length)) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "%s: '%s' is not an address; use IP:port", config->key,
                    config->address);
        return -1;
    }
    int one = 1;
    int fd = socket(address.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
        bind(fd, (struct sockaddr *)&address, length) == 0 &&
        listen(fd, LISTEN_BACKLOG) == 0) {
        return fd;
    }
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: cannot listen on %s: %s; stop the program that uses it "
                "or choose another port",
                config->key, config->address, strerror(errno));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

static void
S_on_log(void *context, const char *format, va_list args)
{
    (void)format;
    (void)args;
    BsLoop_Count(context, "http_protocol_errors", 1);
}

static struct MHD_Daemon *
S_start(BsLoop *loop, const BsHttpdConfig *config, int fd)
{
    unsigned flags =
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_EXTERNAL_LOGGER, (intptr_t)S_on_log, loop},
        {MHD_OPTION_CONNECTION_LIMIT,
         config->screened ? LIBRARY_CONNECTIONS * config->connections
                          : config->connections,
         NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, config->header_bytes, NULL},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)config->completed,
         config->context},
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)config->connected,
         config->context},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)config->uri, config->context},
        {config->screened ? MHD_OPTION_END : MHD_OPTION_LISTEN_SOCKET, fd,
         NULL},
        {MHD_OPTION_END, 0, NULL}};
    if (config->screened) {
        flags |= MHD_USE_NO_LISTEN_SOCKET;
    }
    return MHD_start_daemon(flags, 0, NULL, NULL, config->handle,
                            config->context, MHD_OPTION_ARRAY, options,
                            MHD_OPTION_END);
}

static bool
S_add_connection(void *context, int fd, const struct sockaddr *address,
                 socklen_t address_bytes)
{
    BsHttpd *httpd = context;
    return MHD_add_connection(httpd->daemon, fd, address, address_bytes) ==
           MHD_YES;
}

static void
S_start_screen(BsHttpd *httpd, const BsHttpdConfig *config, int fd)
{
    BsScreenConfig screen = {
        .listen_fd = fd,
        .header_bytes = config->header_bytes,
        .places = config->connections,
        .unsent_bytes = config->unsent_bytes,
        .key = config->key,
        .certificate_callback = config->certificate_callback,
        .add = S_add_connection,
        .context = httpd,
    };
    httpd->screen = BsScreen_Create(httpd->loop, &screen);
}

static void
S_watch(BsHttpd *httpd)
{
    struct ev_loop *ev = BsLoop_Ev(httpd->loop);
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&httpd->io, S_on_io, info->epoll_fd, EV_READ);
    httpd->io.data = httpd;
    ev_io_start(ev, &httpd->io);
    ev_prepare_init(&httpd->prepare, S_on_prepare);
    httpd->prepare.data = httpd;
    ev_prepare_start(ev, &httpd->prepare);
    ev_prepare_init(&httpd->resumed, S_on_resumed);
    httpd->resumed.data = httpd;
    ev_timer_init(&httpd->timer, S_on_timer, 0.0, 0.0);
    httpd->timer.data = httpd;
}

BsHttpd *
BsHttpd_Create(BsLoop *loop, const BsHttpdConfig *config, GError **error)
{
    int fd = S_listen(config, error);
    if (fd < 0) {
        return NULL;
    }
    struct MHD_Daemon *daemon = S_start(loop, config, fd);
    if (daemon == NULL) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "%s: the HTTP server does not start; raise the limit of "
                    "open files or lower limits.connections",
                    config->key);
        close(fd);
        return NULL;
    }
    BsHttpd *httpd = g_new0(BsHttpd, 1);
    httpd->loop = loop;
    httpd->daemon = daemon;
    S_watch(httpd);
    if (config->screened) {
        S_start_screen(httpd, config, fd);
    }
    return httpd;
}

void
BsHttpd_Destroy(BsHttpd *httpd)
{
    if (httpd == NULL) {
        return;
    }
    struct ev_loop *ev = BsLoop_Ev(httpd->loop);
    ev_io_stop(ev, &httpd->io);
    ev_prepare_stop(ev, &httpd->prepare);
    ev_clear_pending(ev, &httpd->resumed);
    ev_timer_stop(ev, &httpd->timer);
    MHD_stop_daemon(httpd->daemon);
    BsScreen_Destroy(httpd->screen);
    g_free(httpd);
}

void
BsHttpd_Resume(BsHttpd *httpd, struct MHD_Connection *connection)
{
    MHD_resume_connection(connection);
    ev_feed_event(BsLoop_Ev(httpd->loop), &httpd->resumed, EV_PREPARE);
}

static int
S_connection_fd(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info->connect_fd;
}

void
BsHttpd_SetState(BsHttpd *httpd, struct MHD_Connection *connection,
                 BsConnPhase phase, uint64_t held_bytes)
{
    if (httpd->screen != NULL) {
        BsScreen_SetState(httpd->screen, S_connection_fd(connection), phase,
                          held_bytes);
    }
}

bool
BsHttpd_Displace(BsHttpd *httpd, struct MHD_Connection *connection)
{
    return httpd->screen != NULL &&
           BsScreen_Displace(httpd->screen, S_connection_fd(connection));
}

void
BsHttpd_StartClosing(BsHttpd *httpd)
{
    httpd->closing = true;
}

bool
BsHttpd_IsClosing(const BsHttpd *httpd)
{
    return httpd->closing;
}

bool
BsHttpd_HasUnsent(const BsHttpd *httpd)
{
    return httpd->screen != NULL && BsScreen_HasUnsent(httpd->screen);
}
