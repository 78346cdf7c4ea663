/*
 * keeper.h - runs each non-idempotent request at most once.
 *
 * Rules: a key of an account is dispatched at most once; a repeat joins the
 * running request or gets the recorded answer; doubt is told as unknown.
 */
#ifndef BS_KEEPER_H
#define BS_KEEPER_H

#include "core.h"

/* Creates the keeper role of CORE. */
BsKeeper *BsKeeper_Create(BsCore *core);

/* Frees KEEPER; NULL is allowed. */
void BsKeeper_Destroy(BsKeeper *keeper);

/* Handles a request forwarded to this keeper. */
void BsKeeper_OnForward(BsKeeper *keeper, const BsMessage *message);

/* Handles a piece of an answer from an owner. */
void BsKeeper_OnAnswer(BsKeeper *keeper, const BsMessage *message);

/* Handles the receipt of a forward by an owner. */
void BsKeeper_OnAccept(BsKeeper *keeper, const BsMessage *message);

/* Handles a caller that went away. */
void BsKeeper_OnCancel(BsKeeper *keeper, const BsMessage *message);

/* Handles a caller that reads slowly, or again. */
void BsKeeper_OnFlow(BsKeeper *keeper, const BsMessage *message);

/* Drives timers. */
void BsKeeper_OnTick(BsKeeper *keeper);

/* Appends a BsNote to LIST for each key INSTANCE may now be in charge of. */
void BsKeeper_AppendNotes(BsKeeper *keeper, const char *instance,
                          GPtrArray *list);

/* Takes in the notes of a collect reply; repeats are harmless. */
void BsKeeper_OnNotes(BsKeeper *keeper, const BsMessage *message);

#endif /* BS_KEEPER_H */
