/*
 * core.h - state and functions shared by the roles of a core.
 *
 * Rules: each role is the only writer of its own state; roles communicate
 * only through messages, also within the same core.
 */
#ifndef BS_CORE_H
#define BS_CORE_H

#include "boragespur.h"
#include "counter.h"
#include "member.h"
#include "sheet.h"

typedef struct BsEntry BsEntry;
typedef struct BsKeeper BsKeeper;
typedef struct BsOwner BsOwner;
typedef struct BsSheetStore BsSheetStore;
typedef struct BsTenure BsTenure;
typedef struct BsDigests BsDigests;
typedef struct BsPoison BsPoison;
typedef struct BsPeers BsPeers;
typedef struct BsOnce BsOnce;
typedef struct BsRuns BsRuns;
typedef struct BsWitness BsWitness;
typedef struct BsExplain BsExplain;
typedef struct BsStop BsStop;
typedef struct BsOrders BsOrders;
typedef struct BsWatchers BsWatchers;
typedef struct BsLink BsLink;
typedef struct BsAccounts BsAccounts;
typedef struct BsRetries BsRetries;

struct BsCore {
    BsCoreConfig config; /* owns its strings */
    BsClock clock;
    BsEmitFunc emit;
    void *context;
    GRand *random;
    GQueue local; /* messages from this core to itself */
    BsCounters *counters;
    BsMembers *members;
    BsSheetStore *sheets;
    BsTenure *tenure;
    BsDigests *digests;
    BsPoison *poison;
    BsLink *link;
    BsAccounts *accounts;
    BsRetries *retries;
    BsEntry *entry;
    BsKeeper *keeper;
    BsOwner *owner;
    BsPeers *peers;
    BsOnce *once;
    BsRuns *runs;
    BsWitness *witness;
    BsExplain *explain;
    BsStop *stop;
    uint64_t next_forward; /* number of the last forward sent */
    uint64_t next_ticket;  /* number of the last ticket issued */
    int64_t started_ms;
    BsOrders *orders;
    BsWatchers *watchers;
    bool stepping;
};

/* Returns the time in milliseconds. */
int64_t BsCore_NowMs(const BsCore *core);

/* Passes MESSAGE to the host's emit function and destroys it. */
void BsCore_Emit(BsCore *core, BsMessage *message);

/* Sends MESSAGE to instance TO and takes ownership of it; INCARNATION 0
   addresses any incarnation.  A message to this instance is handled before
   BsCore_Step() returns. */
void BsCore_Send(BsCore *core, const char *to, uint64_t incarnation,
                 BsMessage *message);

/* Returns the number of the next forward, never 0. */
uint64_t BsCore_NextForward(BsCore *core);

/* Adds AMOUNT to the counter NAME. */
void BsCore_Count(BsCore *core, const char *name, uint64_t amount);

/* Emits a log line for a change of state; PRIORITY as in syslog(3). */
void BsCore_Log(BsCore *core, int priority, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Returns the sheet in force, or NULL before the first one arrives. */
const BsSheet *BsCore_Sheet(const BsCore *core);

/* Creates a message of KIND with a final answer that reports ERROR. */
BsMessage *BsCore_CreateError(BsMessageKind kind, const char *request_id,
                              uint32_t attempt, BsErrorKind error,
                              BsOutcome outcome);

#endif /* BS_CORE_H */
