/*
 * gw_relayparts.h - the state of a relayed request, shared by gw_relay.c
 * (arrival, queueing, end), gw_attempt*.c (attempts at upstreams),
 * gw_held.c (attempts whose upstream is silent), gw_hedge.c (early repeats),
 * gw_takeup.c (software versions of streams), gw_answerhints.c (what upstreams
 * request in their answers), gw_answer.c (the answer to the caller) and
 * gw_relaylog.c (log lines and metrics).
 */
#ifndef BS_GW_RELAYPARTS_H
#define BS_GW_RELAYPARTS_H

#include "gw_gate.h"
#include "ssesplitter.h"

/* Most times that one request is sent, including refused attempts. */
#define BS_RELAY_SENDS_MAX 4

/* Upstreams that one request may exclude after failed attempts. */
#define BS_RELAY_EXCLUDED_MAX 6

/* Attempts that one request may hold open beside the current one. */
#define BS_RELAY_HELD_MAX 3

/* Interval of checks for another upstream while one is silent. */
#define BS_RELAY_SILENCE_CHECK_MS 100

/* Answers other than event streams are buffered whole up to this size, so that
   a repeatable request can be retried when its answer is truncated. */
#define BS_ANSWER_BUFFERED_MAX_BYTES 65536

/* Most bytes of a software version in log lines; the rest is cut off. */
#define BS_RELAY_SOFTWARE_MAX 31

/* The software version of an upstream at some time, as its entry may
   change. */
typedef struct {
    uint64_t hash; /* BsTarget.version_hash; 0: none */
    char name[BS_RELAY_SOFTWARE_MAX + 1];
} BsRelaySoftware;

/* The part of an answer that has not been forwarded yet. */
typedef struct {
    GString *headers; /* header lines for the caller */
    GString *body;    /* not forwarded yet */
    BsSseSplitter *events;
    int64_t length_bytes; /* declared length, or -1 */
    uint32_t status;
    bool streamed; /* forwarded as it arrives */
    bool started;  /* its head was sent to the caller */
} BsRelayAnswer;

/* A request that may be taken up, or takes an earlier one up.  Keys are
   BsStreamVersions_Key(); times are milliseconds on the gate's clock. */
typedef struct {
    uint64_t own_key;       /* of the stream that later requests may name */
    uint64_t named_key;     /* of the stream to go on; 0: it begins one */
    uint64_t noted_version; /* in the last record under OWN_KEY; 0: none */
    uint32_t generation;    /* of that record */
    int64_t asked_ms;       /* when others were last asked for the version */
    int64_t ask_until_ms;   /* refused then, unless the version is found; 0: it
                               does not wait for it */
} BsRelayStream;

/* The early repeat of a request. */
typedef struct {
    int64_t due_ms; /* of the current attempt; 0: not repeated early */
    bool seen;      /* the time has come; decided after the next wait of the
                       event loop */
    bool asked;     /* it was decided whether to send one */
    bool open;      /* one was sent, and its outcome is not known */
} BsRelayHedge;

typedef struct BsRelay BsRelay;

/* An attempt to run a request at an upstream.  Times are milliseconds on the
   gate's clock. */
typedef struct {
    BsTarget *target; /* NULL: there is no attempt */
    BsOutbound *call;
    BsRelaySoftware software;  /* of TARGET at the start of the attempt */
    int64_t sent_ms;           /* 0 until the request was sent */
    int64_t last_received_ms;  /* last byte of the answer, or SENT_MS */
    int64_t extended_until_ms; /* no inactivity timeout before this
                                  time; 0: not extended */
    int64_t first_event_ms;
    int64_t resumed_ms;    /* when reading resumed after a pause; 0: never */
    bool paused;           /* the caller is slow: reading is paused */
    int64_t gap_ms;        /* longest pause between two events */
    uint32_t events;       /* received in this attempt */
    bool prefill_reported; /* BsTargets_Started() was called */
    bool refused;          /* the upstream answered that it has not run it */
    bool open_repeat; /* a repeat that counts as open in the retry budget */
    bool begun;       /* the head of its answer has arrived */
    bool silent;      /* the upstream counts as silent */
    bool early;       /* an early repeat */
    bool hedged;      /* held beside its early repeat */
    bool observed;    /* BsHedges_Observe() was called */
    BsTargetEnd head_outcome; /* outcome according to the answer's head */
    const char *ended_by;     /* what ended an answer that HTTP calls complete,
                                 for the log; NULL before */
    /* While the attempt is held beside another one: */
    BsRelay *relay;
    BsRelayAnswer answer;    /* its own, until the caller has a part of one */
    BsSseSplitter *splitter; /* NULL: its answer is no stream, or not begun */
    GString *pending;        /* whole events, or bytes, that arrived */
    bool goes_on;            /* PENDING can be forwarded */
    bool complete;           /* the answer has ended as END; CALL is NULL */
    BsOutboundEnd end;
} BsRelayAttempt;

/* A request that is being relayed.  Times are milliseconds on the gate's
   clock. */
struct BsRelay {
    BsGate *gate;
    BsInbound *inbound;     /* NULL once the caller has disconnected */
    const BsHttpHead *head; /* of the request; NULL as INBOUND */
    const GString *body;    /* of the request; NULL as INBOUND */
    BsRequestInfo info;
    char *id; /* request id; may be "" */
    BsCatalog *catalog;
    const BsCatalogRoute *route;
    const BsCatalogAccount *account; /* NULL on public routes */
    const BsCatalogService *service;
    uint64_t content; /* BsCrashList_HashContent() */
    uint64_t session; /* hash of the last prompt part; 0 without one */
    GArray *shared;   /* uint64_t, hashes of the first prompt parts, without
                         the last one */
    uint64_t cost;    /* charged to the account's quota */
    int64_t arrived_ms;
    int64_t expires_ms;     /* deadline of the answer */
    int64_t queue_until_ms; /* while queued: refused at that time */
    double yield_draw;      /* random, 0 to 1; below the share of requests that
                               may start, it need not leave slots free */
    BsWaitQueueEntry *queue_entry; /* NULL unless it is queued */
    ev_timer timer;
    BsRelayAttempt attempt; /* the current one */
    BsRelayAttempt held[BS_RELAY_HELD_MAX];
    int64_t last_event_ms;   /* of any attempt; 0 before the first */
    int64_t silent_since_ms; /* last progress of the latest held attempt */
    /* All attempts. */
    BsRelayAnswer answer;
    BsRelayHedge hedge;
    BsRelayStream stream;
    BsRelaySoftware began; /* of the attempt that brought the first event of
                              the stream, which goes on at this version only */
    char *excluded[BS_RELAY_EXCLUDED_MAX];
    size_t excluded_count;
    const char *given_up; /* cause for which the last attempt without an answer
                             ended; NULL: none has */
    uint32_t attempts;    /* times it was sent and not refused */
    uint32_t sends;       /* times it was sent */
    bool send_taken;      /* the retry budget of the next send is taken */
    bool send_denied;     /* the retry budget denied it the next send */
    bool may_have_run;
    bool answered; /* with the whole answer of an upstream that ran it */
};

/* ----------------------------------------------------------- gw_relay.c -- */

/* Sends the request if an upstream has a free slot; else queues or refuses
   it. */
void BsRelay_Dispatch(BsRelay *relay);

/* By what a request that arrives now would be decided, beside the upstreams
   themselves. */
typedef struct {
    int64_t quota_wait_ms;   /* until its account's limit admits it; 0: now */
    bool too_late;           /* the instance stops before it can be answered */
    double yield_share;      /* of the requests of its rank that may start */
    uint32_t reserved_slots; /* slots to leave to more urgent requests */
    int64_t queue_ms;        /* how long it may be queued */
} BsRelayForecast;

/* Fills FORECAST for RELAY, whose route and service are set, by the code that
   decides about requests.  Changes nothing. */
void BsRelay_Forecast(const BsRelay *relay, BsRelayForecast *forecast);

/* Records that the request waited WAITED_MS, which decides how many less
   urgent requests may start. */
void BsRelay_NoteWait(const BsRelay *relay, int64_t waited_ms);

/* Sets the timer to the earliest of the request's timeouts. */
void BsRelay_Schedule(BsRelay *relay);

/* Answers the request with a failure of the gateway and frees it.  RETRY_MS,
   when above 0, is sent as Retry-After, lengthened at random. */
void BsRelay_Refuse(BsRelay *relay, uint32_t status, const char *cause,
                    int64_t retry_ms);

/* Returns whether the request is blocked: its content, or a part of its
   prompt, has crashed too many upstreams, here and at other instances. */
bool BsRelay_IsBlocked(const BsRelay *relay);

/* Returns the parts of the request's prompt that others may share. */
BsSharedParts BsRelay_SharedParts(const BsRelay *relay);

/* Sets anew until when the request may be queued, if it is. */
void BsRelay_RenewQueueTimeout(BsRelay *relay);

/* Takes the request out of the queue if it is queued. */
void BsRelay_LeaveQueue(BsRelay *relay);

/* Counts OUTCOME and frees the request, whose answer has ended. */
void BsRelay_Finish(BsRelay *relay, const char *outcome);

/* -------------------------------------------------------- gw_relaylog.c -- */

/* Logs EVENT with the request's state; CAUSE may be NULL. */
void BsRelay_Log(BsRelay *relay, BsEventClass event_class, const char *event,
                 const char *cause);

/* Logs the retry budget of the request's service after it granted or denied
   the request one more send; a denial only once until a send is granted. */
void BsRelay_LogBudget(BsRelay *relay, bool granted);

/* As BsRelay_Log(), with ATTEMPT instead of the current one. */
void BsRelay_LogAttempt(BsRelay *relay, const BsRelayAttempt *attempt,
                        BsEventClass event_class, const char *event,
                        const char *cause);

/* Counts the end of the request: by route and OUTCOME, and for the daily
   report by what its caller knows. */
void BsRelay_Count(const BsRelay *relay, const char *outcome);

/* ----------------------------------------------------- gw_answerhints.c -- */

/* Applies what the head of an answer to ATTEMPT says about its upstream,
   whatever the outcome of the request. */
void BsAnswerHints_Apply(const BsRelay *relay, const BsRelayAttempt *attempt,
                         uint32_t status, const BsAnswerInfo *info);

/* Records that the upstream of ATTEMPT answered it, and whether it FAILED; may
   eject the upstream. */
void BsAnswerHints_NoteEnd(const BsRelay *relay, const BsRelayAttempt *attempt,
                           bool failed);

/* -------------------------------------------------------- gw_attempt*.c -- */

/* Fills QUERY, by which BsTargets_Choose() finds an upstream for the request.
   QUERY points to data of RELAY. */
void BsAttempt_FillQuery(const BsRelay *relay, BsTargetQuery *query);

/* Sends the request to TARGET. */
void BsAttempt_Start(BsRelay *relay, BsTarget *target);

/* Records in the target table how ATTEMPT ended, and clears it. */
void BsAttempt_End(BsRelay *relay, BsRelayAttempt *attempt, BsTargetEnd end);

/* Keeps the upstream of the current attempt from being chosen again for the
   request. */
void BsAttempt_ExcludeCurrent(BsRelay *relay);

/* Cancels the current attempt, if any; its upstream is not blamed. */
void BsAttempt_DropCurrent(BsRelay *relay);

/* Cancels the current and all held attempts. */
void BsAttempt_AbandonAll(BsRelay *relay);

/* Returns to the retry budget the send that it granted the request and that
   was not made, if any. */
void BsAttempt_ReturnSend(BsRelay *relay);

/* Records that an answer with INFO to ATTEMPT has begun, if it is one to this
   request: the attempt has arrived at its upstream. */
void BsAttempt_NoteArrived(const BsRelay *relay, BsRelayAttempt *attempt,
                           const BsAnswerInfo *info);

/* Records that ATTEMPT is given up while its upstream may still run it or may
   be down.  When that upstream was removed from the list without draining or
   leaving, also records that it has ended. */
void BsAttempt_NoteGivenUp(const BsRelay *relay,
                           const BsRelayAttempt *attempt);

/* Records for the crash list, which all instances share, that the connection
   closed while the upstream ran the request, unless END says otherwise; done
   whatever the outcome of this attempt. */
void BsAttempt_NoteCrash(const BsRelay *relay, const BsRelayAttempt *attempt,
                         BsOutboundEnd end);

/* Returns the cause in the log for an answer that ended as END. */
const char *BsAttempt_CauseOf(BsOutboundEnd end);

/* Returns how many bytes of a stream's answer to ATTEMPT follow its last whole
   event. */
size_t BsAttempt_RestBytes(const BsRelay *relay,
                           const BsRelayAttempt *attempt);

/* Returns how the answer of ATTEMPT ended: END, or BS_OUTBOUND_TRUNCATED when
   HTTP calls it complete, but not as an event stream.  Records what ended it
   for the log and the metrics. */
BsOutboundEnd BsAttempt_JudgeEnd(const BsRelay *relay, BsRelayAttempt *attempt,
                                 BsOutboundEnd end);

/* Records that the upstream of ATTEMPT goes on after it counted as silent. */
void BsAttempt_NoteResumed(BsRelay *relay, BsRelayAttempt *attempt);

/* Returns whether the answer with STATUS and INFO to ATTEMPT proves that its
   upstream has not run the request, and records it. */
bool BsAttempt_IsRefused(BsRelay *relay, BsRelayAttempt *attempt,
                         uint32_t status, const BsAnswerInfo *info);

/* Returns whether an answer with HEAD can be sent to the caller. */
bool BsAttempt_AcceptsHead(const BsRelay *relay, const BsHttpHead *head,
                           const BsAnswerInfo *info);

/* Callbacks of the current attempt; the context is the BsRelay. */
extern const BsOutboundEvents bs_attempt_events;

/* Returns after how long a pause, in milliseconds, callers of ROUTE disconnect
   from a stream. */
int64_t BsAttempt_CallerTimeoutMs(const BsCatalogRoute *route);

/* Returns when the upstream of the current attempt counts as silent;
   INT64_MAX: never. */
int64_t BsAttempt_TimeoutMs(const BsRelay *relay);

/* Handles an attempt for which BsAttempt_TimeoutMs() has passed: goes on
   waiting, or holds it and also sends the request to another upstream. */
void BsAttempt_OnTimeout(BsRelay *relay);

/* ------------------------------------------------------------ gw_held.c -- */

/* Returns whether one more attempt can be held. */
bool BsHeld_HasRoom(const BsRelay *relay);

/* Returns whether an attempt is held. */
bool BsHeld_HasAny(const BsRelay *relay);

/* Holds the current attempt open; the request then has no current one.  When
   its upstream goes on before another gives the answer, it becomes the current
   one again and the others end.  At an engine that has begun to answer the
   caller it does so only if the other attempt fails. */
void BsHeld_Park(BsRelay *relay);

/* Makes the held attempt that was sent last the current one again.  Returns
   false when none is held.  The request must have no current attempt and is
   taken out of the queue. */
bool BsHeld_FallBack(BsRelay *relay);

/* Returns whether a held attempt has more of the answer. */
bool BsHeld_GoesOn(const BsRelay *relay);

/* Returns until when attempts may be held; INT64_MAX: none is held, or for as
   long as they take. */
int64_t BsHeld_LimitMs(const BsRelay *relay);

/* Cancels all held attempts, which are counted as OUTCOME. */
void BsHeld_DropAll(BsRelay *relay, const char *outcome);

/* ---------------------------------------------------------- gw_hedge.c -- */

/* Records that the current attempt was sent: sets when it is repeated
   early. */
void BsHedge_NoteSent(BsRelay *relay);

/* Record that the answer to ATTEMPT has begun, with its head or with the first
   event of a stream. */
void BsHedge_NoteHead(const BsRelay *relay, BsRelayAttempt *attempt);
void BsHedge_NoteFirstEvent(const BsRelay *relay, BsRelayAttempt *attempt);

/* Returns when BsHedge_OnDue() is due; INT64_MAX: never. */
int64_t BsHedge_DueMs(const BsRelay *relay);

/* Holds the current attempt and sends the request to another upstream as well,
   or counts why not. */
void BsHedge_OnDue(BsRelay *relay);

/* Records that ATTEMPT gives the answer; called before the others are
   cancelled. */
void BsHedge_NoteAnswer(BsRelay *relay, const BsRelayAttempt *attempt);

/* Records that ATTEMPT ends without an answer that can be forwarded. */
void BsHedge_NoteFailed(BsRelay *relay, const BsRelayAttempt *attempt);

/* Records that the request ends. */
void BsHedge_NoteEnd(BsRelay *relay);

/* Returns whether the current attempt is an early repeat and another one goes
   on, so that its failure is not retried. */
bool BsHedge_HasOther(const BsRelay *relay);

/* Handles the end of the time for which attempts may be held; see
   BsHeld_LimitMs().  Of an attempt and its early repeat one goes on. */
void BsHedge_OnHoldEnd(BsRelay *relay);

/* --------------------------------------------------------- gw_takeup.c -- */

/* Returns whether the request takes up a stream that an earlier one of its
   caller began. */
bool BsTakeUp_IsOne(const BsRelay *relay);

/* Returns whether the caller has a part of the answer, from this request or an
   earlier one. */
bool BsTakeUp_HasPart(const BsRelay *relay);

/* Returns the seed by which the service of the request is picked: requests
   that take a stream up get the service that began it. */
uint64_t BsTakeUp_ServiceSeed(const BsRelay *relay);

/* Dispatches a new request, whose route, account and service are set.  One
   that takes a stream up first waits until the version is known at which the
   stream began; it is refused if no instance knows it. */
void BsTakeUp_Dispatch(BsRelay *relay);

/* Returns when BsTakeUp_OnTimeout() is due; INT64_MAX: never. */
int64_t BsTakeUp_DueMs(const BsRelay *relay);

/* Asks the other instances once more for the version, or refuses the
   request. */
void BsTakeUp_OnTimeout(BsRelay *relay);

/* Records for all instances that the current attempt may begin a stream, or
   goes on with one. */
void BsTakeUp_NoteSend(BsRelay *relay);

/* Sets the software version of the current attempt, whose upstream is set. */
void BsTakeUp_SetSoftware(BsRelay *relay);

/* Returns why no upstream may get the request: none is listed, open and
   allowed, or none of the version at which its stream began. */
const char *BsTakeUp_CauseWithoutUpstream(const BsRelay *relay);

/* Notes the software version at the first event of the current attempt, and
   logs one that differs from that of the first event of the answer. */
void BsTakeUp_NoteFirstEvent(BsRelay *relay);

/* ---------------------------------------------------------- gw_answer.c -- */

/* Starts the answer of a new attempt.  When its head was sent to the caller,
   the answer goes on under that head. */
void BsAnswer_Begin(BsRelay *relay, const BsHttpHead *head);

/* Prepares ANSWER for the body after HEAD. */
void BsAnswer_Init(const BsRelay *relay, BsRelayAnswer *answer,
                   const BsHttpHead *head);

/* Adds a part of the body, and forwards what may be forwarded.  Returns the
   number of events completed by it. */
unsigned BsAnswer_Append(BsRelay *relay, const char *data, size_t size_bytes);

/* Sends the rest of the answer to the caller, if it is connected, and ends
   it. */
void BsAnswer_End(BsRelay *relay);

/* Frees the buffers of ANSWER and empties it. */
void BsAnswer_Clear(BsRelayAnswer *answer);

#endif /* BS_GW_RELAYPARTS_H */
