/*
 * history.h - record of one request at its entry, the instance that admitted
 * it.
 *
 * Rules: private to explain.c; no other module changes it.
 */
#ifndef BS_HISTORY_H
#define BS_HISTORY_H

#include "boragespur.h"

#include <jansson.h>

typedef struct {
    char *id;
    char *account;
    char *key;
    char *tier;
    char *target; /* service or model */
    char *keeper;
    char *upstream;
    int64_t start_ms;
    int64_t end_ms; /* 0 while it runs */
    uint64_t queued_ms;
    BsOutcome outcome;
    BsErrorKind error;
    bool idempotent;
} BsHistory;

/* Creates the history of REQUEST, which was admitted at NOW_MS. */
BsHistory *BsHistory_Create(const BsRequest *request, int64_t now_ms);

/* Frees DATA, a BsHistory. */
void BsHistory_Destroy(void *data);

/* Returns HISTORY, kept by the instance ENTRY, as JSON; unref the result. */
GBytes *BsHistory_Describe(const BsHistory *history, const char *entry,
                           int64_t now_ms);

/* Returns JSON as compact text and drops the reference to it. */
GBytes *BsHistory_ToBytes(json_t *json);

#endif /* BS_HISTORY_H */
