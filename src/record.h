/*
 * record.h - the keeper's table of records, one per idempotency key.
 *
 * Rules: there is one record per account and key; the record of a request that
 * may have run is kept for the resend window after it finished; the number of
 * records and the bytes they hold are bounded, and the keeper adds no key to a
 * full table; an answer is kept as a list of pieces, either whole or not at
 * all.
 */
#ifndef BS_RECORD_H
#define BS_RECORD_H

#include "core.h"
#include "reorder.h"
#include "span.h"

/* Largest answer kept for repeated requests, in bytes. */
#define BS_RECORD_ANSWER_MAX_BYTES (1024 * 1024)

/* An instance that waits for the answer of a record. */
typedef struct {
    char *instance;
    uint64_t incarnation;
    char *request_id;
    uint32_t attempt;
    uint64_t next_seq;
} BsWaiter;

typedef struct {
    char *scope; /* account and key */
    char *account;
    char *key;
    char *body_hash; /* NULL when attempts with different bodies are known */
    char *run_id;    /* request id of the run */
    char *owner;     /* instance that the run was forwarded to, or NULL */
    char *keeper;    /* other instance that may have run it, or NULL */
    char *witness;   /* instance asked to be witness, or NULL */
    BsMessage *request; /* BS_FORWARD, until the outcome is known */
    BsSpanScope span;
    BsReorder *reorder;
    GPtrArray *pieces;          /* BsMessage, in order */
    GPtrArray *waiters;         /* BsWaiter */
    GPtrArray *unknown_waiters; /* waiters answered with unknown, or NULL */
    GHashTable *tried;          /* set of the owners that refused the run */
    uint64_t owner_incarnation;
    uint64_t keeper_incarnation;
    uint64_t forward_seq; /* sequence number of the forward to the owner */
    uint64_t bytes;
    int64_t deadline_ms;
    int64_t last_received_ms; /* last message from the owner, or start of the
                                 wait */
    int64_t polled_ms;        /* last message to the owner or witness */
    int64_t parked_until_ms;
    int64_t first_attempt_ms;
    int64_t expires_ms;
    uint32_t attempt;
    uint32_t witnesses_asked;
    uint32_t refusals; /* by owners that certainly did not run it */
    BsRecordState state;
    BsOutcome outcome;
    BsErrorKind error; /* sent with OUTCOME when there is no answer */
    char *detail;      /* extra text of ERROR from the owner, or NULL */
    bool fenced;       /* never ran here and never will */
    bool accepted;     /* the owner confirmed that it has the run */
    bool complete;     /* PIECES ends with the final piece */
    bool answer_lost;  /* pieces are missing or were too large to keep */
} BsRecord;

typedef struct BsRecords BsRecords;

/* Creates a table of at most LIMIT records that hold at most MAX_BYTES. */
BsRecords *BsRecords_Create(uint32_t limit, uint64_t max_bytes);

/* Frees RECORDS; NULL is allowed. */
void BsRecords_Destroy(BsRecords *records);

/* Returns whether a record may be added. */
bool BsRecords_HasRoom(const BsRecords *records);

/* Adds an empty record, even to a full table; copies ACCOUNT and KEY. */
BsRecord *BsRecords_Add(BsRecords *records, const char *account,
                        const char *key);

/* Removes RECORD. */
void BsRecords_Remove(BsRecords *records, BsRecord *record);

/* Returns the record of KEY, or NULL. */
BsRecord *BsRecords_Find(const BsRecords *records, const char *account,
                         const char *key);

/* Returns the record whose run is RUN_ID, or NULL. */
BsRecord *BsRecords_FindRun(const BsRecords *records, const char *run_id);

/* Sets the run id of RECORD. */
void BsRecords_SetRun(BsRecords *records, BsRecord *record,
                      const char *run_id);

/* Appends PIECE to the answer of RECORD and takes ownership of it. */
void BsRecords_AddPiece(BsRecords *records, BsRecord *record,
                        BsMessage *piece);

/* Stores FORWARD, which may be NULL, as the request of RECORD and takes
   ownership of it. */
void BsRecords_SetRequest(BsRecords *records, BsRecord *record,
                          BsMessage *forward);

/* Marks RECORD as finished with OUTCOME; it expires at EXPIRES_MS. */
void BsRecords_Finish(BsRecords *records, BsRecord *record, BsOutcome outcome,
                      int64_t expires_ms);

/* Removes the finished records that have expired. */
void BsRecords_Expire(BsRecords *records, int64_t now_ms);

/* Returns all records; the caller frees only the list. */
GList *BsRecords_List(const BsRecords *records);

/* Returns the unfinished records; the caller frees only the list. */
GList *BsRecords_ListOpen(const BsRecords *records);

/* Returns the number of records. */
uint32_t BsRecords_Count(const BsRecords *records);

/* Adds the sender of FORWARD to the waiters of RECORD, or updates the attempt
   of the waiter that is already there; returns the waiter. */
BsWaiter *BsRecord_AddWaiter(BsRecord *record, const BsMessage *forward);

/* Returns copies of the waiters of RECORD; unref the result. */
GPtrArray *BsRecord_CopyWaiters(const BsRecord *record);

/* Moves the waiters out of RECORD; unref the result. */
GPtrArray *BsRecord_TakeWaiters(BsRecord *record);

/* Returns a note of RECORD that names KEEPER and INCARNATION as its keeper.
   WITH_ANSWER adds the answer when it is complete. */
BsNote *BsRecord_CreateNote(const BsRecord *record, const char *keeper,
                            uint64_t incarnation, bool with_answer);

#endif /* BS_RECORD_H */
