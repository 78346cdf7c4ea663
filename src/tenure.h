/*
 * tenure.h - whether this instance may act as the one in charge of a thing.
 *
 * A thing is an idempotency key or an upstream.  Rules: an instance is in
 * charge when it ranks first in its newest list, has had contact with enough
 * other instances within the lease, and knows what those in charge before it
 * did: they handed over, or they left the list and can no longer act.
 */
#ifndef BS_TENURE_H
#define BS_TENURE_H

#include "core.h"

typedef enum {
    BS_TENURE_NONE = 0,  /* another instance ranks first */
    BS_TENURE_WAITING,   /* ranks first, but a take-over is under way */
    BS_TENURE_UNCERTAIN, /* ranks first; what went before cannot be known */
    BS_TENURE_HELD       /* in charge */
} BsTenureState;

/* Creates the tenure of CORE. */
BsTenure *BsTenure_Create(BsCore *core);

/* Frees TENURE; NULL is allowed. */
void BsTenure_Destroy(BsTenure *tenure);

/* Returns the state for KEY of ACCOUNT. */
BsTenureState BsTenure_OfKey(BsTenure *tenure, const char *account,
                             const char *key);

/* Returns the state for the upstream NAME. */
BsTenureState BsTenure_OfUpstream(BsTenure *tenure, const char *name);

/* Returns whether this instance is on its newest list and has not been
   paused since it read it; all that a warm upstream's owner needs. */
bool BsTenure_IsCurrent(const BsTenure *tenure);

/* Returns whether contact is recent enough to act at all. */
bool BsTenure_HasContact(BsTenure *tenure);

/* Handles a new instance list, after it came into force. */
void BsTenure_OnList(BsTenure *tenure);

/* Returns the instances of list REVISION while it is not settled, or NULL. */
const BsList *BsTenure_FindList(const BsTenure *tenure, uint64_t revision);

/* Handles a list that is older than the one in force. */
void BsTenure_OnOldList(BsTenure *tenure, const BsList *list);

/* Returns whether this instance was paused and has no contact since. */
bool BsTenure_IsWaking(const BsTenure *tenure);

/* Notes what the sender of MESSAGE has in force and pulls what is newer;
   SHEET_HASH is 0 when it did not say. */
void BsTenure_OnRevisions(BsTenure *tenure, const BsMessage *message,
                          uint64_t list_revision, uint64_t sheet_revision,
                          uint32_t sheet_hash);

/* Sends the next probes at the next tick, to spread a new list or sheet. */
void BsTenure_ProbeSoon(BsTenure *tenure);

/* Handles a probe, a collect, or a reply to either. */
void BsTenure_OnMessage(BsTenure *tenure, const BsMessage *message);

/* Drives timers. */
void BsTenure_OnTick(BsTenure *tenure);

#endif /* BS_TENURE_H */
