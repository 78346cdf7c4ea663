/*
 * stopadmit.h - whether a request can still be answered before a planned stop
 * ends.
 *
 * Rules: while the instance stops, a request is sent to an upstream only if
 * its answer is expected before the end.  One that may not be repeated must be
 * quite sure of that, as its caller would not learn whether it ran; for any
 * other the usual time is enough.  Where no time is known, most of the stop
 * must be left, or the request have waited before it.
 */
#ifndef BS_STOPADMIT_H
#define BS_STOPADMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct BsAnswerTimes BsAnswerTimes;

/* Creates an empty record of how long answers took. */
BsAnswerTimes *BsAnswerTimes_Create(void);

/* Frees TIMES; NULL is allowed. */
void BsAnswerTimes_Destroy(BsAnswerTimes *times);

/* Notes that a complete answer on ROUTE took TOOK_MS from its send. */
void BsAnswerTimes_Observe(BsAnswerTimes *times, const char *route,
                           int64_t took_ms);

/* Return the median and the longest time of the latest answers on ROUTE, in
   milliseconds; 0 when there were none. */
int64_t BsAnswerTimes_UsualMs(const BsAnswerTimes *times, const char *route);
int64_t BsAnswerTimes_LongestMs(const BsAnswerTimes *times, const char *route);

/* A request that could be sent while the instance stops. */
typedef struct {
    bool may_repeat;
    bool before_stop;   /* it arrived before the stop */
    int64_t stop_ms;    /* length of the stop */
    int64_t left_ms;    /* until it ends */
    int64_t expires_ms; /* until its deadline or its route's timeout */
    int64_t usual_ms;   /* of answers on its route; 0: unknown */
    int64_t longest_ms;
} BsStopAdmit;

/* Returns whether the request is to be sent. */
bool BsStopAdmit_Admits(const BsStopAdmit *request);

#endif /* BS_STOPADMIT_H */
