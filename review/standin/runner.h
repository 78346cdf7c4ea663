/*
 * runner.h - a stand-in of a runner: registers in the store, runs a few
 * requests at once, queues a few more and refuses the rest.
 */
#ifndef RV_RUNNER_H
#define RV_RUNNER_H

#include "standin.h"

#define RV_ID_MAX 40

typedef struct RvRunner RvRunner;

typedef struct {
    const char *id;
    const char *service;
    const char *zone;
    const char *address;
    unsigned slots;
    unsigned queue;
    int64_t work_ms;
    /* Called for each request that begins to run at the runner RUNNER_ID,
       which it reached at ARRIVED_MS; may be NULL. */
    void (*on_run)(const char *runner_id, const char *request_id,
                   const RvMessage *request, int64_t arrived_ms);
    /* Returns whether a second copy of the answer of STATUS is to follow,
       late: where the next answer on the connection is expected.  May be
       NULL. */
    bool (*sends_extra)(const char *request_id, unsigned status);
} RvRunnerOptions;

/* Starts a runner and writes its entry into the store. */
RvRunner *RvRunner_Start(const RvRunnerOptions *options);

/* Removes the entry of RUNNER, which goes on serving; returns when the store
   has acknowledged that. */
int64_t RvRunner_Leave(RvRunner *runner);

/* Ends RUNNER: its listener and its connections close. */
void RvRunner_Exit(RvRunner *runner);

#endif /* RV_RUNNER_H */
