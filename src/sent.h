/*
 * sent.h - a non-idempotent request on its way to a keeper.
 *
 * Rules: private to the role in once.c, which alone changes it.
 */
#ifndef BS_SENT_H
#define BS_SENT_H

#include "core.h"
#include "reorder.h"

typedef struct {
    BsMessage *request; /* BS_FORWARD; the template of every attempt */
    BsReorder *reorder;
    char *keeper;         /* instance the request was forwarded to */
    uint64_t incarnation; /* it was meant for; 0 while that is asked */
    uint64_t forward_seq; /* number of the forward */
    uint64_t next_seq;    /* of the next piece to the caller */
    int64_t deadline_ms;
    int64_t started_ms;
    int64_t heard_ms;  /* from the keeper */
    int64_t polled_ms; /* last message to the keeper */
    int64_t retry_ms;  /* when to ask a keeper again, or 0 */
    uint32_t attempt;
    BsOutcome hint; /* outcome to tell if the keeper cannot be asked */
    bool accepted;
    bool moved; /* asks a keeper that may have run it before */
    bool gone;  /* the caller went away */
} BsSent;

/* Frees DATA, a BsSent. */
void BsSent_Destroy(void *data);

/* Returns the request as the caller sent it. */
const BsRequest *BsSent_Request(const BsSent *sent);

/* Fills NOTE with what SENT says; the strings stay with SENT. */
void BsSent_FillNote(const BsSent *sent, BsNote *note);

/* Returns whether the caller chose the key, so that it may have sent the
   request before. */
bool BsSent_MayBeResend(const BsSent *sent);

#endif /* BS_SENT_H */
