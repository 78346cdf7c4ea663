/*
 * entrystate.h - the state of the entry role, shared by its files.
 *
 * Rules: private to entry.c, resolve.c, attempt.c, heldattempt.c and tried.c;
 * each request has at most one current attempt; attempts that were silent may
 * be held beside it until a piece of one of them arrives, and answer pieces of
 * all others are dropped.
 */
#ifndef BS_ENTRYSTATE_H
#define BS_ENTRYSTATE_H

#include "core.h"
#include "reorder.h"

typedef struct {
    char *owner;                /* NULL for no attempt */
    uint64_t owner_incarnation; /* 0 until its first message */
    BsReorder *reorder;
    int64_t forwarded_ms;
    /* Time of the forward or the last piece, acceptance or request check. */
    int64_t last_received_ms;
    int64_t gap_since_ms; /* since when a piece is missing, 0 if none is */
    uint32_t number;
    bool accepted;
    bool remote; /* the owner is in another region */
} BsEntryAttempt;

typedef struct {
    BsMessage *request; /* BS_FORWARD; the template of every attempt */
    BsEntryAttempt current;
    GPtrArray *held;   /* of BsEntryAttempt, in the order of their forwards */
    GHashTable *tried; /* owners that hold, returned, failed or lost it */
    GHashTable *gone;  /* owners without the version of the stream, or NULL */
    uint64_t next_seq; /* of the next piece for the caller */
    uint64_t body_bytes;
    int64_t deadline_ms; /* on this core's clock */
    int64_t retry_ms;    /* time of a scheduled attempt, 0 when none is */
    /* When the wait for an owner started, 0 before, INT64_MIN for no wait. */
    int64_t no_owner_since_ms;
    int64_t replace_ms; /* next try to replace the silent attempt */
    uint32_t attempts;  /* forwarded so far */
    uint32_t retries;
    uint32_t redirects;
    uint32_t replace_tries; /* to replace or repeat the silent attempt */
    uint32_t events;        /* of the stream, sent to the caller */
    uint32_t last_error;    /* BsErrorKind of the last attempt */
    uint32_t retry_after_s;
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

/* Sends a cancel of ATTEMPT to its owner. */
void BsEntry_SendCancel(BsEntry *entry, const BsEntryRequest *request,
                        const BsEntryAttempt *attempt, BsErrorKind reason);

/* Cancels the current and the held attempts. */
void BsEntry_CancelAttempts(BsEntry *entry, BsEntryRequest *request,
                            BsErrorKind reason);

/* Adds OWNER to those that lack the version which began the stream. */
void BsEntry_AddGone(BsEntryRequest *request, const char *owner);

/* Returns whether every owner lacks the version that began the stream. */
bool BsEntry_IsVersionGone(const BsEntry *entry,
                           const BsEntryRequest *request);

/* Lets all owners be tried again, except those of held attempts and those that
   lack the version which began the stream. */
void BsEntry_ForgetTried(BsEntryRequest *request);

/* Returns an empty list of held attempts. */
GPtrArray *BsEntry_CreateHeld(void);

/* Moves the current attempt to the held ones. */
void BsEntry_HoldAttempt(BsEntryRequest *request);

/* Makes the held attempt at INDEX the current one instead of the one that
   was. */
void BsEntry_ResumeHeld(BsEntryRequest *request, guint index);

/* Forgets the held attempt at INDEX. */
void BsEntry_RemoveHeld(BsEntryRequest *request, guint index);

/* Cancels all held attempts. */
void BsEntry_DropHeld(BsEntry *entry, BsEntryRequest *request,
                      BsErrorKind reason);

/* Handles an acceptance, or "gone", of a held attempt. */
void BsEntry_OnHeldAccept(BsEntry *entry, BsEntryRequest *request,
                          const BsMessage *message);

/* Stores a piece of a held attempt; if it is the next one, the attempt becomes
   the current one and the one that was is held.  Returns whether it did. */
bool BsEntry_TakeHeldPiece(BsEntry *entry, BsEntryRequest *request,
                           const BsMessage *message);

/* Starts or schedules another attempt after a final error, or resumes a held
   one; returns false when the error is to be sent to the caller. */
bool BsEntry_TryAgain(BsEntry *entry, BsEntryRequest *request,
                      const BsAnswer *answer);

/* Cancels the current attempt, which is lost; schedules a retry or fails the
   request. */
void BsEntry_OnAttemptLost(BsEntry *entry, BsEntryRequest *request);

/* Starts a scheduled attempt that is due; detects a lost attempt and checks
   an unresponsive owner. */
void BsEntry_MonitorAttempt(BsEntry *entry, BsEntryRequest *request);

#endif /* BS_ENTRYSTATE_H */
