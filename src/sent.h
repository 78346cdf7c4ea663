/*
 * sent.h - a non-idempotent request on its way to a keeper.
 *
 * Rules: private to once.c, the only file that changes it.
 */
#ifndef BS_SENT_H
#define BS_SENT_H

#include "core.h"
#include "reorder.h"

typedef struct {
    BsMessage *request; /* BS_FORWARD; the template of every attempt */
    BsReorder *reorder;
    char *keeper;         /* instance the request was forwarded to */
    uint64_t incarnation; /* of KEEPER; 0 while not known */
    uint64_t forward_seq; /* sequence number of the forward */
    uint64_t next_seq;    /* next piece to send to the caller */
    int64_t deadline_ms;
    int64_t started_ms;
    int64_t last_received_ms; /* last message from the keeper */
    int64_t polled_ms;        /* last message to the keeper */
    int64_t retry_ms;         /* when to ask a keeper again, or 0 */
    uint32_t attempt;
    BsOutcome hint; /* outcome to report if the keeper cannot be asked */
    bool accepted;
    bool moved;        /* asks for the record of an earlier run; starts none */
    bool disconnected; /* the caller closed its connection */
} BsSent;

/* Frees DATA, a BsSent. */
void BsSent_Destroy(void *data);

/* Returns the caller's request. */
const BsRequest *BsSent_Request(const BsSent *sent);

/* Fills NOTE from SENT, which keeps ownership of the strings. */
void BsSent_FillNote(const BsSent *sent, BsNote *note);

/* Returns whether the caller chose the key, so that the request may be a
   retry. */
bool BsSent_MayBeResend(const BsSent *sent);

#endif /* BS_SENT_H */
