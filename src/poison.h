/*
 * poison.h - requests that crash the upstreams running them.
 *
 * Rules: when an upstream crashes, every request running on it becomes a
 * suspect, identified by its fingerprint; a suspect runs alone on an upstream;
 * a second crash quarantines it; a suspect that finishes without a crash is
 * cleared.
 */
#ifndef BS_POISON_H
#define BS_POISON_H

#include "core.h"

typedef enum {
    BS_POISON_CLEAN = 0,
    BS_POISON_SUSPECT,    /* run it alone on an upstream */
    BS_POISON_QUARANTINED /* refuse it */
} BsPoisonVerdict;

/* Creates an empty table of suspects for CORE. */
BsPoison *BsPoison_Create(BsCore *core);

/* Frees POISON; NULL is allowed. */
void BsPoison_Destroy(BsPoison *poison);

/* Returns whether REQUEST is clean, suspect or quarantined. */
BsPoisonVerdict BsPoison_Judge(BsPoison *poison, const BsRequest *request);

/* Records that REQUEST was running when its upstream crashed. */
void BsPoison_OnCrash(BsPoison *poison, const BsRequest *request);

/* Records that REQUEST finished without a crash. */
void BsPoison_OnFinish(BsPoison *poison, const BsRequest *request);

/* Handles BS_SUSPECT, a suspect reported by a peer. */
void BsPoison_OnMessage(BsPoison *poison, const BsMessage *message);

/* Sends suspects to a peer whose digest shows that it knows fewer. */
void BsPoison_OnDigest(BsPoison *poison, const BsMessage *message);

/* Returns the number of suspects known. */
uint32_t BsPoison_Count(const BsPoison *poison);

/* Removes expired suspects. */
void BsPoison_OnTick(BsPoison *poison);

#endif /* BS_POISON_H */
