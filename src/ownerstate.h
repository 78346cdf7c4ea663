/*
 * ownerstate.h - the state of the owner role, shared by its files.
 *
 * Rules: private to owner.c, admit.c, ownership.c, ownerversion.c, dispatch.c,
 * preempt.c and upkeep.c; each work is in the table of works from its arrival
 * until its final answer.
 */
#ifndef BS_OWNERSTATE_H
#define BS_OWNERSTATE_H

#include "core.h"
#include "fence.h"
#include "pool.h"

struct BsOwner {
    BsCore *core;
    GHashTable *works;      /* id to BsWork; owns them */
    GHashTable *dispatched; /* dispatch number to running BsWork */
    GHashTable *pools;      /* model or service to BsPool */
    GHashTable *upstreams;  /* name to BsUpstream */
    BsFences *fences;       /* ids of attempts that must not start */
    uint64_t queued_bytes;  /* size of the bodies of queued work */
    uint32_t queued;        /* number of queued requests */
    uint32_t last_dispatch; /* number of the last dispatch */
    uint32_t turn;          /* next index of the round-robin baseline policy */
    int64_t searched_ms;    /* last search for expired queued work */
    uint64_t list_revision; /* list that the pools were built from */
    uint64_t sheet_revision; /* sheet that the pools were built from */
};

/* Returns the limits of cold starts in the sheet in force. */
const BsColdStart *BsOwner_ColdStart(const BsOwner *owner);

/* Returns the pool for SERVES, or NULL. */
BsPool *BsOwner_FindPool(const BsOwner *owner, const char *serves);

/* Rebuilds the pools when the list or the sheet changed; gives back the queued
   work of pools without an upstream. */
void BsOwner_RefreshPools(BsOwner *owner);

/* Returns why WORK is refused on arrival, or BS_ERR_NONE if it is admitted. */
BsErrorKind BsOwner_Admit(BsOwner *owner, BsWork *work);

/* Returns why WORK can never run at an upstream of POOL, or BS_ERR_NONE.  The
   sender of a stream that has begun is told BS_ERR_VERSION_GONE only if its
   forward named the version: a sender that did not may be of a release that
   does not know that error. */
BsErrorKind BsOwner_FindObstacle(const BsPool *pool, const BsWork *work);

/* Adds WORK to the queue of its pool. */
void BsOwner_Enqueue(BsOwner *owner, BsWork *work);

/* Removes WORK from its queue; if DISPATCHED, its account is charged. */
void BsOwner_Dequeue(BsOwner *owner, BsWork *work, bool dispatched);

/* Sends PIECE as the next piece of WORK's answer and destroys it. */
void BsOwner_Answer(BsOwner *owner, BsWork *work, BsMessage *piece);

/* Ends WORK, queued or running, with ERROR as its final answer and destroys
   it; the entry that sent it may retry elsewhere. */
void BsOwner_GiveBack(BsOwner *owner, BsWork *work, BsErrorKind error);

/* Cancels the running dispatch of WORK for REASON and counts its lost prefill
   tokens under CAUSE. */
void BsOwner_Stop(BsOwner *owner, BsWork *work, BsErrorKind reason,
                  const char *cause);

/* Removes WORK from the upstream where it runs, if any. */
void BsOwner_Release(BsOwner *owner, BsWork *work);

/* Returns whether the tier of rank LOWER yields to the tier of rank HIGHER. */
bool BsOwner_Yields(const BsOwner *owner, uint32_t lower, uint32_t higher);

/* Returns whether any tier yields to the tier of RANK. */
bool BsOwner_IsPrivileged(const BsOwner *owner, uint32_t rank);

/* Dispatches WORK, which is queued, to UPSTREAM. */
void BsOwner_Dispatch(BsOwner *owner, BsPool *pool, BsWork *work,
                      BsUpstream *upstream);

/* Sets the model version that WORK gets at UPSTREAM, as far as the upstream
   reports it. */
void BsOwner_SetVersion(const BsPool *pool, BsWork *work,
                        const BsUpstream *upstream);

/* Sets the model version of the streams that UPSTREAM began before its first
   report, unless it was ordered to change versions since. */
void BsOwner_LearnVersions(const BsOwner *owner, const BsUpstream *upstream);

/* Asks for new reports of the upstreams of POOL at which the stream of WORK
   may go on, if theirs are too old to tell. */
void BsOwner_PollVersions(BsOwner *owner, const BsPool *pool,
                          const BsWork *work);

/* If ANSWER is the first piece that resumes the stream of WORK, and its
   upstream may have changed the version since the dispatch, stops the dispatch
   and queues WORK again; returns whether it did. */
bool BsOwner_RejectVersion(BsOwner *owner, BsWork *work,
                           const BsAnswer *answer);

/* Dispatches queued work until no more fits. */
void BsOwner_DispatchAll(BsOwner *owner);

/* Preempts running work at an upstream of POOL so that WORK fits, and returns
   the upstream; NULL when that is impossible or WORK can still wait. */
BsUpstream *BsOwner_Preempt(BsOwner *owner, BsPool *pool, const BsWork *work);

/* Returns whether work that yields to WORK is running or queued in POOL. */
bool BsOwner_CouldPreempt(const BsOwner *owner, const BsPool *pool,
                          const BsWork *work);

#endif /* BS_OWNERSTATE_H */
