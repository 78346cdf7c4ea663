/* runner.c - a stand-in of a runner; see runner.h. */
#include "runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 256
#define ANSWER_MAX 1024

struct RvRunner {
    RvRunnerOptions options;
    pthread_mutex_t lock;
    pthread_cond_t freed;
    unsigned running;
    unsigned waiting;
    int64_t born_ms;
    int connections[CONNECTIONS_MAX]; /* sockets; 0: unused */
    int listener;
    uint16_t port;
    bool exited;
};

typedef struct {
    RvRunner *runner;
    int fd;
} RvConnection;

static void
S_register(RvRunner *runner)
{
    char key[64];
    char value[512];
    snprintf(key, sizeof(key), "servers/%s", runner->options.id);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
             "\"version\":\"1\",\"slots\":%u,\"state\":\"ready\","
             "\"cold-remaining-ms\":0,\"sequence\":1,\"born\":%lld}",
             runner->options.service, runner->options.address, runner->port,
             runner->options.zone, runner->options.slots,
             (long long)runner->born_ms);
    RvStore_Put(key, value);
}

/* Waits for a slot; returns false when the runner is full. */
static bool
S_take_slot(RvRunner *runner)
{
    bool taken = false;
    pthread_mutex_lock(&runner->lock);
    if (runner->running < runner->options.slots ||
        runner->waiting < runner->options.queue) {
        runner->waiting++;
        while (runner->running >= runner->options.slots) {
            pthread_cond_wait(&runner->freed, &runner->lock);
        }
        runner->waiting--;
        runner->running++;
        taken = true;
    }
    pthread_mutex_unlock(&runner->lock);
    return taken;
}

static void
S_free_slot(RvRunner *runner)
{
    pthread_mutex_lock(&runner->lock);
    runner->running--;
    pthread_cond_signal(&runner->freed);
    pthread_mutex_unlock(&runner->lock);
}

/* Runs the request, or refuses it; writes the answer to TEXT and returns its
   status. */
static unsigned
S_run(RvRunner *runner, const RvMessage *request, const char *id, char *text)
{
    char expected[RV_ID_MAX] = "";
    char reason[32] = "";
    int64_t arrived_ms = Rv_NowMs();
    Rv_Header(request, "Expect-Instance", expected, sizeof(expected));
    unsigned status = 200;
    if (expected[0] != '\0' && strcmp(expected, runner->options.id) != 0) {
        status = 421;
    }
    else if (!S_take_slot(runner)) {
        status = 503;
    }
    if (status != 200) {
        snprintf(reason, sizeof(reason), "Not-Executed: 1\r\n");
    }
    else {
        if (runner->options.on_run != NULL) {
            runner->options.on_run(runner->options.id, id, request,
                                   arrived_ms);
        }
        Rv_SleepMs(runner->options.work_ms);
        S_free_slot(runner);
    }
    snprintf(text, ANSWER_MAX,
             "HTTP/1.1 %u x\r\nRequest-Id: %s\r\n"
             "Response-Signature: %s.%s\r\n%sKeep-Alive: timeout=5\r\n"
             "Content-Length: 4\r\n\r\ndone",
             status, id, runner->options.id, id, reason);
    return status;
}

/* Stores the socket TO instead of FROM in the list of connections; returns
   false when the runner has exited. */
static bool
S_list_connection(RvRunner *runner, int from, int to)
{
    pthread_mutex_lock(&runner->lock);
    unsigned i = 0;
    while (i + 1 < CONNECTIONS_MAX && runner->connections[i] != from) {
        i++;
    }
    runner->connections[i] = to;
    bool exited = runner->exited;
    pthread_mutex_unlock(&runner->lock);
    return !exited;
}

static void *
S_serve(void *context)
{
    RvConnection *connection = context;
    RvRunner *runner = connection->runner;
    RvReader *reader = calloc(1, sizeof(*reader));
    RvMessage *request = calloc(1, sizeof(*request));
    char extra[ANSWER_MAX] = "";
    char answer[ANSWER_MAX];
    char id[RV_ID_MAX];
    reader->fd = connection->fd;
    bool open = S_list_connection(runner, 0, connection->fd);
    while (open && Rv_Read(reader, request, 0) && request->complete) {
        Rv_Write(connection->fd, extra, strlen(extra));
        extra[0] = '\0';
        id[0] = '\0';
        Rv_Header(request, "Request-Id", id, sizeof(id));
        unsigned status = S_run(runner, request, id, answer);
        if (!Rv_Write(connection->fd, answer, strlen(answer))) {
            break;
        }
        if (runner->options.sends_extra != NULL &&
            runner->options.sends_extra(id, status)) {
            snprintf(extra, sizeof(extra), "%s", answer);
        }
    }
    S_list_connection(runner, connection->fd, 0);
    close(connection->fd);
    free(connection);
    free(request);
    free(reader);
    return NULL;
}

static void *
S_accept(void *context)
{
    RvRunner *runner = context;
    for (;;) {
        pthread_t thread;
        int fd = accept(runner->listener, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        RvConnection *connection = calloc(1, sizeof(*connection));
        connection->runner = runner;
        connection->fd = fd;
        pthread_create(&thread, NULL, S_serve, connection);
        pthread_detach(thread);
    }
    return NULL;
}

RvRunner *
RvRunner_Start(const RvRunnerOptions *options)
{
    pthread_t thread;
    struct timespec now;
    RvRunner *runner = calloc(1, sizeof(*runner));
    runner->options = *options;
    pthread_mutex_init(&runner->lock, NULL);
    pthread_cond_init(&runner->freed, NULL);
    clock_gettime(CLOCK_REALTIME, &now);
    runner->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    runner->listener = Rv_Listen(options->address, &runner->port);
    pthread_create(&thread, NULL, S_accept, runner);
    pthread_detach(thread);
    S_register(runner);
    return runner;
}

int64_t
RvRunner_Leave(RvRunner *runner)
{
    char key[64];
    snprintf(key, sizeof(key), "servers/%s", runner->options.id);
    return RvStore_Put(key, NULL);
}

void
RvRunner_Exit(RvRunner *runner)
{
    pthread_mutex_lock(&runner->lock);
    runner->exited = true;
    shutdown(runner->listener, SHUT_RDWR);
    close(runner->listener);
    for (unsigned i = 0; i < CONNECTIONS_MAX; i++) {
        if (runner->connections[i] > 0) {
            shutdown(runner->connections[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&runner->lock);
}
