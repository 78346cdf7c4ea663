/* standin.c - stand-ins for the cases of the review; see standin.h. */
#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define READY_LIMIT_MS 10000
#define STOP_LIMIT_MS 12000
#define FRONT_PORT_FIRST 18200

/* ---------------------------------------------------------------- record */

static FILE *S_record;
static struct timespec S_start;
static pthread_mutex_t S_record_lock = PTHREAD_MUTEX_INITIALIZER;

void
Rv_Open(const char *path)
{
    char name[512];
    snprintf(name, sizeof(name), "%s/record.txt", path);
    S_record = fopen(name, "w");
    if (S_record == NULL) {
        Rv_GiveUp("cannot write record.txt");
    }
    signal(SIGPIPE, SIG_IGN);
    clock_gettime(CLOCK_MONOTONIC, &S_start);
}

int64_t
Rv_NowMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)(now.tv_sec - S_start.tv_sec) * MS_PER_S +
           (now.tv_nsec - S_start.tv_nsec) / NS_PER_MS;
}

void
Rv_Note(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&S_record_lock);
    fprintf(S_record, "%8.3f s  ", (double)Rv_NowMs() / MS_PER_S);
    va_start(arguments, format);
    vfprintf(S_record, format, arguments);
    va_end(arguments);
    fputc('\n', S_record);
    fflush(S_record);
    pthread_mutex_unlock(&S_record_lock);
}

void
Rv_SleepMs(int64_t ms)
{
    struct timespec pause = {.tv_sec = ms / MS_PER_S,
                             .tv_nsec = ms % MS_PER_S * NS_PER_MS};
    nanosleep(&pause, NULL);
}

bool
Rv_HasTrouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

/* --------------------------------------------------------------- sockets */

static struct sockaddr_in
S_address(const char *address, uint16_t port)
{
    struct sockaddr_in result = {.sin_family = AF_INET,
                                 .sin_port = htons(port)};
    inet_pton(AF_INET, address, &result.sin_addr);
    return result;
}

int
Rv_Listen(const char *address, uint16_t *port)
{
    struct sockaddr_in at = S_address(address, *port);
    socklen_t length = sizeof(at);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, 128) != 0 ||
        getsockname(fd, (struct sockaddr *)&at, &length) != 0) {
        Rv_GiveUp("cannot listen");
    }
    *port = ntohs(at.sin_port);
    return fd;
}

int
Rv_Connect(const char *address, uint16_t port)
{
    struct sockaddr_in to = S_address(address, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
Rv_Write(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* Reads more bytes; returns false at the end of the connection or after
   TIMEOUT_MS. */
static bool
S_fill(RvReader *reader, int timeout_ms)
{
    struct pollfd poller = {.fd = reader->fd, .events = POLLIN};
    if (timeout_ms > 0 && poll(&poller, 1, timeout_ms) <= 0) {
        return false;
    }
    ssize_t size = recv(reader->fd, reader->data + reader->bytes,
                        sizeof(reader->data) - reader->bytes, 0);
    if (size <= 0) {
        return false;
    }
    reader->bytes += (size_t)size;
    return true;
}

/* Removes SIZE bytes from the front and copies them to OUT, if given. */
static void
S_take(RvReader *reader, size_t size, char *out)
{
    if (out != NULL) {
        memcpy(out, reader->data, size);
    }
    memmove(reader->data, reader->data + size, reader->bytes - size);
    reader->bytes -= size;
}

bool
Rv_Header(const RvMessage *message, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(message->head, "\r\n");
    while (line != NULL && line[2] != '\0') {
        line += 2;
        const char *end = strstr(line, "\r\n");
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *text = line + length + 1;
            text += strspn(text, " ");
            snprintf(value, size, "%.*s", (int)(end - text), text);
            return true;
        }
        line = end;
    }
    return false;
}

static bool
S_add_body(RvReader *reader, RvMessage *message, size_t size, int timeout_ms)
{
    while (reader->bytes < size) {
        if (!S_fill(reader, timeout_ms)) {
            return false;
        }
    }
    if (message->body_bytes + size > RV_BODY_MAX) {
        return false;
    }
    S_take(reader, size, message->body + message->body_bytes);
    message->body_bytes += size;
    message->body[message->body_bytes] = '\0';
    return true;
}

/* Reads a line without its CR LF into TEXT. */
static bool
S_read_line(RvReader *reader, char *text, size_t size, int timeout_ms)
{
    const char *end;
    while ((end = memmem(reader->data, reader->bytes, "\r\n", 2)) == NULL) {
        if (!S_fill(reader, timeout_ms)) {
            return false;
        }
    }
    size_t length = (size_t)(end - reader->data);
    snprintf(text, size, "%.*s", (int)length, reader->data);
    S_take(reader, length + 2, NULL);
    return true;
}

static bool
S_read_chunks(RvReader *reader, RvMessage *message, int timeout_ms)
{
    char line[64];
    size_t size;
    do {
        if (!S_read_line(reader, line, sizeof(line), timeout_ms)) {
            return false;
        }
        size = strtoul(line, NULL, 16);
        if (!S_add_body(reader, message, size, timeout_ms) ||
            !S_read_line(reader, line, sizeof(line), timeout_ms)) {
            return false;
        }
    } while (size > 0);
    return true;
}

bool
Rv_Read(RvReader *reader, RvMessage *message, int timeout_ms)
{
    const char *end;
    char value[64];
    message->body_bytes = 0;
    message->body[0] = '\0';
    message->complete = false;
    while ((end = memmem(reader->data, reader->bytes, "\r\n\r\n", 4)) ==
           NULL) {
        if (reader->bytes >= RV_HEAD_MAX - 2 || !S_fill(reader, timeout_ms)) {
            return false;
        }
    }
    size_t head_bytes = (size_t)(end - reader->data) + 2;
    S_take(reader, head_bytes, message->head);
    message->head[head_bytes] = '\0';
    S_take(reader, 2, NULL);
    if (Rv_Header(message, "Transfer-Encoding", value, sizeof(value))) {
        message->complete = S_read_chunks(reader, message, timeout_ms);
        return true;
    }
    size_t size = 0;
    if (Rv_Header(message, "Content-Length", value, sizeof(value))) {
        size = strtoul(value, NULL, 10);
    }
    message->complete = S_add_body(reader, message, size, timeout_ms);
    return true;
}

/* ----------------------------------------------------------------- store */

#define ITEMS_MAX 512
#define MACHINES_MAX 16

typedef struct {
    char key[128];
    char *value; /* base64; NULL: removed */
    uint64_t revision;
} RvItem;

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    RvItem items[ITEMS_MAX];
    unsigned count;
    uint64_t revision;
    bool silent[MACHINES_MAX];
    uint16_t port;
} S_store = {.lock = PTHREAD_MUTEX_INITIALIZER,
             .changed = PTHREAD_COND_INITIALIZER,
             .revision = 1};

static char *
S_encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char *out = calloc(size / 3 + 2, 4);
    char *at = out;
    for (size_t i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
        bits |= i + 1 < size ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < size ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *at++ = digits[bits >> 18 & 63];
        *at++ = digits[bits >> 12 & 63];
        *at++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        *at++ = i + 2 < size ? digits[bits & 63] : '=';
    }
    return out;
}

int64_t
RvStore_Put(const char *key, const char *value)
{
    pthread_mutex_lock(&S_store.lock);
    unsigned i = 0;
    while (i < S_store.count && strcmp(S_store.items[i].key, key) != 0) {
        i++;
    }
    RvItem *item = &S_store.items[i];
    if (i == S_store.count) {
        S_store.count++;
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    free(item->value);
    item->value = value == NULL ? NULL : S_encode_base64(value);
    item->revision = ++S_store.revision;
    pthread_cond_broadcast(&S_store.changed);
    int64_t now_ms = Rv_NowMs();
    pthread_mutex_unlock(&S_store.lock);
    return now_ms;
}

void
RvStore_SetAnswers(unsigned machine, bool answers)
{
    pthread_mutex_lock(&S_store.lock);
    S_store.silent[machine] = !answers;
    pthread_mutex_unlock(&S_store.lock);
}

uint16_t
RvStore_Port(void)
{
    return S_store.port;
}

/* Writes the items changed after revision AFTER as JSON; removed ones only
   with REMOVED.  Returns how many there are. */
static unsigned
S_write_items(FILE *out, uint64_t after, bool removed)
{
    unsigned found = 0;
    for (unsigned i = 0; i < S_store.count; i++) {
        const RvItem *item = &S_store.items[i];
        if (item->revision <= after || (item->value == NULL && !removed)) {
            continue;
        }
        fprintf(out, "%s{\"key\":\"%s\",\"revision\":%llu,",
                found++ == 0 ? "" : ",", item->key,
                (unsigned long long)item->revision);
        if (item->value == NULL) {
            fputs("\"deleted\":true}", out);
        }
        else {
            fprintf(out, "\"value\":\"%s\",\"create-revision\":1,\"lease\":0}",
                    item->value);
        }
    }
    return found;
}

static uint64_t
S_query_number(const char *head, const char *name)
{
    const char *text = strstr(head, name);
    return text == NULL ? 0 : strtoull(text + strlen(name), NULL, 10);
}

/* Waits until there is a change after revision AFTER, WAIT_MS at most. */
static void
S_wait_for_change(uint64_t after, uint64_t wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += (time_t)(wait_ms / MS_PER_S);
    until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
    if (until.tv_nsec >= MS_PER_S * NS_PER_MS) {
        until.tv_sec++;
        until.tv_nsec -= MS_PER_S * NS_PER_MS;
    }
    while (S_store.revision <= after &&
           pthread_cond_timedwait(&S_store.changed, &S_store.lock, &until) !=
               ETIMEDOUT) {
    }
}

/* Answers one call; returns false when the connection is to hang from now
   on. */
static bool
S_answer_call(int fd, unsigned machine, const RvMessage *call)
{
    char *text = NULL;
    size_t size = 0;
    bool watch = strstr(call->head, "kv-watch") != NULL;
    uint64_t after = watch ? S_query_number(call->head, "after=") : 0;
    FILE *out = open_memstream(&text, &size);
    pthread_mutex_lock(&S_store.lock);
    if (watch && !S_store.silent[machine]) {
        S_wait_for_change(after, S_query_number(call->head, "wait-ms="));
    }
    bool silent = S_store.silent[machine];
    fprintf(out, "{\"%s\":[", watch ? "events" : "items");
    S_write_items(out, after, watch);
    fprintf(out, "],\"current-rev\":%llu,\"more-pages\":false}",
            (unsigned long long)S_store.revision);
    pthread_mutex_unlock(&S_store.lock);
    fclose(out);
    if (!silent) {
        char head[128];
        snprintf(head, sizeof(head),
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 size);
        Rv_Write(fd, head, strlen(head));
        Rv_Write(fd, text, size);
    }
    free(text);
    return !silent;
}

static void *
S_serve_machine(void *context)
{
    int fd = (int)(intptr_t)context;
    struct sockaddr_in at;
    socklen_t length = sizeof(at);
    RvReader *reader = calloc(1, sizeof(*reader));
    RvMessage *call = calloc(1, sizeof(*call));
    reader->fd = fd;
    getsockname(fd, (struct sockaddr *)&at, &length);
    unsigned machine = (ntohl(at.sin_addr.s_addr) & 0xff) - 1;
    while (Rv_Read(reader, call, 0) && S_answer_call(fd, machine, call)) {
    }
    while (Rv_Read(reader, call, 0)) {
        /* A connection that was not answered stays silent. */
    }
    close(fd);
    free(call);
    free(reader);
    return NULL;
}

static void *
S_accept_machines(void *context)
{
    int listener = (int)(intptr_t)context;
    for (;;) {
        pthread_t thread;
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0) {
            pthread_create(&thread, NULL, S_serve_machine,
                           (void *)(intptr_t)fd);
            pthread_detach(thread);
        }
    }
    return NULL;
}

void
RvStore_Start(unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        char address[32];
        pthread_t thread;
        snprintf(address, sizeof(address), "127.0.1.%u", i + 1);
        int listener = Rv_Listen(address, &S_store.port);
        pthread_create(&thread, NULL, S_accept_machines,
                       (void *)(intptr_t)listener);
        pthread_detach(thread);
    }
}

/* -------------------------------------------------------------- gateways */

static struct {
    pid_t pids[MACHINES_MAX];
    char addresses[MACHINES_MAX][32];
    unsigned count;
    uint16_t port; /* of clients; the next ones are ready, admin and peers */
} S_fleet;

/* Returns the first of four adjacent ports that are free at all addresses. */
static uint16_t
S_find_ports(unsigned count)
{
    for (unsigned first = FRONT_PORT_FIRST; first < 30000; first += 4) {
        bool is_free = true;
        for (unsigned i = 0; i < 4 * count && is_free; i++) {
            char address[32];
            snprintf(address, sizeof(address), "127.0.2.%u", i / 4 + 1);
            struct sockaddr_in at =
                S_address(address, (uint16_t)(first + i % 4));
            int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            is_free = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
            close(fd);
        }
        if (is_free) {
            return (uint16_t)first;
        }
    }
    Rv_GiveUp("no free ports");
}

static void
S_write_settings(const RvFleet *fleet, unsigned index, const char *path)
{
    FILE *out = fopen(path, "w");
    unsigned port = S_fleet.port;
    const char *own = S_fleet.addresses[index];
    if (out == NULL) {
        Rv_GiveUp("cannot write settings");
    }
    fprintf(out, "name: \"front-%u\"\ndata_centre: \"%s\"\n", index + 1,
            fleet->zones[index % fleet->zone_count]);
    fputs("region: \"north-island\"\ndata_centres:\n", out);
    for (unsigned i = 0; i < fleet->zone_count; i++) {
        fprintf(out, "  - { name: \"%s\", region: \"north-island\" }\n",
                fleet->zones[i]);
    }
    fprintf(out,
            "callers: \"%s:%u\"\nready: \"%s:%u\"\nadmin: \"%s:%u\"\n"
            "peers: \"%s:%u\"\nseeds: [ ",
            own, port, own, port + 1, own, port + 2, own, port + 3);
    for (unsigned i = 0; i < fleet->count && i < 3; i++) {
        fprintf(out, "%s\"%s:%u\"", i == 0 ? "" : ", ", S_fleet.addresses[i],
                port + 3);
    }
    fprintf(out, " ]\nstore: \"127.0.1.%u:%u\"\n", index + 1, S_store.port);
    fputs("machine:\n  memory_mb: 110\n  descriptors: 4100\n"
          "bounds:\n  drain_ms: 2500\n  grace_s: 8\n  retry_ratio: 0.2\n"
          "  retry_slack: 58\n  retry_window_s: 10\n  quota_over: 0.25\n"
          "  quota_slack: 110000\n",
          out);
    fclose(out);
}

static void
S_start_gateway(const RvFleet *fleet, unsigned index)
{
    char settings[512];
    char log[512];
    const char *program = getenv("GATEWAY");
    if (program == NULL) {
        Rv_GiveUp("GATEWAY names no program");
    }
    snprintf(settings, sizeof(settings), "%s/front-%u.yaml", fleet->folder,
             index + 1);
    snprintf(log, sizeof(log), "%s/front-%u.log", fleet->folder, index + 1);
    S_write_settings(fleet, index, settings);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (freopen(log, "a", stdout) == NULL ||
            freopen(log, "a", stderr) == NULL) {
            _exit(2);
        }
        execl(program, program, settings, (char *)NULL);
        _exit(2);
    }
    S_fleet.pids[index] = pid;
}

static bool
S_is_ready(unsigned index)
{
    static const char request[] =
        "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    char answer[64] = "";
    int fd =
        Rv_Connect(S_fleet.addresses[index], (uint16_t)(S_fleet.port + 1));
    if (fd < 0) {
        return false;
    }
    bool sent = Rv_Write(fd, request, strlen(request));
    ssize_t size = sent ? recv(fd, answer, sizeof(answer) - 1, 0) : 0;
    close(fd);
    return size > 0 && strstr(answer, " 200 ") != NULL;
}

void
RvFleet_Start(const RvFleet *fleet)
{
    S_fleet.count = fleet->count;
    S_fleet.port = S_find_ports(fleet->count);
    for (unsigned i = 0; i < fleet->count; i++) {
        snprintf(S_fleet.addresses[i], sizeof(S_fleet.addresses[i]),
                 "127.0.2.%u", i + 1);
    }
    for (unsigned i = 0; i < fleet->count; i++) {
        S_start_gateway(fleet, i);
    }
    int64_t limit_ms = Rv_NowMs() + READY_LIMIT_MS;
    for (unsigned i = 0; i < fleet->count; i++) {
        while (!S_is_ready(i)) {
            if (Rv_NowMs() > limit_ms) {
                Rv_GiveUp("a gateway did not become ready");
            }
            Rv_SleepMs(50);
        }
    }
    Rv_Note("%u gateways are ready", fleet->count);
}

const char *
RvFleet_Address(unsigned index)
{
    return S_fleet.addresses[index];
}

uint16_t
RvFleet_Port(void)
{
    return S_fleet.port;
}

void
RvFleet_Signal(unsigned index, int number)
{
    kill(S_fleet.pids[index], number);
}

/* Waits for the gateway; kills it at LIMIT_MS. */
static void
S_reap(unsigned index, int64_t limit_ms)
{
    int status = 0;
    while (waitpid(S_fleet.pids[index], &status, WNOHANG) == 0) {
        if (Rv_NowMs() > limit_ms) {
            kill(S_fleet.pids[index], SIGKILL);
            waitpid(S_fleet.pids[index], &status, 0);
            break;
        }
        Rv_SleepMs(20);
    }
    if (WIFSIGNALED(status)) {
        Rv_Note("gateway %u ended by signal %d", index + 1, WTERMSIG(status));
    }
    S_fleet.pids[index] = 0;
}

void
RvFleet_Stop(void)
{
    for (unsigned i = 0; i < S_fleet.count; i++) {
        if (S_fleet.pids[i] > 0) {
            kill(S_fleet.pids[i], SIGTERM);
        }
    }
    int64_t limit_ms = Rv_NowMs() + STOP_LIMIT_MS;
    for (unsigned i = 0; i < S_fleet.count; i++) {
        if (S_fleet.pids[i] > 0) {
            S_reap(i, limit_ms);
        }
    }
}

_Noreturn void
Rv_GiveUp(const char *message)
{
    fprintf(stderr, "%s\n", message);
    for (unsigned i = 0; i < S_fleet.count; i++) {
        if (S_fleet.pids[i] > 0) {
            kill(S_fleet.pids[i], SIGKILL);
        }
    }
    exit(2);
}
