/*
 * sheetstore.h - the sheet in force and how it reaches every instance.
 *
 * Rules: the sheet in force is the highest accepted revision seen; revisions
 * never go down; a refused text changes nothing; of two texts under one
 * revision the one with the higher hash counts, so that all agree.  Peers
 * tell each other the revision and pull a delta, or the whole text.
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

/* Handles a sheet from the platform, or a pull or push of a peer. */
void BsSheetStore_OnMessage(BsSheetStore *store, const BsMessage *message);

/* Returns a hash of the text in force, 0 before the first. */
uint32_t BsSheetStore_Hash(const BsSheetStore *store);

/* Notes that the sender of MESSAGE has the text HASH of REVISION in force;
   HASH may be 0 when it did not say. */
void BsSheetStore_OnRevision(BsSheetStore *store, const BsMessage *message,
                             uint64_t revision, uint32_t hash);

/* Returns whether a peer is known to have a newer sheet in force. */
bool BsSheetStore_IsBehind(const BsSheetStore *store);

/* Drives timers. */
void BsSheetStore_OnTick(BsSheetStore *store);

#endif /* BS_SHEETSTORE_H */
