/*
 * gatescript.h - the commands of scripted runs; see scripts/README.md.
 */
#ifndef GATESCRIPT_H
#define GATESCRIPT_H

#include "gossip.h"
#include "line.h"
#include "quota.h"
#include "targets.h"

/* The modules under test and the time. */
typedef struct {
    GString *output;
    int64_t now_ms;
    BsTargets *targets;
    BsCatalogService *service;
    BsCatalogRoute *route;
    BsCatalogAccount *account;
    BsQuotas *quotas;
    BsRetryBudget *retries;
    BsLine *line;
    GHashTable *waiting; /* name to BsLineEntry */
    BsGossip *gossip;
} GateScript;

/* One command: its word and what it does with its arguments.  Returns whether
   they are valid. */
typedef struct {
    const char *word;
    bool (*func)(GateScript *script, char **arguments);
} GateScriptCommand;

extern const GateScriptCommand gate_script_target_commands[];
extern const GateScriptCommand gate_script_limit_commands[];

/* Runs the file PATH and appends what it prints; returns whether it could be
   read to its end. */
bool GateScript_Run(const char *path, GString *output);

/* Returns the value of NAME=VALUE among ARGUMENTS, or NULL. */
const char *GateScript_Option(char **arguments, const char *name);

/* Returns the number of NAME=NUMBER among ARGUMENTS, or FALLBACK. */
int64_t GateScript_Number(char **arguments, const char *name,
                          int64_t fallback);

/* Returns whether the bare WORD is among ARGUMENTS. */
bool GateScript_Flag(char **arguments, const char *word);

/* Appends a line to the output, after the time. */
void GateScript_Print(GateScript *script, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

#endif /* GATESCRIPT_H */
