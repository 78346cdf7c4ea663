/*
 * reorder.h - puts the pieces of an answer back into sequence.
 *
 * Rules: each piece is released once, in order; duplicates are dropped; pieces
 * too far ahead of the next expected one are refused.
 */
#ifndef BS_REORDER_H
#define BS_REORDER_H

#include "boragespur.h"

/* Pieces this far ahead of the next expected one, or further, are refused. */
#define BS_REORDER_MAX_PIECES 4096

typedef struct BsReorder BsReorder;

/* Creates an empty buffer that expects piece 0. */
BsReorder *BsReorder_Create(void);

/* Frees REORDER and the pieces it holds; NULL is allowed. */
void BsReorder_Destroy(BsReorder *reorder);

/* Stores a copy of MESSAGE, which carries an answer; returns whether it was
   new and within bounds. */
bool BsReorder_Push(BsReorder *reorder, const BsMessage *message);

/* Returns the next piece in order, or NULL when it has not arrived; the caller
   destroys it. */
BsMessage *BsReorder_Pop(BsReorder *reorder);

/* Returns whether pieces are held back because an earlier one is missing. */
bool BsReorder_HasHeld(const BsReorder *reorder);

/* Returns whether the next piece in order has arrived. */
bool BsReorder_HasNext(const BsReorder *reorder);

#endif /* BS_REORDER_H */
