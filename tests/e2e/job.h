/*
 * job.h - what one caller wants, all its attempts, and what it was reported.
 *
 * Rules: every attempt of a booking carries the same key and body; a job is
 * over when it has an answer that ends it and no attempt is open.
 */
#ifndef BS_JOB_H
#define BS_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
    BS_JOB_BOOKING = 0, /* non-idempotent call of a plain service */
    BS_JOB_STREAM,      /* streamed chat completion */
    BS_JOB_WHOLE        /* chat completion in one piece */
} BsJobKind;

/* How one attempt ended. */
typedef enum {
    BS_JOB_OUTCOME_NONE = 0, /* no answer, or half of one */
    BS_JOB_OUTCOME_RAN,
    BS_JOB_OUTCOME_NOT_RUN,
    BS_JOB_OUTCOME_UNKNOWN,
    BS_JOB_OUTCOME_WRONG /* an answer that breaks a promise */
} BsJobOutcome;

/* A caller's wish. */
typedef struct {
    BsJobKind kind;
    char *key;
    char *body;
    char *prompt;
    unsigned tokens;
    int64_t first_ms; /* start of the first attempt */
    unsigned sent;    /* attempts so far */
    unsigned open;    /* attempts without an end */
    unsigned reported[BS_JOB_OUTCOME_WRONG + 1];
    BsJobOutcome last_reported; /* last answer, other than nothing */
    int64_t next_send_ms;       /* when to send retry, 0 for not */
    int64_t earliest_run_ms; /* start of the attempt after the last "not-run";
                             no run may be older */
    bool sent_concurrently;  /* two attempts were open at once */
    char *wrong;             /* what was wrong, or NULL */
} BsJob;

/* Creates job NUMBER; kinds alternate. */
BsJob *BsJob_Create(unsigned number);

/* Frees JOB. */
void BsJob_Destroy(BsJob *job);

/* Returns the request path. */
const char *BsJob_Path(const BsJob *job);

/* Judges an answer that arrived complete; OUTCOME is the header or NULL. */
BsJobOutcome BsJob_Judge(BsJob *job, long status, const char *outcome,
                         const char *text);

#endif /* BS_JOB_H */
