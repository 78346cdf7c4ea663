/* case.c - keys that are taken away while one machine of the zone is cut off
   from the store. */
#include "../standin/runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MACHINES 3
#define KEYS 12

/* The rule's bound. */
#define CONFIG_MS 2500

/* The configurations come in quick succession; the machine is cut off in
   the midst of them. */
#define CHANGE_GAP_MS 330
#define CUT_OFF_AT_MS 2000
#define CUT_OFF_MS 5500
#define CALM_MS 6000

#define REQUEST_GAP_MS 60

typedef struct {
    int64_t removed_ms; /* acknowledgement of its removal; 0: in force */
    char text[32];
} Key;

typedef struct {
    unsigned machine;
    unsigned key;
    unsigned round;
} Caller;

static Key S_keys[MACHINES][KEYS];
static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned S_version;
static unsigned S_cut_off; /* the machine, from 0 */
static unsigned S_late;    /* requests that broke the rule */
static unsigned S_served;
static int64_t S_worst_ms;

/* Publishes a configuration with the keys that are not removed; returns when
   it is acknowledged. */
static int64_t
S_publish(void)
{
    char text[8192];
    char keys[4096] = "";
    for (unsigned i = 0; i < MACHINES * KEYS; i++) {
        const Key *key = &S_keys[i / KEYS][i % KEYS];
        if (key->removed_ms == 0) {
            size_t length = strlen(keys);
            snprintf(keys + length, sizeof(keys) - length, "%s\"%s\"",
                     length == 0 ? "" : ",", key->text);
        }
    }
    S_version += 2;
    snprintf(text, sizeof(text),
             "{\"version\":%u,\"routes\":[{\"name\":\"route-lookup\","
             "\"host\":\"desk.example\",\"prefix\":\"/lookup/\","
             "\"route-type\":\"safe\",\"timeout-ms\":%u,"
             "\"target-latency-ms\":300,\"priority\":0,"
             "\"service\":\"ledger-app\",\"max-attempts\":2,\"public\":false,"
             "\"allowed-regions\":[]}],\"services\":[{\"name\":\"ledger-app\","
             "\"health-path\":\"/health\",\"max-connections\":110,"
             "\"cold-start-s\":0,\"cold-per-s\":0}],\"limits\":{"
             "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
             "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
             "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[%s],"
             "\"priority\":1,\"unit\":\"token_stream\",\"plain-tokens\":1,"
             "\"rate-per-s\":0,\"burst\":0,\"allowed-regions\":[]}]}",
             S_version, 1500 + S_version, keys);
    return RvStore_Put("op/config", text);
}

/* Judges the answer to a request sent at SENT_MS. */
static void
S_judge(const Caller *caller, const char *id, int64_t sent_ms, unsigned status)
{
    pthread_mutex_lock(&S_lock);
    const Key *key = &S_keys[caller->round][caller->key];
    int64_t late_ms = sent_ms - key->removed_ms - CONFIG_MS;
    bool removed = key->removed_ms > 0;
    bool in_touch = caller->machine != S_cut_off || !Rv_HasTrouble();
    S_served += status == 200;
    if (removed && in_touch && late_ms > 0 && status == 200) {
        S_late++;
        S_worst_ms = late_ms > S_worst_ms ? late_ms : S_worst_ms;
        Rv_Note("CONFIG: %s, sent %.3f s by front-%u, was run with %s, whose "
                "removal was acknowledged at %.3f s",
                id, (double)sent_ms / 1000, caller->machine + 1, key->text,
                (double)key->removed_ms / 1000);
    }
    pthread_mutex_unlock(&S_lock);
    if (removed) {
        Rv_Note("%s, sent %.3f s to front-%u, gets %u", id,
                (double)sent_ms / 1000, caller->machine + 1, status);
    }
}

/* Sends requests with one key to one machine, until 3 s after the bound. */
static void *
S_call(void *context)
{
    const Caller *caller = context;
    const char *key = S_keys[caller->round][caller->key].text;
    RvReader *reader = calloc(1, sizeof(*reader));
    RvMessage *answer = calloc(1, sizeof(*answer));
    int64_t end_ms = Rv_NowMs() + KEYS * CHANGE_GAP_MS + CONFIG_MS + 1500;
    reader->fd = Rv_Connect(RvFleet_Address(caller->machine), RvFleet_Port());
    for (unsigned i = 1; Rv_NowMs() < end_ms; i++) {
        char request[512];
        char id[RV_ID_MAX];
        snprintf(id, sizeof(id), "%s-f%u-%u", key, caller->machine + 1, i);
        snprintf(request, sizeof(request),
                 "GET /lookup/%u HTTP/1.1\r\nHost: desk.example\r\n"
                 "Request-Id: %s\r\nDeadline-Ms: 3000\r\nApi-Key: %s\r\n\r\n",
                 caller->key, id, key);
        int64_t sent_ms = Rv_NowMs();
        if (!Rv_Write(reader->fd, request, strlen(request)) ||
            !Rv_Read(reader, answer, 4000)) {
            Rv_Note("%s: the connection ended", id);
            break;
        }
        S_judge(caller, id, sent_ms,
                (unsigned)strtoul(answer->head + 9, NULL, 10));
        Rv_SleepMs(REQUEST_GAP_MS);
    }
    close(reader->fd);
    free(answer);
    free(reader);
    return NULL;
}

/* Takes the keys of ROUND away one after the other, while one machine is
   cut off from the store. */
static void
S_play_round(unsigned round)
{
    pthread_t threads[MACHINES * KEYS];
    static Caller callers[MACHINES * KEYS];
    S_cut_off = round;
    for (unsigned i = 0; i < MACHINES * KEYS; i++) {
        callers[i] =
            (Caller){.machine = i / KEYS, .key = i % KEYS, .round = round};
        pthread_create(&threads[i], NULL, S_call, &callers[i]);
    }
    int64_t start_ms = Rv_NowMs();
    int64_t cut_off_ms = start_ms + CUT_OFF_AT_MS;
    bool cut_off = false;
    for (unsigned i = 0; i < KEYS; i++) {
        int64_t change_ms = start_ms + (i + 1) * CHANGE_GAP_MS;
        if (!cut_off && change_ms > cut_off_ms) {
            cut_off = true;
            Rv_SleepMs(cut_off_ms - Rv_NowMs());
            if (Rv_HasTrouble()) {
                RvStore_SetAnswers(round, false);
                Rv_Note("front-%u is cut off from the store", round + 1);
            }
        }
        Rv_SleepMs(change_ms - Rv_NowMs());
        pthread_mutex_lock(&S_lock);
        S_keys[round][i].removed_ms = -1;
        S_keys[round][i].removed_ms = S_publish();
        Rv_Note("version %u without %s is acknowledged", S_version,
                S_keys[round][i].text);
        pthread_mutex_unlock(&S_lock);
    }
    for (unsigned i = 0; i < MACHINES * KEYS; i++) {
        pthread_join(threads[i], NULL);
    }
    Rv_SleepMs(cut_off_ms + CUT_OFF_MS - Rv_NowMs());
    RvStore_SetAnswers(round, true);
    Rv_Note("all machines reach the store");
    Rv_SleepMs(CALM_MS);
}

int
main(int argc, char **argv)
{
    RvFleet fleet = {.folder = argv[argc - 1],
                     .zones = {"akl-yard"},
                     .zone_count = 1,
                     .count = MACHINES};
    RvRunnerOptions ledger = {.id = "i-ledger-1",
                              .service = "ledger-app",
                              .zone = "akl-yard",
                              .address = "127.0.3.1",
                              .slots = 60,
                              .queue = 60,
                              .work_ms = 3};
    Rv_Open(argv[1]);
    RvStore_Start(fleet.count);
    for (unsigned i = 0; i < MACHINES * KEYS; i++) {
        snprintf(S_keys[i / KEYS][i % KEYS].text, sizeof(S_keys[0][0].text),
                 "key-%u-%u", i / KEYS + 1, i % KEYS + 1);
    }
    S_publish();
    RvRunner_Start(&ledger);
    RvFleet_Start(&fleet);
    Rv_SleepMs(5000);
    for (unsigned i = 0; i < MACHINES; i++) {
        S_play_round(i);
    }
    RvFleet_Stop();
    Rv_Note("%u requests served, %u broke the rule, the worst %lld ms late",
            S_served, S_late, (long long)S_worst_ms);
    printf("%u requests served, %u broke the rule, the worst %lld ms late\n",
           S_served, S_late, (long long)S_worst_ms);
    if (S_served < 1000) {
        Rv_GiveUp("too few requests were served");
    }
    return S_late > 0 ? 1 : 0;
}
