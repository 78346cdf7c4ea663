/*
 * yield.h - how much of the less urgent work may start while more urgent work
 * of the same service waits.
 *
 * A place that a long, less urgent answer takes is missing for seconds to the
 * urgent requests that arrive meanwhile, at any instance.  So where urgent
 * requests wait long or are refused, fewer of the others may start.
 *
 * Rules: decided by what this instance sees of its own requests; a floor of
 * the less urgent ones always goes on; the part falls while the pressure lasts
 * and grows back without it.
 */
#ifndef BS_YIELD_H
#define BS_YIELD_H

#include "boragespur.h"

/* How urgent a request is: by the rank of its account, then its route's. */
typedef struct {
    uint32_t account; /* 0 is the most urgent */
    uint32_t route;   /* 0 is the most urgent */
} BsYieldRank;

typedef struct BsYields BsYields;

BsYields *BsYields_Create(void);

/* Frees YIELDS; NULL is allowed. */
void BsYields_Destroy(BsYields *yields);

/* Notes that a request of RANK waited WAITED_MS for a place of SERVICE, of the
   OBJECTIVE_MS in which its answer is to begin.  A refused one waited for all
   of it. */
void BsYields_NoteWait(BsYields *yields, const char *service, BsYieldRank rank,
                       int64_t waited_ms, int64_t objective_ms,
                       int64_t now_ms);

/* Returns the part, above 0 and at most 1, of the requests of RANK that may
   start at SERVICE now. */
double BsYields_Part(BsYields *yields, const char *service, BsYieldRank rank,
                     int64_t now_ms);

#endif /* BS_YIELD_H */
