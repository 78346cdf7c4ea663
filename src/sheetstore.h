/*
 * sheetstore.h - the sheet in force and its distribution to all instances.
 *
 * Rules: the sheet in force is the valid one with the highest revision
 * received; the revision in force never decreases; an invalid text changes
 * nothing; of two texts with the same revision the one with the higher hash
 * wins, so that all instances agree.  Peers report their revision to each
 * other and pull a delta or the whole text.
 */
#ifndef BS_SHEETSTORE_H
#define BS_SHEETSTORE_H

#include "core.h"

/* Creates a store without a sheet. */
BsSheetStore *BsSheetStore_Create(BsCore *core);

/* Frees STORE; NULL is allowed. */
void BsSheetStore_Destroy(BsSheetStore *store);

/* Returns the sheet in force, or NULL before the first. */
const BsSheet *BsSheetStore_Current(const BsSheetStore *store);

/* Returns the revision in force, 0 before the first. */
uint64_t BsSheetStore_Revision(const BsSheetStore *store);

/* Handles a sheet from the platform, or a pull or push from a peer. */
void BsSheetStore_OnMessage(BsSheetStore *store, const BsMessage *message);

/* Returns a hash of the text in force, 0 before the first. */
uint32_t BsSheetStore_Hash(const BsSheetStore *store);

/* Records that the sender of MESSAGE has the text with HASH of REVISION in
   force, and pulls it when it is newer; HASH is 0 when not reported. */
void BsSheetStore_OnRevision(BsSheetStore *store, const BsMessage *message,
                             uint64_t revision, uint32_t hash);

/* Returns whether a peer is known to have a newer sheet in force. */
bool BsSheetStore_IsBehind(const BsSheetStore *store);

/* Handles timers: the hold of the first sheet, pull retries and the age
   metric. */
void BsSheetStore_OnTick(BsSheetStore *store);

#endif /* BS_SHEETSTORE_H */
