/*
 * digest.h - periodic summaries exchanged between instances.
 *
 * Rules: a digest describes its sender alone; the newest one of each
 * incarnation is kept until the sender leaves the list; any message of a peer
 * shows that it lives, and a peer that let a forward go unanswered counts as
 * silent until it is heard again or a bound has passed.
 */
#ifndef BS_DIGEST_H
#define BS_DIGEST_H

#include "core.h"

/* Creates the digests of CORE. */
BsDigests *BsDigests_Create(BsCore *core);

/* Frees DIGESTS; NULL is allowed. */
void BsDigests_Destroy(BsDigests *digests);

/* Handles a digest of a peer. */
void BsDigests_OnMessage(BsDigests *digests, const BsMessage *message);

/* Notes any message of a peer. */
void BsDigests_OnHeard(BsDigests *digests, const BsMessage *message);

/* Notes that INSTANCE left a forward or check unanswered. */
void BsDigests_OnSilence(BsDigests *digests, const char *instance);

/* Notes that TOKENS of work for SERVES were forwarded to INSTANCE, which its
   newest digest does not show yet. */
void BsDigests_OnForward(BsDigests *digests, const char *instance,
                         const char *serves, uint32_t tokens);

/* Returns when INSTANCE was heard last, 0 for never. */
int64_t BsDigests_HeardMs(const BsDigests *digests, const char *instance);

/* Returns the newest incarnation heard of INSTANCE, 0 for none. */
uint64_t BsDigests_Incarnation(const BsDigests *digests, const char *instance);

/* Returns whether INSTANCE is silent or stops soon. */
bool BsDigests_IsUnfit(const BsDigests *digests, const char *instance);

/* Returns the newest load INSTANCE told for SERVES, less what was forwarded
   to it since, or NULL; AGE_MS, which may be NULL, is set to the time since
   it arrived. */
const BsLoad *BsDigests_FindLoad(const BsDigests *digests,
                                 const char *instance, const char *serves,
                                 int64_t *age_ms);

/* Creates an empty list of BsPace. */
GPtrArray *BsDigests_CreatePaces(void);

/* Returns the median inter-token time of GENERATION over what peers told and
   OWN (of BsPace), in milliseconds; 0 when none is known. */
double BsDigests_GenerationMs(const BsDigests *digests, const char *generation,
                              const GPtrArray *own);

/* Sends digests when they are due. */
void BsDigests_OnTick(BsDigests *digests);

#endif /* BS_DIGEST_H */
