/* faults.c - kills, freezes, planned stops and replacements, in order. */
#include "faults.h"

#include <signal.h>
#include <stdio.h>

#define STOP_LIMIT_MS 20000
#define READY_LIMIT_MS 20000

/* Step of the script. */
typedef enum {
    S_KILL,        /* SIGKILL */
    S_FREEZE,      /* SIGSTOP */
    S_RESUME,      /* SIGCONT */
    S_STOP,        /* SIGTERM, and list the instance as leaving */
    S_AWAIT_END,   /* wait for the end of the planned stop */
    S_DELIST,      /* remove it from the list */
    S_RESTART,     /* a new process with the same name and addresses */
    S_REPLACE,     /* a new process with another name and other addresses */
    S_AWAIT_READY, /* wait until the newest process is ready */
    S_LIST         /* put it back on the list as live */
} S_Action;

typedef struct {
    unsigned percent; /* share of the jobs to start first */
    S_Action action;
    unsigned target; /* index of the instance */
} S_Step;

/* Instances 0 and 1 are in data centre n1, 2 and 3 in n2, 4 and 5 in s1. */
static const S_Step S_script[] = {
    {8, S_KILL, 1},     {12, S_DELIST, 1},      {20, S_RESTART, 1},
    {22, S_LIST, 1},    {22, S_AWAIT_READY, 1}, {30, S_FREEZE, 3},
    {34, S_DELIST, 3},  {55, S_RESUME, 3},      {57, S_LIST, 3},
    {62, S_STOP, 4},    {62, S_AWAIT_END, 4},   {63, S_DELIST, 4},
    {64, S_REPLACE, 4}, {66, S_AWAIT_READY, 4}, {75, S_KILL, 0},
    {75, S_STOP, 2},    {76, S_AWAIT_END, 2},   {79, S_DELIST, 0},
    {79, S_DELIST, 2},  {82, S_RESTART, 0},     {82, S_REPLACE, 2},
    {84, S_LIST, 0},    {84, S_AWAIT_READY, 0}, {84, S_AWAIT_READY, 2},
};

static const S_Step S_one_loss[] = {{30, S_KILL, 1}, {34, S_DELIST, 1}};

struct BsFaults {
    const S_Step *script;
    unsigned steps;
    int64_t loss_ms; /* time of the first kill, 0 before */
    BsFleet *fleet;
    BsCallerLoad *load;
    unsigned jobs;
    unsigned next;
    unsigned failed_stops;
    int64_t step_due_ms;           /* when the next step came due, 0 before */
    BsFleetInstance *instances[6]; /* newest instance of each index */
};

BsFaults *
BsFaults_Create(BsFleet *fleet, BsCallerLoad *load, unsigned jobs,
                BsFaultsScript script)
{
    BsFaults *faults = g_new0(BsFaults, 1);
    bool all = script == BS_FAULTS_ALL;
    faults->script = all ? S_script : S_one_loss;
    faults->steps = all ? G_N_ELEMENTS(S_script) : G_N_ELEMENTS(S_one_loss);
    faults->fleet = fleet;
    faults->load = load;
    faults->jobs = jobs;
    for (unsigned i = 0; i < G_N_ELEMENTS(faults->instances); i++) {
        faults->instances[i] = fleet->instances->pdata[i];
    }
    return faults;
}

void
BsFaults_Destroy(BsFaults *faults)
{
    g_free(faults);
}

static void
S_set_listed(BsFaults *faults, BsFleetInstance *instance, BsListed listed)
{
    instance->listed = listed;
    BsFleet_Publish(faults->fleet);
}

static void
S_replace(BsFaults *faults, unsigned target)
{
    const BsFleetInstance *old = faults->instances[target];
    char *name = g_strdup_printf("%s-2", old->name);
    faults->instances[target] =
        BsFleet_AddInstance(faults->fleet, name, old->data_centre);
    BsFleet_Start(faults->fleet, faults->instances[target], false);
    BsFleet_Publish(faults->fleet);
    g_free(name);
}

/* Returns whether the process has ended or was killed after the limit. */
static bool
S_await_end(BsFaults *faults, BsFleetInstance *instance, int64_t waited_ms)
{
    int code = BsProcess_Wait(&instance->process, 0);
    if (code < 0 && waited_ms < STOP_LIMIT_MS) {
        return false;
    }
    if (code != 0) {
        fprintf(stderr, "planned stop of %s: exit code %d\n", instance->name,
                code);
        faults->failed_stops++;
        BsCallerLoad_NoteSignal(faults->load, instance);
        BsProcess_Kill(&instance->process);
    }
    return true;
}

static bool
S_await_ready(const BsFleetInstance *instance, int64_t waited_ms)
{
    if (BsFleet_WaitReady(instance, 1)) {
        return true;
    }
    if (waited_ms > READY_LIMIT_MS) {
        fprintf(stderr, "%s did not become ready\n", instance->name);
        return true;
    }
    return false;
}

/* Runs STEP; returns false if it has to be run again. */
static bool
S_execute(BsFaults *faults, const S_Step *step, int64_t waited_ms)
{
    BsFleetInstance *instance = faults->instances[step->target];
    switch (step->action) {
    case S_KILL:
        if (faults->loss_ms == 0) {
            faults->loss_ms = g_get_monotonic_time() / 1000;
        }
        BsCallerLoad_NoteSignal(faults->load, instance);
        BsProcess_Kill(&instance->process);
        return true;
    case S_FREEZE:
        BsCallerLoad_NoteSignal(faults->load, instance);
        BsProcess_Signal(&instance->process, SIGSTOP);
        return true;
    case S_RESUME:
        BsCallerLoad_NoteSignal(faults->load, instance);
        BsProcess_Signal(&instance->process, SIGCONT);
        return true;
    case S_STOP:
        instance->stopping = true;
        BsProcess_Signal(&instance->process, SIGTERM);
        S_set_listed(faults, instance, BS_LISTED_LEAVING);
        return true;
    case S_AWAIT_END:
        return S_await_end(faults, instance, waited_ms);
    case S_DELIST:
        S_set_listed(faults, instance, BS_LISTED_NOT);
        return true;
    case S_RESTART:
        BsFleet_Start(faults->fleet, instance, false);
        return true;
    case S_REPLACE:
        S_replace(faults, step->target);
        return true;
    case S_AWAIT_READY:
        return S_await_ready(instance, waited_ms);
    case S_LIST:
        S_set_listed(faults, instance, BS_LISTED_LIVE);
        return true;
    }
    return true;
}

bool
BsFaults_Step(BsFaults *faults)
{
    if (faults->next >= faults->steps) {
        return false;
    }
    const S_Step *step = &faults->script[faults->next];
    int64_t now_ms = g_get_monotonic_time() / 1000;
    if (BsCallerLoad_Started(faults->load) <
        faults->jobs * step->percent / 100) {
        return true;
    }
    if (faults->step_due_ms == 0) {
        faults->step_due_ms = now_ms;
    }
    if (S_execute(faults, step, now_ms - faults->step_due_ms)) {
        faults->next++;
        faults->step_due_ms = 0;
    }
    return true;
}

int64_t
BsFaults_LossMs(const BsFaults *faults)
{
    return faults->loss_ms;
}

unsigned
BsFaults_FailedStops(const BsFaults *faults)
{
    return faults->failed_stops;
}
