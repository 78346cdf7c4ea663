/*
 * entry.h - requests of callers connected to this instance.
 *
 * Rules: each request gets exactly one final answer; pieces reach the caller
 * in order and once; only idempotent requests, or requests that provably did
 * not start, are forwarded a second time.
 */
#ifndef BS_ENTRY_H
#define BS_ENTRY_H

#include "core.h"

/* Creates the entry role of CORE. */
BsEntry *BsEntry_Create(BsCore *core);

/* Frees ENTRY; NULL is allowed. */
void BsEntry_Destroy(BsEntry *entry);

/* Handles a new request of a caller. */
void BsEntry_OnRequest(BsEntry *entry, const BsMessage *message);

/* Handles a caller that went away. */
void BsEntry_OnCancel(BsEntry *entry, const BsMessage *message);

/* Handles a caller that reads slowly, or again. */
void BsEntry_OnFlow(BsEntry *entry, const BsMessage *message);

/* Handles the receipt of a forward. */
void BsEntry_OnAccept(BsEntry *entry, const BsMessage *message);

/* Handles a piece of an answer from a keeper or owner. */
void BsEntry_OnAnswer(BsEntry *entry, const BsMessage *message);

/* Ends all requests, for a stop that cannot wait. */
void BsEntry_GiveUp(BsEntry *entry);

/* Drives timers. */
void BsEntry_OnTick(BsEntry *entry);

/* Returns the number of requests without a final answer. */
uint32_t BsEntry_Count(const BsEntry *entry);

#endif /* BS_ENTRY_H */
