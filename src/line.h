/*
 * line.h - the order in which waiting requests are served.
 *
 * Rules: a more urgent request goes first: by the rank of its account, then
 * that of its route.  Among equals, those whose caller already has a part of
 * the answer go first, then those that can still meet their objective, and
 * the one that waits longest goes before the others.
 */
#ifndef BS_LINE_H
#define BS_LINE_H

#include "boragespur.h"

/* Why a request stands where it does. */
typedef struct {
    uint32_t account_rank; /* 0 is the most urgent */
    uint32_t route_rank;   /* 0 is the most urgent */
    int64_t since_ms;      /* when its caller started to wait */
    int64_t in_time_ms;    /* served by then, it meets its objective */
    bool begun;            /* its caller has a part of the answer */
} BsLinePlace;

typedef struct BsLine BsLine;
typedef struct BsLineEntry BsLineEntry;

BsLine *BsLine_Create(void);

/* Frees LINE, which must be empty; NULL is allowed. */
void BsLine_Destroy(BsLine *line);

/* Adds REQUEST; the entry lives until it is removed. */
BsLineEntry *BsLine_Add(BsLine *line, const BsLinePlace *place, void *request);

/* Removes and frees ENTRY; NULL is allowed. */
void BsLine_Remove(BsLine *line, BsLineEntry *entry);

/* Returns the number of waiting requests. */
unsigned BsLine_Length(const BsLine *line);

/* Returns the waiting requests in the order to be served at NOW_MS; free the
   array with g_ptr_array_free(). */
GPtrArray *BsLine_Order(const BsLine *line, int64_t now_ms);

#endif /* BS_LINE_H */
