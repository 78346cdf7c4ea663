/*
 * work.h - one request that is queued or running at an owner.
 *
 * Rules: work is in exactly one queue or at exactly one upstream; each
 * dispatch has its own number, so that a late piece of an earlier dispatch is
 * recognised; forwarded events are counted, so that a further dispatch resumes
 * after them; a stream resumes only at the model version that began it.
 */
#ifndef BS_WORK_H
#define BS_WORK_H

#include "span.h"

typedef struct BsUpstream BsUpstream;

typedef struct {
    BsMessage *request; /* BS_FORWARD as received */
    BsSpanScope span;
    char *id;               /* request id and attempt */
    const char *serves;     /* model or service it asks for */
    char *version;          /* model@version that began its stream, NULL before
                               the first event and when unknown */
    char *dispatch_version; /* model@version of the last dispatch, NULL when
                               unknown */
    BsUpstream *upstream;   /* where it runs, or NULL */
    GSequenceIter *queued;  /* position in a queue, or NULL */
    int64_t arrived_ms;
    int64_t queued_ms; /* last time it was queued */
    int64_t deadline_ms;
    int64_t started_ms;      /* last dispatch */
    int64_t first_ms;        /* first piece of the last dispatch, or 0 */
    int64_t last_ms;         /* newest piece of the last dispatch, or 0 */
    uint64_t next_seq;       /* of the next piece to forward */
    uint64_t body_bytes;     /* held while queued */
    uint32_t dispatch;       /* number of the last dispatch, 0 if none */
    uint32_t rank;           /* of its tier */
    uint32_t passed;         /* times that other work was dispatched first for
                                a cached prefix */
    uint32_t cost_tokens;    /* prompt and expected output */
    uint32_t charged_tokens; /* counted against the upstream's limit */
    uint32_t cached_tokens;  /* expected in the upstream's prefix cache */
    uint32_t prefill_ahead;  /* prefill tokens in progress at dispatch, its own
                                included */
    uint32_t events;         /* forwarded */
    uint32_t output_tokens;  /* received from the last dispatch */
    bool waiting;            /* queued or set aside */
    bool preempted;          /* was preempted at least once */
    bool alone;              /* must run alone at its upstream */
    bool version_named;      /* the version was sent with a piece */
} BsWork;

/* Creates work for FORWARD, a BS_FORWARD message that is copied; free it with
   BsWork_Destroy(). */
BsWork *BsWork_Create(const BsMessage *forward, uint32_t rank, int64_t now_ms);

/* Binds the stream of WORK to the version of its last dispatch, if an event
   was forwarded and it is not bound yet. */
void BsWork_BindVersion(BsWork *work);

/* Names the version of the stream in ANSWER, if it is known and was not named
   in an earlier piece. */
void BsWork_NameVersion(BsWork *work, BsAnswer *answer);

/* Frees WORK; NULL is allowed. */
void BsWork_Destroy(BsWork *work);

/* Returns the request of WORK, owned by WORK. */
const BsRequest *BsWork_Request(const BsWork *work);

/* Returns whether the running dispatch may be given up and restarted. */
bool BsWork_IsRestartable(const BsWork *work);

/* Returns the prefill and output tokens lost when the running dispatch is
   given up. */
uint32_t BsWork_WasteTokens(const BsWork *work);

/* Returns the name a request is routed by: its service or its model. */
const char *BsRequest_Serves(const BsRequest *request);

/* Returns the number of events in DATA, a piece of a stream: at least 1, but 0
   if DATA is NULL or empty. */
uint32_t BsEvents_Count(GBytes *data);

#endif /* BS_WORK_H */
