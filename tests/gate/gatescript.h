/*
 * gatescript.h - scripted runs of the gateway's decision modules and their
 * commands; see scripts/README.md.
 */
#ifndef GATESCRIPT_H
#define GATESCRIPT_H

#include "gossip.h"
#include "quota.h"
#include "targets.h"
#include "waitqueue.h"

/* The modules under test and the script's time. */
typedef struct {
    GString *output;
    int64_t now_ms;
    BsTargets *targets;
    BsCatalogService *service;
    BsCatalogRoute *route;
    BsCatalogAccount *account;
    BsQuotas *quotas;
    BsRetryBudget *retries;
    BsWaitQueue *queue;
    GHashTable *waiting; /* name to BsWaitQueueEntry */
    BsGossip *gossip;
} GateScript;

/* A command: its word and the function that runs it, which returns whether the
   arguments are valid. */
typedef struct {
    const char *word;
    bool (*func)(GateScript *script, char **arguments);
} GateScriptCommand;

/* Both end with an entry whose word is NULL. */
extern const GateScriptCommand gate_script_target_commands[];
extern const GateScriptCommand gate_script_limit_commands[];

/* Runs the script PATH and appends what it prints to OUTPUT.  Returns whether
   it could be read and all its commands were valid. */
bool GateScript_Run(const char *path, GString *output);

/* Returns the value of NAME=VALUE in ARGUMENTS, or NULL. */
const char *GateScript_Option(char **arguments, const char *name);

/* Returns the number of NAME=NUMBER in ARGUMENTS, or FALLBACK. */
int64_t GateScript_Number(char **arguments, const char *name,
                          int64_t fallback);

/* Returns whether WORD is one of ARGUMENTS. */
bool GateScript_Flag(char **arguments, const char *word);

/* Appends the time and a line to the output. */
void GateScript_Print(GateScript *script, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

#endif /* GATESCRIPT_H */
