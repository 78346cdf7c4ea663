/*
 * entrystate.h - the state of the entry role, shared by its files.
 *
 * Rules: private to entry.c, resolve.c and attempt.c; each request has at
 * most one current attempt, and answer pieces of earlier attempts are dropped.
 */
#ifndef BS_ENTRYSTATE_H
#define BS_ENTRYSTATE_H

#include "core.h"
#include "reorder.h"

typedef struct {
    BsMessage *request; /* BS_FORWARD; the template of every attempt */
    BsReorder *reorder;
    GHashTable *tried;          /* owners that returned, failed or lost it */
    char *owner;                /* that has the current attempt */
    uint64_t owner_incarnation; /* 0 until its first message */
    uint64_t next_seq;          /* of the next piece for the caller */
    uint64_t body_bytes;
    int64_t deadline_ms; /* on this core's clock */
    int64_t forwarded_ms;
    /* Time of the forward or the last piece, acceptance or request check. */
    int64_t last_received_ms;
    int64_t retry_ms; /* time of a scheduled attempt, 0 when none is */
    /* When the wait for an owner started, 0 before, INT64_MIN for no wait. */
    int64_t no_owner_since_ms;
    int64_t gap_since_ms; /* since when a piece is missing, 0 if none is */
    int64_t replace_ms;   /* next try to replace the silent attempt */
    uint32_t attempt;
    uint32_t retries;
    uint32_t redirects;
    uint32_t replace_tries; /* to replace or repeat the silent attempt */
    uint32_t events;        /* of the stream, sent to the caller */
    uint32_t last_error;    /* BsErrorKind of the last attempt */
    uint32_t retry_after_s;
    bool accepted;
    bool remote;    /* the owner is in another region */
    bool maybe_ran; /* an abandoned attempt may have started */
} BsEntryRequest;

struct BsEntry {
    BsCore *core;
    GHashTable *requests; /* request id to BsEntryRequest */
    GHashTable *checks;   /* owner to int64_t, time of the last check */
    uint64_t body_bytes;  /* of all requests */
    int64_t last_tick_ms;
    int64_t running_since_ms; /* end of the last pause of this process */
};

/* Resolves account, target, tier, deadline and idempotence of REQUEST. */
BsErrorKind BsEntry_Resolve(BsEntry *entry, BsRequest *request);

/* Sends a final error to the caller and removes the request. */
void BsEntry_Fail(BsEntry *entry, BsEntryRequest *request, BsErrorKind error,
                  BsOutcome outcome);

/* Starts the next attempt; without an owner, waits for one or fails the
   request. */
void BsEntry_Forward(BsEntry *entry, BsEntryRequest *request);

/* Sends a cancel of the current attempt to its owner. */
void BsEntry_CancelAttempt(BsEntry *entry, BsEntryRequest *request,
                           BsErrorKind reason);

/* Starts or schedules another attempt after a final error; returns false when
   the error is to be sent to the caller. */
bool BsEntry_TryAgain(BsEntry *entry, BsEntryRequest *request,
                      const BsAnswer *answer);

/* Cancels the current attempt, which is lost; schedules a retry or fails the
   request. */
void BsEntry_OnAttemptLost(BsEntry *entry, BsEntryRequest *request);

/* Starts a scheduled attempt that is due; detects a lost attempt and checks
   an unresponsive owner. */
void BsEntry_MonitorAttempt(BsEntry *entry, BsEntryRequest *request);

#endif /* BS_ENTRYSTATE_H */
