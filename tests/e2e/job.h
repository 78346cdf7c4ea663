/*
 * job.h - what one caller wants, all its sendings, and what it was told.
 *
 * Rules: every sending of a booking carries the same key and body; a job is
 * over when it has an answer that ends it and no sending is open.
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

/* How one sending ended. */
typedef enum {
    BS_TOLD_NOTHING = 0, /* no answer, or half of one */
    BS_TOLD_RAN,
    BS_TOLD_NOT_RUN,
    BS_TOLD_UNKNOWN,
    BS_TOLD_WRONG /* an answer that breaks a promise */
} BsTold;

/* A caller's wish. */
typedef struct {
    BsJobKind kind;
    char *key;
    char *body;
    char *prompt;
    unsigned tokens;
    unsigned sent; /* sendings so far */
    unsigned open; /* sendings without an end */
    unsigned told[BS_TOLD_WRONG + 1];
    BsTold last_told;     /* last answer, other than nothing */
    int64_t next_send_ms; /* when to send again, 0 for not */
    int64_t runs_from_ms; /* start of the sending after the last "not-run"; no
                             run may be older */
    bool twice;           /* two sendings were open at once */
    char *wrong;          /* what was wrong, or NULL */
} BsJob;

/* Creates job NUMBER; kinds alternate. */
BsJob *BsJob_Create(unsigned number);

/* Frees JOB. */
void BsJob_Destroy(BsJob *job);

/* Returns the request path. */
const char *BsJob_Path(const BsJob *job);

/* Judges an answer that arrived complete; OUTCOME is the header or NULL. */
BsTold BsJob_Judge(BsJob *job, long status, const char *outcome,
                   const char *text);

#endif /* BS_JOB_H */
