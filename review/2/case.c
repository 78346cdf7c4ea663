/* case.c - a runner that leaves while one machine of the zone is cut off from
   the store. */
#include "../standin/runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MACHINES 3
#define CALLERS (4 * MACHINES)

/* The rule's bound, and how long the runner goes on serving beyond it. */
#define DRAIN_MS 2500
#define LINGER_MS 1000

#define LISTED_MS 3000
#define REMOVED_AFTER_MS 100
#define CUT_OFF_MS 5500
#define CALM_MS 4500
#define REQUEST_GAP_MS 40

typedef struct {
    unsigned machine;
    unsigned number;
    bool ends;
} Caller;

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static Caller S_callers[CALLERS];
static unsigned S_cut_off; /* the machine, from 0 */
static char S_leaving[RV_ID_MAX];
static int64_t S_removed_ms; /* acknowledged then; 0: it is listed */
static unsigned S_late;
static unsigned S_lost;
static unsigned S_served;
static int64_t S_worst_ms;

static void
S_on_run(const char *runner_id, const char *id, const RvMessage *request,
         int64_t arrived_ms)
{
    (void)request;
    unsigned machine = (unsigned)strtoul(id + strlen("booking-f"), NULL, 10);
    pthread_mutex_lock(&S_lock);
    int64_t late_ms = arrived_ms - S_removed_ms - DRAIN_MS;
    bool gone = S_removed_ms > 0 && strcmp(runner_id, S_leaving) == 0;
    bool in_touch = machine != S_cut_off + 1 || !Rv_HasTrouble();
    bool late = gone && in_touch && late_ms > 0;
    if (late) {
        S_late++;
        S_worst_ms = late_ms > S_worst_ms ? late_ms : S_worst_ms;
    }
    pthread_mutex_unlock(&S_lock);
    Rv_Note("%s runs %s%s", runner_id, id,
            late ? " DRAIN: it arrived later than drain-ms after the removal"
                 : "");
}

/* Books through one machine, one booking after the other. */
static void *
S_book(void *context)
{
    Caller *caller = context;
    RvReader *reader = calloc(1, sizeof(*reader));
    RvMessage *answer = calloc(1, sizeof(*answer));
    reader->fd = -1;
    for (unsigned i = 1; !caller->ends; i++) {
        char request[512];
        char id[RV_ID_MAX];
        snprintf(id, sizeof(id), "booking-f%u-c%u-%u", caller->machine + 1,
                 caller->number, i);
        snprintf(request, sizeof(request),
                 "POST /visits/book HTTP/1.1\r\nHost: desk.example\r\n"
                 "Request-Id: %s\r\nDeadline-Ms: 3000\r\n"
                 "Content-Length: 2\r\n\r\n{}",
                 id);
        if (reader->fd < 0) {
            reader->bytes = 0;
            reader->fd =
                Rv_Connect(RvFleet_Address(caller->machine), RvFleet_Port());
        }
        unsigned status = 0;
        if (Rv_Write(reader->fd, request, strlen(request)) &&
            Rv_Read(reader, answer, 4000)) {
            status = (unsigned)strtoul(answer->head + 9, NULL, 10);
        }
        else {
            close(reader->fd);
            reader->fd = -1;
        }
        pthread_mutex_lock(&S_lock);
        S_served += status == 200;
        S_lost += status != 200 && status != 503;
        pthread_mutex_unlock(&S_lock);
        if (status != 200) {
            Rv_Note("client gets %u for %s", status, id);
        }
        Rv_SleepMs(REQUEST_GAP_MS);
    }
    if (reader->fd >= 0) {
        close(reader->fd);
    }
    free(answer);
    free(reader);
    return NULL;
}

/* A second runner comes, and leaves without a word while one machine is
   cut off from the store. */
static void
S_play_round(unsigned round, RvRunnerOptions *options)
{
    pthread_mutex_lock(&S_lock);
    snprintf(S_leaving, sizeof(S_leaving), "i-leaves-%u", round + 1);
    S_cut_off = round;
    S_removed_ms = 0;
    pthread_mutex_unlock(&S_lock);
    options->id = strdup(S_leaving);
    options->address = "127.0.3.2";
    RvRunner *runner = RvRunner_Start(options);
    Rv_Note("%s is listed", S_leaving);
    Rv_SleepMs(LISTED_MS);
    if (Rv_HasTrouble()) {
        RvStore_SetAnswers(round, false);
        Rv_Note("front-%u is cut off from the store", round + 1);
    }
    Rv_SleepMs(REMOVED_AFTER_MS);
    pthread_mutex_lock(&S_lock);
    S_removed_ms = RvRunner_Leave(runner);
    pthread_mutex_unlock(&S_lock);
    Rv_Note("the removal of %s is acknowledged", S_leaving);
    Rv_SleepMs(DRAIN_MS + LINGER_MS);
    RvRunner_Exit(runner);
    Rv_Note("%s has exited", S_leaving);
    Rv_SleepMs(CUT_OFF_MS - REMOVED_AFTER_MS - DRAIN_MS - LINGER_MS);
    RvStore_SetAnswers(round, true);
    Rv_Note("all machines reach the store");
    Rv_SleepMs(CALM_MS);
}

static const char S_config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"book-visit\","
    "\"host\":\"desk.example\",\"prefix\":\"/visits/\","
    "\"route-type\":\"unsafe\",\"timeout-ms\":1500,"
    "\"target-latency-ms\":300,\"priority\":0,\"service\":\"ledger-app\","
    "\"max-attempts\":1,\"public\":true,\"allowed-regions\":[]}],"
    "\"services\":[{\"name\":\"ledger-app\",\"health-path\":\"/health\","
    "\"max-connections\":110,\"cold-start-s\":0,\"cold-per-s\":0}],"
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

int
main(int argc, char **argv)
{
    pthread_t threads[CALLERS];
    RvFleet fleet = {.folder = argv[argc - 1],
                     .zones = {"akl-yard"},
                     .zone_count = 1,
                     .count = MACHINES};
    RvRunnerOptions ledger = {.id = "i-stays",
                              .service = "ledger-app",
                              .zone = "akl-yard",
                              .address = "127.0.3.1",
                              .slots = 6,
                              .queue = 24,
                              .work_ms = 60,
                              .on_run = S_on_run};
    Rv_Open(argv[1]);
    RvStore_Start(fleet.count);
    RvStore_Put("op/config", S_config);
    RvRunner_Start(&ledger);
    RvFleet_Start(&fleet);
    Rv_SleepMs(3000);
    for (unsigned i = 0; i < CALLERS; i++) {
        S_callers[i].machine = i % MACHINES;
        S_callers[i].number = i / MACHINES + 1;
        pthread_create(&threads[i], NULL, S_book, &S_callers[i]);
    }
    for (unsigned i = 0; i < MACHINES; i++) {
        S_play_round(i, &ledger);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        S_callers[i].ends = true;
        pthread_join(threads[i], NULL);
    }
    RvFleet_Stop();
    Rv_Note("%u bookings served, %u without a known outcome, %u broke the "
            "rule, the worst %lld ms late",
            S_served, S_lost, S_late, (long long)S_worst_ms);
    printf("%u bookings served, %u without a known outcome, %u broke the "
           "rule, the worst %lld ms late\n",
           S_served, S_lost, S_late, (long long)S_worst_ms);
    if (S_served < 500) {
        Rv_GiveUp("too few bookings were served");
    }
    return S_late > 0 ? 1 : 0;
}
