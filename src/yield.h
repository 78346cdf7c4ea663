/*
 * yield.h - the share of less urgent requests that may start while more urgent
 * ones of the same service wait.
 *
 * A long, less urgent answer occupies its slot for seconds, during which
 * urgent requests at any instance cannot use it.  So where urgent requests
 * wait long or are refused, fewer of the others may start.
 *
 * Rules: the decision depends only on this instance's own requests.  The share
 * falls while there is pressure and rises again without it; it never falls
 * below a minimum.
 */
#ifndef BS_YIELD_H
#define BS_YIELD_H

#include "boragespur.h"

/* How urgent a request is: by the rank of its account, then by the rank of its
   route. */
typedef struct {
    uint32_t account; /* 0 is the most urgent */
    uint32_t route;   /* 0 is the most urgent */
} BsYieldRank;

typedef struct BsYields BsYields;

BsYields *BsYields_Create(void);

/* Frees YIELDS; NULL is allowed. */
void BsYields_Destroy(BsYields *yields);

/* Notes that a request of RANK waited WAITED_MS for a slot of SERVICE; its
   answer should start within OBJECTIVE_MS.  For a refused request pass
   OBJECTIVE_MS as the wait. */
void BsYields_NoteWait(BsYields *yields, const char *service, BsYieldRank rank,
                       int64_t waited_ms, int64_t objective_ms,
                       int64_t now_ms);

/* Returns the share, above 0 and at most 1, of the requests of RANK that may
   start at SERVICE now. */
double BsYields_Share(BsYields *yields, const char *service, BsYieldRank rank,
                      int64_t now_ms);

/* Returns what BsYields_Share() would return, and changes nothing. */
double BsYields_Peek(const BsYields *yields, const char *service,
                     BsYieldRank rank, int64_t now_ms);

#endif /* BS_YIELD_H */
