/*
 * digest.h - periodic summaries exchanged between instances.
 *
 * Rules: a digest describes its sender alone; the newest one of each
 * incarnation is kept until the sender leaves the list.
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

/* Returns the newest load INSTANCE told for SERVES, or NULL; AGE_MS, which
   may be NULL, is set to the time since it arrived. */
const BsLoad *BsDigests_FindLoad(const BsDigests *digests,
                                 const char *instance, const char *serves,
                                 int64_t *age_ms);

/* Sends digests when they are due. */
void BsDigests_OnTick(BsDigests *digests);

#endif /* BS_DIGEST_H */
