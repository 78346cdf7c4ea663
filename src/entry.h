/*
 * entry.h - requests of callers connected to this instance.
 *
 * Rules: each request gets exactly one final answer; each piece of an answer
 * reaches the caller once and in order; a request is forwarded again only if
 * it is idempotent or provably did not start.
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

/* Handles a caller that disconnected. */
void BsEntry_OnCancel(BsEntry *entry, const BsMessage *message);

/* Handles a caller that stops or resumes reading its answer. */
void BsEntry_OnFlow(BsEntry *entry, const BsMessage *message);

/* Handles the acknowledgement of a forward or the reply to a check. */
void BsEntry_OnAccept(BsEntry *entry, const BsMessage *message);

/* Handles a piece of an answer from a keeper or owner. */
void BsEntry_OnAnswer(BsEntry *entry, const BsMessage *message);

/* Fails all open requests because the limit of a planned stop has passed. */
void BsEntry_GiveUp(BsEntry *entry);

/* Expires requests, starts due retries and detects lost attempts. */
void BsEntry_OnTick(BsEntry *entry);

/* Returns the number of requests without a final answer. */
uint32_t BsEntry_Count(const BsEntry *entry);

#endif /* BS_ENTRY_H */
