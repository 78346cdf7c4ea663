/*
 * digest.h - periodic summaries exchanged between instances.
 *
 * Rules: a digest describes only its sender; the newest one of each sender is
 * kept until the sender is removed from the instance list; its loads are also
 * removed when the sender restarts.  Any message from a peer shows that it is
 * alive.  A peer that did not answer a forward or a check counts as
 * unresponsive until its next message, or until it is time to try it again.
 */
#ifndef BS_DIGEST_H
#define BS_DIGEST_H

#include "core.h"

/* Creates the digest exchange of CORE. */
BsDigests *BsDigests_Create(BsCore *core);

/* Frees DIGESTS; NULL is allowed. */
void BsDigests_Destroy(BsDigests *digests);

/* Handles a digest from a peer. */
void BsDigests_OnMessage(BsDigests *digests, const BsMessage *message);

/* Records that a message arrived from a peer; called for every message. */
void BsDigests_OnAnyMessage(BsDigests *digests, const BsMessage *message);

/* Records that INSTANCE did not answer a forward or a check. */
void BsDigests_OnUnanswered(BsDigests *digests, const char *instance);

/* Records that a request of TOKENS for SERVES (a model or service) was
   forwarded to INSTANCE, as its newest digest does not include it yet. */
void BsDigests_OnForward(BsDigests *digests, const char *instance,
                         const char *serves, uint32_t tokens);

/* Returns when the last message from INSTANCE arrived, 0 for never. */
int64_t BsDigests_LastSeenMs(const BsDigests *digests, const char *instance);

/* Returns the incarnation in the last message from INSTANCE, 0 for none. */
uint64_t BsDigests_Incarnation(const BsDigests *digests, const char *instance);

/* Returns whether INSTANCE is unresponsive or draining. */
bool BsDigests_IsUnavailable(const BsDigests *digests, const char *instance);

/* Returns the load that INSTANCE last reported for SERVES, less what was
   forwarded to it since; NULL when there is none or it is outdated.  AGE_MS,
   which may be NULL, is set to the time since it arrived; it is left unset
   when INSTANCE has sent no digest. */
const BsLoad *BsDigests_FindLoad(const BsDigests *digests,
                                 const char *instance, const char *serves,
                                 int64_t *age_ms);

/* Creates an empty list of BsPace. */
GPtrArray *BsDigests_CreatePaces(void);

/* Returns the median inter-token time of GENERATION, in milliseconds, over the
   paces in peers' recent digests and in OWN (of BsPace); 0 when none is
   known. */
double BsDigests_GenerationMs(const BsDigests *digests, const char *generation,
                              const GPtrArray *own);

/* Sends digests when they are due. */
void BsDigests_OnTick(BsDigests *digests);

#endif /* BS_DIGEST_H */
