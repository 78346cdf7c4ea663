/*
 * job.h - one caller's request, its attempts and their reported outcomes.
 *
 * Rules: every attempt of a booking carries the same key and body; a job is
 * over when it has a final answer and no attempt is open.
 */
#ifndef BS_JOB_H
#define BS_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
    BS_JOB_BOOKING = 0, /* non-idempotent call of a plain service */
    BS_JOB_STREAM,      /* streamed chat completion */
    BS_JOB_WHOLE        /* chat completion without streaming */
} BsJobKind;

/* How one attempt ended. */
typedef enum {
    BS_JOB_OUTCOME_NONE = 0, /* no answer or an incomplete one */
    BS_JOB_OUTCOME_RAN,
    BS_JOB_OUTCOME_NOT_RUN,
    BS_JOB_OUTCOME_UNKNOWN,
    BS_JOB_OUTCOME_WRONG /* the answer breaks a promise */
} BsJobOutcome;

/* One job of a caller. */
typedef struct {
    BsJobKind kind;
    char *key;
    char *body;
    char *prompt;
    unsigned tokens;
    int64_t first_ms; /* start of the first attempt */
    unsigned sent;    /* attempts started */
    unsigned open;    /* attempts not ended yet */
    unsigned reported[BS_JOB_OUTCOME_WRONG + 1];
    BsJobOutcome last_reported; /* of the last complete answer */
    int64_t next_send_ms;       /* when to retry; 0: not */
    int64_t earliest_run_ms; /* start of the attempt after the last "not-run";
                             no run may be older */
    bool sent_concurrently;  /* two attempts were open together */
    char *wrong;             /* first wrong answer, or NULL */
} BsJob;

/* Creates job NUMBER; the number selects its kind. */
BsJob *BsJob_Create(unsigned number);

/* Frees JOB. */
void BsJob_Destroy(BsJob *job);

/* Returns the request path. */
const char *BsJob_Path(const BsJob *job);

/* Returns the outcome that a complete answer reports, and notes the first
   wrong answer.  OUTCOME is the value of the outcome header or NULL. */
BsJobOutcome BsJob_Judge(BsJob *job, long status, const char *outcome,
                         const char *text);

#endif /* BS_JOB_H */
