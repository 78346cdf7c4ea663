/*
 * gw_relayparts.h - the state of a relayed request, shared by its parts:
 * gw_relay.c (arrival, waiting, end), gw_attempt.c (sending to upstreams),
 * gw_wishes.c (what upstreams ask for), gw_answer.c (what the caller is given)
 * and gw_relaylog.c (what operators are told).
 */
#ifndef BS_GW_RELAYPARTS_H
#define BS_GW_RELAYPARTS_H

#include "gw_gate.h"
#include "sseparts.h"

/* Upstreams that one request may try and avoid. */
#define BS_RELAY_EXCLUDED_MAX 6

/* What is kept of an answer until it goes on. */
typedef struct {
    GString *headers; /* lines for the caller */
    GString *body;    /* not yet given to the caller */
    BsSseParts *events;
    int64_t length_bytes; /* declared; -1 when not */
    uint32_t status;
    bool streamed; /* goes on piece by piece */
    bool started;  /* the caller has its head */
} BsRelayAnswer;

/* A request. */
typedef struct {
    BsGate *gate;
    BsInbound *inbound;     /* NULL once the caller is gone */
    const BsHttpHead *head; /* of the caller; NULL once it is gone */
    const GString *body;
    BsRequestInfo info;
    char *id; /* for the log; may be "" */
    BsCatalog *catalog;
    const BsCatalogRoute *route;
    const BsCatalogAccount *account; /* NULL on public routes */
    const BsCatalogService *service;
    uint64_t content; /* BsCrashers_Content() */
    uint64_t session; /* hash of the prompt's last part; 0: none */
    uint64_t cost;    /* taken from the account's quota */
    int64_t arrived_ms;
    int64_t expires_ms;   /* gets its answer by then */
    int64_t gives_up_ms;  /* while it waits for a place: until then */
    double yield_draw;    /* 0 to 1; may start when the part is above it */
    BsLineEntry *waiting; /* NULL unless it waits for a place */
    ev_timer timer;
    /* The current attempt. */
    BsTarget *target; /* NULL between attempts */
    BsOutbound *call;
    int64_t sent_ms;    /* 0 until the message left */
    int64_t heard_ms;   /* last byte of the answer, or SENT_MS */
    int64_t patient_ms; /* silence is no reason to end it before; 0: it is */
    int64_t first_event_ms;
    int64_t last_event_ms; /* of any attempt; 0 before the first */
    int64_t resumed_ms;    /* reading went on after the caller was slow */
    bool paused;           /* the caller is slow: the answer is not read */
    int64_t gap_ms;        /* longest pause between two events */
    uint32_t events;       /* seen in this attempt */
    bool prefill_told;     /* BsTargets_Started() was called */
    bool refused;          /* the upstream says it will not run it */
    BsTargetEnd judged;    /* set by what the answer's head shows */
    /* All attempts. */
    BsRelayAnswer answer;
    char *excluded[BS_RELAY_EXCLUDED_MAX];
    size_t excluded_count;
    uint32_t attempts; /* messages that left and were not refused */
    uint32_t sends;    /* messages that left */
    bool may_have_run;
    bool answered; /* with a whole answer of an upstream that ran it */
} BsRelay;

/* ------------------------------------------------------------- gw_relay.c --
 */

/* Looks for a place now; else waits, or refuses. */
void BsRelay_Place(BsRelay *relay);

/* Notes for less urgent requests that this one has waited WAITED_MS. */
void BsRelay_NoteWait(const BsRelay *relay, int64_t waited_ms);

/* Sets the timer to what comes next. */
void BsRelay_Schedule(BsRelay *relay);

/* Gives a failure of our own as the final answer and frees the request.
   RETRY_MS, when above 0, tells the caller when to come back. */
void BsRelay_Refuse(BsRelay *relay, uint32_t status, const char *cause,
                    int64_t retry_ms);

/* Returns whether the content of the request has broken too many upstreams,
   here and at other instances, to be sent once more. */
bool BsRelay_IsStopped(const BsRelay *relay);

/* Frees the request after its answer has ended. */
void BsRelay_Finish(BsRelay *relay, const char *outcome);

/* ---------------------------------------------------------- gw_relaylog.c --
 */

/* Writes a line. */
void BsRelay_Log(BsRelay *relay, BsEventClass event_class, const char *event,
                 const char *cause);

/* Counts the end of the request: by route and OUTCOME, and for the evening
   page what its caller was told. */
void BsRelay_Count(const BsRelay *relay, const char *outcome);

/* ------------------------------------------------------------ gw_wishes.c --
 */

/* Takes in what an answer says of its upstream, whatever becomes of the
   request. */
void BsWishes_Note(BsRelay *relay, const BsAnswerInfo *info);

/* ----------------------------------------------------------- gw_attempt.c --
 */

/* Fills QUERY for the request. */
void BsAttempt_FillQuery(const BsRelay *relay, BsTargetQuery *query);

/* Sends the request to TARGET. */
void BsAttempt_Start(BsRelay *relay, BsTarget *target);

/* Ends the current attempt, if any, as END. */
void BsAttempt_Abandon(BsRelay *relay, BsTargetEnd end);

/* Returns after how long a pause the callers of ROUTE leave a stream. */
int64_t BsAttempt_LeftMs(const BsCatalogRoute *route);

/* Returns when the attempt is to be checked for silence; INT64_MAX: never. */
int64_t BsAttempt_PatienceMs(const BsRelay *relay);

/* Called once the patience is over. */
void BsAttempt_OnSilence(BsRelay *relay);

/* ------------------------------------------------------------ gw_answer.c --
 */

/* Prepares for the answer of a new attempt; what the caller already has
   stays. */
void BsAnswer_Begin(BsRelay *relay, const BsHttpHead *head);

/* Takes in a part of the body.  Returns the number of whole events in it. */
unsigned BsAnswer_Take(BsRelay *relay, const char *data, size_t size_bytes);

/* Gives the caller the answer's end. */
void BsAnswer_End(BsRelay *relay);

/* Frees what is kept. */
void BsAnswer_Clear(BsRelay *relay);

#endif /* BS_GW_RELAYPARTS_H */
