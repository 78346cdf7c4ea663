/*
 * entrystate.h - the state of the entry role, shared by its files.
 *
 * Rules: private to entry.c, resolve.c and attempt.c; each request has at
 * most one attempt under way, and pieces of any other are dropped.
 */
#ifndef BS_ENTRYSTATE_H
#define BS_ENTRYSTATE_H

#include "core.h"
#include "reorder.h"

typedef struct {
    BsMessage *request; /* BS_FORWARD; the template of every attempt */
    BsReorder *reorder;
    GHashTable *tried;          /* owners that gave this request back */
    char *owner;                /* instance the request was forwarded to */
    uint64_t owner_incarnation; /* 0 until the child answered */
    uint64_t next_seq;          /* of the next piece to the caller */
    uint64_t body_bytes;
    int64_t deadline_ms; /* on this core's clock */
    int64_t forwarded_ms;
    int64_t
        last_received_ms; /* newest piece or proof that the child holds it */
    int64_t retry_ms;     /* next attempt, 0 when none waits */
    int64_t
        no_owner_since_ms; /* since when no owner could act, 0 when one did */
    int64_t gap_since_ms;  /* a piece is missing since, 0 when none is */
    uint32_t attempt;
    uint32_t retries;
    uint32_t redirects;
    uint32_t events;     /* of the stream, passed to the caller */
    uint32_t last_error; /* BsErrorKind of the last attempt */
    uint32_t retry_after_s;
    bool accepted;
    bool remote;    /* the child is in another region */
    bool maybe_ran; /* an attempt given up may have started */
} BsEntryRequest;

struct BsEntry {
    BsCore *core;
    GHashTable *requests; /* request id to BsEntryRequest */
    GHashTable *checks;   /* instance to time of the last check */
    uint64_t body_bytes;  /* held by all requests */
    int64_t last_tick_ms;
    int64_t
        running_since_ms; /* since when this instance runs without a pause */
};

/* Resolves account, target, tier, deadline and idempotence of REQUEST. */
BsErrorKind BsEntry_Resolve(BsEntry *entry, BsRequest *request);

/* Sends a final error to the caller and forgets the request. */
void BsEntry_Fail(BsEntry *entry, BsEntryRequest *request, BsErrorKind error,
                  BsOutcome outcome);

/* Starts the next attempt, or fails the request when there is no owner. */
void BsEntry_Forward(BsEntry *entry, BsEntryRequest *request);

/* Tells the child that its attempt is given up. */
void BsEntry_CancelAttempt(BsEntry *entry, BsEntryRequest *request,
                           BsErrorKind reason);

/* Starts or schedules another attempt after a final error; returns false
   when the error goes to the caller. */
bool BsEntry_TryAgain(BsEntry *entry, BsEntryRequest *request,
                      const BsAnswer *answer);

/* Gives up the attempt because the child lost it. */
void BsEntry_OnAttemptLost(BsEntry *entry, BsEntryRequest *request);

/* Starts attempts that are due; finds and checks silent children. */
void BsEntry_MonitorAttempt(BsEntry *entry, BsEntryRequest *request);

#endif /* BS_ENTRYSTATE_H */
