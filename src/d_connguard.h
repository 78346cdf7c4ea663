/*
 * d_connguard.h - limits on the connections of one listening address: their
 * number, and the bytes of answers that their callers have not read.
 *
 * Rules: a connection has one place from its accept until its descriptor is
 * closed.  When a place is needed, a connection that waits gives up its own:
 * the one that waits longest among the most numerous kind (connbudget.h), if
 * that kind is a crowd or the connection has waited for long, but never one
 * whose request is being answered.
 */
#ifndef BS_D_CONNGUARD_H
#define BS_D_CONNGUARD_H

#include "connbudget.h"
#include "d_loop.h"

typedef struct BsConnGuard BsConnGuard;

/* The place of a connection, which owns it.  ENTRY.close and ENTRY.owner must
   be set before it is added. */
typedef struct {
    BsConnEntry entry;
    int64_t since_ms; /* when its phase changed last */
} BsConnPlace;

/* Returns how many connections, of DESCRIPTORS_EACH descriptors, the limit of
   open files permits beside what the process needs for itself. */
uint32_t BsConnGuard_Affordable(uint32_t descriptors_each);

/* Creates the limits of the address under the settings key KEY, a constant:
   PLACES connections that hold at most UNSENT_BYTES of answers.  A connection
   has its place for at least SETTLE_MS, so that a crowd that comes back at
   once displaces nobody who is still sending a request. */
BsConnGuard *BsConnGuard_Create(BsLoop *loop, const char *key, uint32_t places,
                                uint64_t unsent_bytes, uint32_t settle_ms);

/* Frees GUARD, which must have no places taken; NULL is allowed. */
void BsConnGuard_Destroy(BsConnGuard *guard);

void BsConnGuard_Add(BsConnGuard *guard, BsConnPlace *place,
                     BsConnPhase phase);
void BsConnGuard_Remove(BsConnGuard *guard, BsConnPlace *place);

/* Adds TO, of a connection that is being closed and has yet to send BYTES, for
   the connection at FROM, which is removed by its owner. */
void BsConnGuard_Move(BsConnGuard *guard, BsConnPlace *from, BsConnPlace *to,
                      uint64_t bytes);

/* Sets what the connection at PLACE does, and how many bytes of answers it
   holds.  Closes connections that hold too much, which may include it. */
void BsConnGuard_Update(BsConnGuard *guard, BsConnPlace *place,
                        BsConnPhase phase, uint64_t bytes);

/* Closes a connection if all places are taken; returns whether one is free. */
bool BsConnGuard_MakeRoom(BsConnGuard *guard);

/* Closes a connection if there are more than places. */
void BsConnGuard_Shrink(BsConnGuard *guard);

/* Closes a connection in favour of a request, if one has waited for so long
   that it is not missed, or if a crowd has taken all places a short while ago.
   Returns whether it did. */
bool BsConnGuard_Displace(BsConnGuard *guard);

#endif /* BS_D_CONNGUARD_H */
