/*
 * record.h - what a keeper knows of each idempotency key.
 *
 * Rules: one record for each account and key; a record is never dropped
 * before the resend window has passed since it finished; the number of
 * records and the bytes they hold are bounded, and a full table takes no new
 * ones; answers are kept in pieces, whole or not at all.
 */
#ifndef BS_RECORD_H
#define BS_RECORD_H

#include "core.h"
#include "reorder.h"
#include "span.h"

/* Largest answer kept for later callers, in bytes. */
#define BS_RECORD_ANSWER_MAX_BYTES (1024 * 1024)

/* A hop that waits for the answer of a record. */
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
    char *body_hash;    /* NULL when attempts with several bodies are known */
    char *run_id;       /* request id the work runs under */
    char *owner;        /* instance it was forwarded to, or NULL */
    char *keeper;       /* other instance that may have run it, or NULL */
    char *witness;      /* instance asked to witness, or NULL */
    BsMessage *request; /* BS_FORWARD, until the outcome is known */
    BsSpanScope span;
    BsReorder *reorder;
    GPtrArray *pieces;   /* BsMessage, in order */
    GPtrArray *waiters;  /* BsWaiter */
    GPtrArray *in_doubt; /* BsWaiter told unknown, or NULL */
    GHashTable *tried;   /* owners that gave it back */
    uint64_t owner_incarnation;
    uint64_t keeper_incarnation;
    uint64_t forward_seq; /* of the forward to the owner */
    uint64_t bytes;
    int64_t deadline_ms;
    int64_t heard_ms;  /* from the owner, or start of the wait */
    int64_t polled_ms; /* last message to the owner or witness */
    int64_t parked_until_ms;
    int64_t first_attempt_ms;
    int64_t expires_ms;
    uint32_t attempt;
    uint32_t witnesses_asked;
    uint32_t refusals; /* by owners that certainly did not run it */
    BsRecordState state;
    BsOutcome outcome;
    BsErrorKind error; /* told with OUTCOME when there is no answer */
    bool fenced;       /* was never run here and never will */
    bool accepted;     /* the owner has it */
    bool complete;     /* the last piece is there */
    bool answer_lost;  /* pieces are missing or were too large to keep */
} BsRecord;

typedef struct BsRecords BsRecords;

/* Creates a table of at most LIMIT records that hold at most MAX_BYTES. */
BsRecords *BsRecords_Create(uint32_t limit, uint64_t max_bytes);

/* Frees RECORDS; NULL is allowed. */
void BsRecords_Destroy(BsRecords *records);

/* Returns whether a record may be added. */
bool BsRecords_HasRoom(const BsRecords *records);

/* Adds an empty record, also to a full table; takes no strings. */
BsRecord *BsRecords_Add(BsRecords *records, const char *account,
                        const char *key);

/* Removes RECORD. */
void BsRecords_Remove(BsRecords *records, BsRecord *record);

/* Returns the record of KEY, or NULL. */
BsRecord *BsRecords_Find(const BsRecords *records, const char *account,
                         const char *key);

/* Returns the record that runs as RUN_ID, or NULL. */
BsRecord *BsRecords_FindRun(const BsRecords *records, const char *run_id);

/* Names the run of RECORD. */
void BsRecords_SetRun(BsRecords *records, BsRecord *record,
                      const char *run_id);

/* Keeps PIECE, which it takes, for RECORD. */
void BsRecords_AddPiece(BsRecords *records, BsRecord *record,
                        BsMessage *piece);

/* Keeps FORWARD, which it takes, as the request of RECORD. */
void BsRecords_SetRequest(BsRecords *records, BsRecord *record,
                          BsMessage *forward);

/* Marks RECORD as finished and dropped at EXPIRES_MS. */
void BsRecords_Finish(BsRecords *records, BsRecord *record, BsOutcome outcome,
                      int64_t expires_ms);

/* Drops the finished records that have expired. */
void BsRecords_Expire(BsRecords *records, int64_t now_ms);

/* Returns all records; free the list alone. */
GList *BsRecords_List(const BsRecords *records);

/* Returns records that are not finished; free the list alone. */
GList *BsRecords_ListOpen(const BsRecords *records);

/* Returns the number of records and the bytes that they hold. */
uint32_t BsRecords_Count(const BsRecords *records);
/* Adds a hop that waits for the answer of RECORD; returns it. */
BsWaiter *BsRecord_AddWaiter(BsRecord *record, const BsMessage *forward);

/* Returns copies of the waiters of RECORD; unref the result. */
GPtrArray *BsRecord_CopyWaiters(const BsRecord *record);

/* Takes the waiters out of RECORD; unref the result. */
GPtrArray *BsRecord_TakeWaiters(BsRecord *record);

/* Returns a note of RECORD kept by KEEPER with INCARNATION. */
BsNote *BsRecord_CreateNote(const BsRecord *record, const char *keeper,
                            uint64_t incarnation, bool with_answer);

#endif /* BS_RECORD_H */
