/*
 * ownerstate.h - the state of the owner role, shared by its files.
 *
 * Rules: private to owner.c, admit.c, ownership.c, dispatch.c, preempt.c and
 * upkeep.c; each work is in the table by id from its arrival until its final
 * answer.
 */
#ifndef BS_OWNERSTATE_H
#define BS_OWNERSTATE_H

#include "core.h"
#include "fence.h"
#include "pool.h"

struct BsOwner {
    BsCore *core;
    GHashTable *works;      /* id to BsWork, all of them */
    GHashTable *dispatched; /* dispatch number to BsWork */
    GHashTable *pools;      /* model or service to BsPool */
    GHashTable *upstreams;  /* name to BsUpstream */
    BsFences *fences;       /* ids of work that must not start */
    uint64_t queued_bytes;  /* bodies of queued work */
    uint32_t queued;        /* requests queued */
    uint32_t last_dispatch;
    uint32_t turn;           /* of the round robin baseline */
    int64_t searched_ms;     /* last search for late work */
    uint64_t list_revision;  /* pools were built from */
    uint64_t sheet_revision; /* pools were built from */
};

/* Returns the limits of cold starts in the sheet in force. */
const BsColdStart *BsOwner_ColdStart(const BsOwner *owner);

/* Returns the pool for SERVES, or NULL. */
BsPool *BsOwner_FindPool(const BsOwner *owner, const char *serves);

/* Rebuilds pools when list or sheet changed; gives back what is left. */
void BsOwner_Review(BsOwner *owner);

/* Returns why WORK is refused on arrival, BS_ERR_NONE when it is not. */
BsErrorKind BsOwner_Admit(BsOwner *owner, BsWork *work);

/* Queues WORK. */
void BsOwner_Enqueue(BsOwner *owner, BsWork *work);

/* Takes WORK out of its queue. */
void BsOwner_Dequeue(BsOwner *owner, BsWork *work, bool dispatched);

/* Sends PIECE as the next piece of WORK's answer and destroys it. */
void BsOwner_Answer(BsOwner *owner, BsWork *work, BsMessage *piece);

/* Ends WORK, queued or running, with an error that the entry may act on. */
void BsOwner_GiveBack(BsOwner *owner, BsWork *work, BsErrorKind error);

/* Stops the running dispatch of WORK and counts the prefill lost to CAUSE. */
void BsOwner_Stop(BsOwner *owner, BsWork *work, BsErrorKind reason,
                  const char *cause);

/* Counts WORK as no longer running. */
void BsOwner_Release(BsOwner *owner, BsWork *work);

/* Returns whether work of rank LOWER gives way to work of rank HIGHER. */
bool BsOwner_Yields(const BsOwner *owner, uint32_t lower, uint32_t higher);

/* Returns whether any tier gives way to RANK. */
bool BsOwner_IsPrivileged(const BsOwner *owner, uint32_t rank);

/* Dispatches WORK, which is queued, to UPSTREAM. */
void BsOwner_Dispatch(BsOwner *owner, BsPool *pool, BsWork *work,
                      BsUpstream *upstream);

/* Dispatches as much as fits. */
void BsOwner_DispatchAll(BsOwner *owner);

/* Makes room for WORK at an upstream of POOL; NULL when it can't or WORK may
   still wait. */
BsUpstream *BsOwner_Preempt(BsOwner *owner, BsPool *pool, const BsWork *work);

/* Returns whether work that yields to WORK runs or waits in POOL. */
bool BsOwner_CouldPreempt(const BsOwner *owner, const BsPool *pool,
                          const BsWork *work);

#endif /* BS_OWNERSTATE_H */
