/*
 * connbudget.h - limits on the memory and the number of callers' connections
 * of a process, and which connection is closed when one is exceeded.
 *
 * Rules: one budget covers all listening addresses of a process.  It counts
 * what each connection buffers: heads, bodies, pipelined bytes and unsent
 * answers.  Connections are grouped by size class (powers of two) and by
 * whether their request is being answered.  Memory is taken back from the
 * group that holds the most, so that a crowd of similar connections cannot
 * displace callers that differ from it.  All operations take constant time.
 */
#ifndef BS_CONNBUDGET_H
#define BS_CONNBUDGET_H

#include "boragespur.h"

/* A connection that buffers more is refused itself when it exceeds the limit,
   unless another one has stalled. */
#define BS_CONN_EXEMPT_BYTES 65536

/* Time without progress after which a connection counts as stalled. */
#define BS_CONN_STALLED_MS 5000

/* A limit stays reached until it has closed no connection for this long. */
#define BS_CONN_CALM_MS 5000

typedef struct BsConnBudget BsConnBudget;

/* What a connection does. */
typedef enum {
    BS_CONN_IDLE,      /* between two requests */
    BS_CONN_READING,   /* a request is read */
    BS_CONN_ANSWERING, /* a request is answered */
    BS_CONN_CLOSING,   /* the last answer is sent, or the close awaited */
    BS_CONN_PHASES
} BsConnPhase;

typedef enum {
    BS_CONN_LIMIT_MEMORY,
    BS_CONN_LIMIT_NUMBER,
    BS_CONN_LIMITS
} BsConnLimit;

/* The entry of a connection.  It belongs to the connection; its members are
   private to the budget. */
typedef struct {
    BsConnBudget *budget;
    GList size_link;  /* in the group of its size */
    GList phase_link; /* among the connections of its phase */
    uint64_t bytes;
    int64_t changed_ms; /* when BYTES or PHASE changed last */
    BsConnPhase phase;
    unsigned group;
    /* Closes the connection OWNER because of LIMIT; removes the entry, or
       moves it to BS_CONN_CLOSING. */
    void (*close)(void *owner, BsConnLimit limit);
    void *owner;
} BsConnEntry;

/* Creates a budget of BYTES and CONNECTIONS. */
BsConnBudget *BsConnBudget_Create(uint64_t bytes, uint32_t connections);

/* Frees BUDGET, which must have no entries; NULL is allowed. */
void BsConnBudget_Destroy(BsConnBudget *budget);

/* Replaces the limits.  A lower limit on memory closes connections when it is
   enforced next; one on their number comes into force as they end. */
void BsConnBudget_SetLimits(BsConnBudget *budget, uint64_t bytes,
                            uint32_t connections);

/* Adds ENTRY in PHASE; its close function and owner must be set. */
void BsConnBudget_Add(BsConnBudget *budget, BsConnEntry *entry,
                      BsConnPhase phase, int64_t now_ms);

/* Sets what ENTRY does and how much it buffers. */
void BsConnBudget_Update(BsConnBudget *budget, BsConnEntry *entry,
                         BsConnPhase phase, uint64_t bytes, int64_t now_ms);

void BsConnBudget_Remove(BsConnBudget *budget, BsConnEntry *entry);

/* Returns the connection to close because all together buffer too much, or
   NULL when they do not.  GROWN is the one that has just been read from, or
   NULL. */
BsConnEntry *BsConnBudget_PickForMemory(const BsConnBudget *budget,
                                        BsConnEntry *grown, int64_t now_ms);

/* Returns whether one more connection may be accepted. */
bool BsConnBudget_HasRoom(const BsConnBudget *budget);

/* Returns the connection to close in favour of a new one, or NULL when all
   are being answered. */
BsConnEntry *BsConnBudget_PickForNumber(const BsConnBudget *budget);

/* Closes connections until the memory suffices. */
void BsConnBudget_EnforceMemory(BsConnBudget *budget, BsConnEntry *grown,
                                int64_t now_ms);

/* Closes a connection if none may be accepted otherwise; returns whether one
   may be accepted now. */
bool BsConnBudget_MakeRoom(BsConnBudget *budget, int64_t now_ms);

uint64_t BsConnBudget_Bytes(const BsConnBudget *budget);
uint32_t BsConnBudget_Connections(const BsConnBudget *budget);

/* Returns how many connections LIMIT has closed. */
uint64_t BsConnBudget_Closed(const BsConnBudget *budget, BsConnLimit limit);

/* Returns whether LIMIT has been reached, or is over, since the last call;
   sets REACHED to which of both. */
bool BsConnBudget_TakeChange(BsConnBudget *budget, BsConnLimit limit,
                             int64_t now_ms, bool *reached);

#endif /* BS_CONNBUDGET_H */
