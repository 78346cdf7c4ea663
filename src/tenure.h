/*
 * tenure.h - whether this instance may act as the holder of a resource.
 *
 * A resource is an idempotency key or an upstream.  Rules: an instance holds
 * tenure of a resource when it ranks first for it in its newest list, has had
 * contact with enough other instances within the lease time, and knows what
 * the previous holders did: they handed over, or they were removed from the
 * list and can no longer act.
 */
#ifndef BS_TENURE_H
#define BS_TENURE_H

#include "core.h"

typedef enum {
    BS_TENURE_NONE = 0,  /* another instance ranks first */
    BS_TENURE_WAITING,   /* ranks first; take-over or lease not complete */
    BS_TENURE_UNCERTAIN, /* ranks first; earlier use cannot be known */
    BS_TENURE_HELD       /* may act */
} BsTenureState;

/* Creates the tenure module of CORE. */
BsTenure *BsTenure_Create(BsCore *core);

/* Frees TENURE; NULL is allowed. */
void BsTenure_Destroy(BsTenure *tenure);

/* Returns the state for KEY of ACCOUNT. */
BsTenureState BsTenure_OfKey(BsTenure *tenure, const char *account,
                             const char *key);

/* Returns the state for the upstream NAME. */
BsTenureState BsTenure_OfUpstream(BsTenure *tenure, const char *name);

/* Returns whether this instance is on its newest list and has not been paused
   since it read that list.  The owner of a warm upstream needs no more. */
bool BsTenure_IsCurrent(const BsTenure *tenure);

/* Returns whether this instance is current and had contact with enough others
   within the lease time to act at all. */
bool BsTenure_HasContact(BsTenure *tenure);

/* Handles a new instance list, after it came into force. */
void BsTenure_OnList(BsTenure *tenure);

/* Returns the instances of list REVISION, which are kept since the last
   settled list; NULL when not kept.  Owned by TENURE. */
const BsList *BsTenure_FindList(const BsTenure *tenure, uint64_t revision);

/* Handles a list that is older than the one in force. */
void BsTenure_OnOldList(BsTenure *tenure, const BsList *list);

/* Returns whether this instance was paused and has no contact yet since. */
bool BsTenure_IsRecovering(const BsTenure *tenure);

/* Handles the revisions in force at the sender of MESSAGE: pulls a newer list
   or sheet from it.  SHEET_HASH is 0 when not reported. */
void BsTenure_OnRevisions(BsTenure *tenure, const BsMessage *message,
                          uint64_t list_revision, uint64_t sheet_revision,
                          uint32_t sheet_hash);

/* Schedules probes for the next tick, to spread a new list or sheet. */
void BsTenure_ProbeSoon(BsTenure *tenure);

/* Handles a probe, a collect, or a reply to either. */
void BsTenure_OnMessage(BsTenure *tenure, const BsMessage *message);

/* Performs periodic work; called on every tick. */
void BsTenure_OnTick(BsTenure *tenure);

#endif /* BS_TENURE_H */
