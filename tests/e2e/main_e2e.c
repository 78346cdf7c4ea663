/* main_e2e.c - end-to-end test: six daemons under load, with kills, freezes
 * and planned stops. */
#include "faults.h"
#include "verdict.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#define JOBS 1600
#define ENGINE_SLOTS 16
#define ENGINE_RATE 60
#define SERVICE_SLOW_MS 20
#define READY_LIMIT_MS 20000
#define EXIT_USAGE 2

static void
S_add_upstreams(BsFleet *fleet)
{
    BsFleet_AddEngine(fleet, "e1", "n1", ENGINE_SLOTS, ENGINE_RATE);
    BsFleet_AddEngine(fleet, "e2", "n2", ENGINE_SLOTS, ENGINE_RATE);
    BsFleet_AddEngine(fleet, "e3", "s1", ENGINE_SLOTS, ENGINE_RATE);
    BsFleet_AddService(fleet, "b1", "n1", SERVICE_SLOW_MS);
    BsFleet_AddService(fleet, "b2", "s1", SERVICE_SLOW_MS);
}

static void
S_add_instances(BsFleet *fleet)
{
    static const char *const data_centres[] = {"n1", "n1", "n2",
                                               "n2", "s1", "s1"};
    for (unsigned i = 0; i < G_N_ELEMENTS(data_centres); i++) {
        char *name = g_strdup_printf("i%u", i);
        BsFleet_AddInstance(fleet, name, data_centres[i]);
        g_free(name);
    }
}

static bool
S_start(BsFleet *fleet)
{
    BsFleet_PublishSheet(fleet, BsFleet_DefaultSheet());
    BsFleet_Publish(fleet);
    for (guint i = 0; i < fleet->instances->len; i++) {
        BsFleet_Start(fleet, fleet->instances->pdata[i], true);
    }
    for (guint i = 0; i < fleet->instances->len; i++) {
        const BsFleetInstance *instance = fleet->instances->pdata[i];
        if (!BsFleet_WaitReady(instance, READY_LIMIT_MS)) {
            printf("FAILED %s did not become ready\n", instance->name);
            return false;
        }
    }
    return true;
}

static bool
S_run(BsFleet *fleet, unsigned seed, BsFaultsScript script)
{
    if (!S_start(fleet)) {
        return false;
    }
    BsCallerLoad *load = BsCallerLoad_Create(fleet, JOBS, seed);
    BsFaults *faults = BsFaults_Create(fleet, load, JOBS, script);
    bool loading = true;
    bool injecting = true;
    while (loading || injecting) {
        injecting = BsFaults_Step(faults);
        loading = BsCallerLoad_Step(load);
    }
    bool kept = BsVerdict_Print(fleet, load, BsFaults_FailedStops(faults),
                                BsFaults_LossMs(faults));
    BsFaults_Destroy(faults);
    BsCallerLoad_Destroy(load);
    return kept;
}

int
main(int argc, char **argv)
{
    if (argc < 2 || argc > 4) {
        fprintf(stderr, "usage: e2e BIN_DIRECTORY [SEED [one-loss]]\n");
        return EXIT_USAGE;
    }
    unsigned seed = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 1;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    BsFleet *fleet = BsFleet_Create(argv[1]);
    S_add_upstreams(fleet);
    S_add_instances(fleet);
    printf("seed %u\n", seed);
    bool kept =
        S_run(fleet, seed, argc > 3 ? BS_FAULTS_ONE_LOSS : BS_FAULTS_ALL);
    if (!kept) {
        printf("logs in %s\n", fleet->directory);
    }
    BsFleet_Destroy(fleet, !kept);
    curl_global_cleanup();
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
