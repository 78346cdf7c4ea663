/*
 * boragespur.h - public interface of libboragespur.
 *
 * The library makes every scheduling decision and does no input or output of
 * its own.  A host passes typed messages to a core with BsCore_Step() and
 * receives typed messages through a callback.  The same messages in the same
 * order, with the same clock readings and seed, give the same output.
 */
#ifndef BORAGESPUR_H
#define BORAGESPUR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BS_VERSION "0.1.0"

/* Version of the peer message schema, sent in every peer message. */
#define BS_PROTOCOL_VERSION 1

/* Longest accepted instance, account, upstream or model name, in bytes. */
#define BS_NAME_MAX_BYTES 63

/* ---------------------------------------------------------------------- */
/* Errors                                                                  */
/* ---------------------------------------------------------------------- */

/* Domain of every GError reported by the library. */
#define BS_ERROR (bs_error_quark())

/* Typed error kinds; BsError_Describe() gives text, remedy and status. */
typedef enum {
    BS_ERR_NONE = 0,
    BS_ERR_SETTINGS,         /* settings file is missing or invalid */
    BS_ERR_SHEET,            /* sheet is invalid */
    BS_ERR_MESSAGE,          /* peer message cannot be decoded */
    BS_ERR_BAD_REQUEST,      /* malformed request */
    BS_ERR_UNAUTHORIZED,     /* unknown bearer token */
    BS_ERR_UNKNOWN_MODEL,    /* no such model in the sheet */
    BS_ERR_UNKNOWN_SERVICE,  /* no such service in the sheet */
    BS_ERR_UNKNOWN_TIER,     /* no such tier in the sheet */
    BS_ERR_TOO_LARGE,        /* request exceeds a size limit */
    BS_ERR_ACCOUNT_LIMIT,    /* account exceeds its own limit */
    BS_ERR_OVERLOADED,       /* shed for lack of capacity */
    BS_ERR_DEADLINE,         /* deadline passed or cannot be met */
    BS_ERR_NO_UPSTREAM,      /* no open upstream serves the request */
    BS_ERR_UPSTREAM_FAILED,  /* upstream failed while running it */
    BS_ERR_UPSTREAM_REFUSED, /* upstream refused it without running it */
    BS_ERR_CONNECT,          /* upstream could not be reached */
    BS_ERR_PEER_LOST,        /* instance holding the request was lost */
    BS_ERR_KEY_CONFLICT,     /* idempotency key reused with another body */
    BS_ERR_KEY_UNCERTAIN, /* an earlier attempt with this key may have run */
    BS_ERR_TICKET,        /* ticket is invalid or its keeper no longer runs */
    BS_ERR_QUARANTINED,   /* request has repeatedly crashed upstreams */
    BS_ERR_DRAINING,      /* instance is stopping */
    BS_ERR_MEMORY_FULL,   /* a bounded table is full */
    BS_ERR_NOT_READY,     /* instance has no sheet or list yet */
    BS_ERR_CANCELLED,     /* cancelled, or the caller disconnected */
    BS_ERR_NOT_FOUND,     /* no such request */
    BS_ERR_INCARNATION,   /* addressed to another incarnation */
    BS_ERR_NOT_KEEPER,    /* another instance is the key's keeper */
    BS_ERR_KEY_MOVED,    /* another instance has the record; KEEPER names it */
    BS_ERR_ANSWER_LOST,  /* the request ran, but its answer was not kept */
    BS_ERR_VERSION_GONE, /* no engine has the version that began the stream */
    BS_ERR_COUNT
} BsErrorKind;

/* Static description of an error kind. */
typedef struct {
    const char *name;     /* stable machine-readable identifier */
    uint16_t http_status; /* HTTP status sent to callers */
    const char *message;  /* what happened */
    const char *remedy;   /* what the reader can do about it */
} BsErrorText;

/* Returns the quark of the BS_ERROR domain. */
GQuark bs_error_quark(void);

/* Returns the description of KIND; never NULL. */
const BsErrorText *BsError_Describe(BsErrorKind kind);

/* ---------------------------------------------------------------------- */
/* Clock                                                                   */
/* ---------------------------------------------------------------------- */

/* Monotonic time source passed in by the host. */
typedef struct {
    struct timespec (*now)(void *context);
    void *context;
} BsClock;

/* Returns the reading of CLOCK in milliseconds. */
int64_t BsClock_NowMs(const BsClock *clock);

/* ---------------------------------------------------------------------- */
/* Messages                                                                */
/* ---------------------------------------------------------------------- */

/* Outcome of a request, as reported to its caller. */
typedef enum {
    BS_OUTCOME_NONE = 0, /* not known yet */
    BS_OUTCOME_RAN,      /* the upstream ran it */
    BS_OUTCOME_NOT_RUN,  /* it did not run and will not run */
    BS_OUTCOME_UNKNOWN   /* it may have run */
} BsOutcome;

/* Role that handles a request on one hop. */
typedef enum {
    BS_STAGE_NONE = 0,
    BS_STAGE_ENTRY,  /* accepted the caller's connection */
    BS_STAGE_KEEPER, /* holds the at-most-once record */
    BS_STAGE_OWNER   /* dispatches to the upstream */
} BsStage;

/* State of an instance's record of a non-idempotent request. */
typedef enum {
    BS_RECORD_NONE = 0,
    BS_RECORD_SENT,       /* forwarded to a keeper; outcome not known */
    BS_RECORD_PARKED,     /* take-over of the key under way; not dispatched */
    BS_RECORD_WITNESSING, /* witness has not acknowledged; not dispatched */
    BS_RECORD_DISPATCHED, /* forwarded to an owner */
    BS_RECORD_FINISHED,   /* has an outcome */
    BS_RECORD_FENCED      /* will never run here; may have run elsewhere */
} BsRecordState;

/* Kind of an entry in the platform's instance list. */
typedef enum {
    BS_NODE_INSTANCE = 1, /* a boragespur instance */
    BS_NODE_ENGINE,       /* a model engine */
    BS_NODE_SERVICE       /* a plain service */
} BsNodeKind;

/* State of an entry in the platform's instance list. */
typedef enum { BS_NODE_LIVE = 1, BS_NODE_LEAVING } BsNodeState;

/* Kinds of message; the comment names the payload member. */
typedef enum {
    /* Host to core. */
    BS_TICK = 1,        /* no payload; drives timers */
    BS_CALLER_REQUEST,  /* request */
    BS_CALLER_CANCEL,   /* cancel */
    BS_CALLER_FLOW,     /* flow */
    BS_UPSTREAM_ANSWER, /* answer */
    BS_UPSTREAM_REPORT, /* report */
    BS_PLATFORM_LIST,   /* list; to the host when it came from a peer */
    BS_PLATFORM_SHEET,  /* sheet */
    BS_PLATFORM_DOWN,   /* no payload; a read from the platform failed */
    BS_QUERY,           /* query */
    BS_DRAIN,           /* drain */

    /* Core to host. */
    BS_CALLER_ANSWER = 32, /* answer */
    BS_UPSTREAM_DISPATCH,  /* request */
    BS_UPSTREAM_CANCEL,    /* cancel */
    BS_UPSTREAM_FLOW,      /* flow */
    BS_UPSTREAM_ORDER,     /* order */
    BS_PLATFORM_WATCH,     /* watch */
    BS_QUERY_REPLY,        /* reply */
    BS_SPAN,               /* span */
    BS_LOG,                /* log */
    BS_DRAINED,            /* no payload; the host may exit */
    BS_UPSTREAM_POLL,      /* report, of which only UPSTREAM is set; asks for
                              a new report */

    /* Core to core. */
    BS_FORWARD = 64,   /* request */
    BS_ACCEPT,         /* accept */
    BS_ANSWER,         /* answer */
    BS_CANCEL,         /* cancel */
    BS_FLOW,           /* flow */
    BS_DIGEST,         /* digest */
    BS_PROBE,          /* probe */
    BS_PROBE_REPLY,    /* probe */
    BS_COLLECT,        /* collect */
    BS_COLLECT_REPLY,  /* collected */
    BS_WITNESS,        /* note */
    BS_WITNESS_ACK,    /* note */
    BS_SHEET_PULL,     /* sheet */
    BS_SHEET_PUSH,     /* sheet */
    BS_SUSPECT,        /* suspect */
    BS_PEER_QUERY,     /* query */
    BS_PEER_REPLY,     /* reply */
    BS_HANDOVER,       /* collected */
    BS_HANDOVER_ACK,   /* probe */
    BS_LIST_PULL,      /* sheet; REVISION wanted, BASE_REVISION held */
    BS_LIST_PUSH,      /* list */
    BS_WATCH_HANDOVER, /* watch; the sender cannot read the platform */
    BS_CHECK           /* accept */
} BsMessageKind;

/* A request as it travels from caller to upstream. */
typedef struct {
    char *request_id;     /* assigned by the entry; NULL from a new caller */
    char *account;        /* resolved by the entry */
    char *token;          /* bearer token; never leaves the entry */
    char *key;            /* idempotency key, or NULL */
    char *ticket;         /* ticket, or NULL */
    char *service;        /* plain service name, or NULL for a model call */
    char *model;          /* model name, or NULL for a service call */
    char *version;        /* in a forward, the model version that began the
                             stream, NULL when unknown; on dispatch, the one
                             chosen by the owner */
    char *method;         /* HTTP method */
    char *path;           /* path and query sent to the upstream */
    char *content_type;   /* of the body, or NULL */
    char *tier;           /* tier requested, later the tier granted */
    char *traceparent;    /* W3C trace context, or NULL */
    char *upstream;       /* set on dispatch */
    GBytes *body;         /* may be NULL */
    int64_t deadline_ms;  /* time left when sent; 0 means the tier default */
    uint64_t prefix_hash; /* hash of the prompt prefix */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* expected */
    uint32_t attempt;       /* number of this forward of the request */
    uint32_t from_stage;    /* BsStage of the sender */
    uint32_t stage;         /* BsStage of the receiver */
    uint32_t skip_events;   /* events already delivered to the caller */
    uint32_t crashes;       /* upstreams lost while running it */
    uint64_t seq;        /* number among the sender's forwards; 0 for none */
    uint64_t from_piece; /* first piece requested, with RESUME */
    uint64_t prior_incarnation; /* of PRIOR_KEEPER */
    char *prior_keeper; /* keeper that an earlier attempt was sent to */
    char *body_hash;    /* hash of method, path and body */
    bool idempotent;    /* may run more than once */
    bool stream;        /* answer is a server-sent event stream */
    bool resume; /* requests the rest of an answer; never starts a run */
} BsRequest;

/* A piece of an answer; sequence numbers start at 0 on every hop. */
typedef struct {
    char *request_id;
    char *content_type; /* in the first piece */
    char *upstream;     /* in the first piece */
    char *version;      /* model version of a stream, in the first piece in
                           which it is known */
    char *ticket;       /* for a later request, in the first piece */
    char *detail;       /* extra error text, or NULL */
    char *keeper;       /* that holds the record, with BS_ERR_KEY_MOVED */
    GBytes *data;       /* may be NULL */
    uint64_t seq;
    uint64_t queued_ms;          /* time spent in queues */
    uint64_t keeper_incarnation; /* of KEEPER */
    uint32_t attempt;            /* copied from the request */
    uint32_t to_stage;           /* BsStage of the receiver */
    uint32_t status;             /* HTTP status, in the first piece */
    uint32_t tokens;             /* output tokens in this piece */
    uint32_t cached_tokens;      /* prompt tokens found in the prefix cache */
    uint32_t outcome;            /* BsOutcome, in the last piece */
    uint32_t error;              /* BsErrorKind, in the last piece */
    uint32_t retry_after_s;      /* in the last piece, with an error */
    bool final;                  /* last piece */
    bool crashed; /* the upstream process died while running it */
} BsAnswer;

/* Cancels a request on a hop. */
typedef struct {
    char *request_id;
    uint32_t attempt;
    uint32_t to_stage;
    uint32_t reason;     /* BsErrorKind */
    uint32_t from_stage; /* BS_STAGE_KEEPER from a keeper, else 0 */
} BsCancel;

/* Stops or restarts the flow of an answer. */
typedef struct {
    char *request_id;
    uint32_t attempt;
    uint32_t to_stage;
    bool paused;
} BsFlow;

/* Acknowledges a forward, or asks whether the receiver still has it. */
typedef struct {
    char *request_id;
    uint32_t attempt;
    uint32_t to_stage;
    bool gone; /* in reply to a BS_CHECK: the request is not known here */
} BsAccept;

/* One entry of the platform's instance list. */
typedef struct {
    char *name;
    char *address; /* IP:port */
    char *data_centre;
    char *region;
    char *serves;     /* comma-separated models, or the service name */
    char *generation; /* hardware generation of an engine */
    uint32_t kind;    /* BsNodeKind */
    uint32_t state;   /* BsNodeState */
    uint32_t slots;   /* published concurrency limit */
    uint32_t tokens;  /* published limit of tokens in flight */
} BsListEntry;

/* The platform's instance list at a revision. */
typedef struct {
    uint64_t revision;
    GPtrArray *entries; /* of BsListEntry */
} BsList;

/* A sheet as text, a request for a sheet, or a delta between two sheets. */
typedef struct {
    uint64_t revision;
    uint64_t base_revision; /* 0 when TEXT is whole */
    GBytes *text;
    uint32_t hash; /* of a whole text: the one that the puller holds, or the
                      one that a push results in */
} BsSheetText;

/* An upstream's report of its own state. */
typedef struct {
    char *upstream;
    char *loaded;     /* comma-separated model@version, "" for none, NULL
                         when not reported */
    char *boot_id;    /* changes when the upstream restarts */
    uint64_t fencing; /* highest fencing number it has seen */
    uint32_t age_ms;  /* age of the report */
    uint32_t running; /* requests running */
    uint32_t waiting; /* requests queued in the engine */
    uint32_t tokens;  /* tokens in flight */
    bool reachable;
    bool checks_fencing; /* refuses orders with an old fencing number */
} BsReport;

/* An order to an engine. */
typedef struct {
    char *upstream;
    char *verb; /* "load" or "unload" */
    char *model;
    char *version;
    uint64_t fencing;
} BsOrder;

/* Which documents of the platform this instance shall watch. */
typedef struct {
    bool sheet;
    bool list;
} BsWatch;

/* A query from an operator or a caller. */
typedef struct {
    char *query_id;
    char *what; /* "status", "explain", "request", "metrics", "models",
                   "ticket" or "ready" */
    char *argument;
    char *token;   /* bearer token of a caller, or NULL for an operator */
    char *account; /* of the caller, between instances; or NULL */
} BsQuery;

/* The answer to a query. */
typedef struct {
    char *query_id;
    GBytes *body;    /* JSON, or Prometheus text for "metrics" */
    uint32_t status; /* HTTP status */
} BsQueryReply;

/* A planned stop. */
typedef struct {
    int64_t limit_ms; /* time after which running requests are aborted */
} BsDrain;

/* One finished trace span. */
typedef struct {
    char *traceparent; /* context of this span */
    char *parent;      /* span id of the parent, or NULL */
    char *name;
    char *request_id;
    int64_t start_ms;
    int64_t end_ms;
} BsSpan;

/* A log line. */
typedef struct {
    uint32_t priority; /* syslog priority, 0 to 7 */
    char *text;
} BsLog;

/* Load of one model or service on the upstreams of one owner. */
typedef struct {
    char *serves; /* model or service */
    int64_t free_tokens;
    uint32_t free_slots;
    uint32_t waiting;        /* requests queued */
    uint32_t oldest_wait_ms; /* of any tier */
    uint32_t lowest_rank;    /* rank of the least urgent tier with running or
                                queued requests, 0 when none */
} BsLoad;

/* Usual inter-token time of one hardware generation on the upstreams of one
   owner. */
typedef struct {
    char *generation;
    uint32_t inter_token_us;
} BsPace;

/* Periodic summary of an instance, sent to a few peers. */
typedef struct {
    uint64_t sheet_revision;
    uint64_t list_revision;
    GPtrArray *loads;  /* of BsLoad */
    GPtrArray *paces;  /* of BsPace */
    uint32_t suspects; /* number of suspects known */
    bool draining;
} BsDigest;

/* A contact check; the reply repeats SEQ and SENT_MS. */
typedef struct {
    uint64_t seq;
    int64_t sent_ms; /* sender's clock */
    uint64_t list_revision;
    bool denied; /* the replier refuses contact: the prober left its list or
                    was replaced */
    uint64_t sheet_revision;
    uint64_t settled_revision; /* newest list that the prober has settled: it
                                  collected what the earlier instances in
                                  charge knew; 0 for none */
    int64_t age_ms;            /* since the sender started */
    uint32_t sheet_hash;       /* hash of the sheet text in force */
} BsProbe;

/* An instance's record of one non-idempotent request. */
typedef struct {
    char *account;
    char *key;
    char *body_hash;
    char *request_id;
    char *keeper; /* instance the request was sent to */
    uint64_t keeper_incarnation;
    uint32_t state;     /* BsRecordState */
    int64_t age_ms;     /* since first seen */
    uint32_t outcome;   /* BsOutcome */
    uint32_t status;    /* HTTP status of ANSWER */
    char *content_type; /* of ANSWER */
    GBytes *answer;     /* whole answer, in a handover; else NULL */
} BsNote;

/* Work in flight at an upstream, reported to the upstream's next owner. */
typedef struct {
    char *upstream;
    uint32_t requests;
    uint32_t tokens;
    bool cold; /* the upstream is in cold start */
} BsInFlight;

/* An instance that left the list within the resend window. */
typedef struct {
    char *name;
    uint64_t incarnation;
    int64_t age_ms;
    bool clean; /* its records were recovered from the other instances */
} BsLoss;

/* Asks a peer for what it knows of the keys and upstreams that the sender is
   now in charge of. */
typedef struct {
    uint64_t list_revision;
    uint64_t view_hash; /* of the instances in that list */
    uint64_t round;     /* copied to the reply */
    int64_t age_ms;     /* since the sender started */
    GPtrArray *losses;  /* of BsLoss; the receiver denies them contact */
} BsCollect;

/* Reply to a BsCollect.  The replier acts on no older list afterwards. */
typedef struct {
    uint64_t list_revision;
    int64_t age_ms;       /* since the replier started */
    GPtrArray *notes;     /* of BsNote */
    GPtrArray *in_flight; /* of BsInFlight */
    GPtrArray *losses;    /* of BsLoss */
    uint64_t view_hash;   /* of the instances in that list */
    uint64_t round;       /* copied from the BsCollect */
    int64_t settled_ms;   /* since the replier first settled a list, or 0 */
    int64_t known_ms;     /* age up to which the replier's records of keys
                             are complete, but for losses */
    char *views;          /* comma-separated list revisions that the replier
                             has not settled */
} BsCollected;

/* A request suspected of crashing upstreams. */
typedef struct {
    char *fingerprint;
    char *instance;   /* instance that counted the crashes */
    uint32_t crashes; /* counted by INSTANCE */
    bool cleared;     /* the request has finished since */
} BsSuspect;

/* A typed message; KIND selects the payload member in use. */
typedef struct {
    uint32_t kind; /* BsMessageKind */
    char *from;    /* instance name, on peer messages */
    char *to;      /* instance name, on peer messages */
    uint64_t from_incarnation;
    uint64_t to_incarnation; /* 0 matches any incarnation */
    union {
        BsRequest request;
        BsAnswer answer;
        BsCancel cancel;
        BsFlow flow;
        BsAccept accept;
        BsList list;
        BsSheetText sheet;
        BsReport report;
        BsOrder order;
        BsWatch watch;
        BsQuery query;
        BsQueryReply reply;
        BsDrain drain;
        BsSpan span;
        BsLog log;
        BsDigest digest;
        BsProbe probe;
        BsCollect collect;
        BsCollected collected;
        BsNote note;
        BsSuspect suspect;
    } u;
} BsMessage;

/* Creates an empty message of KIND. */
BsMessage *BsMessage_Create(BsMessageKind kind);

/* Creates a deep copy; byte strings are shared. */
BsMessage *BsMessage_Copy(const BsMessage *message);

/* Frees MESSAGE and its payload; NULL is allowed. */
void BsMessage_Destroy(BsMessage *message);

/* Returns the name of KIND, such as "forward"; never NULL. */
const char *BsMessage_KindName(uint32_t kind);

/* Returns one line of text with the non-empty fields; g_free() it. */
char *BsMessage_Format(const BsMessage *message);

/* Encodes MESSAGE for the wire; the caller unrefs the result. */
GBytes *BsMessage_Encode(const BsMessage *message);

/* Decodes wire bytes; NULL with BS_ERR_MESSAGE set when they are invalid. */
BsMessage *BsMessage_Decode(const void *data, size_t size_bytes,
                            GError **error);

/* Frees the string at SLOT and replaces it by a copy of TEXT. */
void BsMessage_SetString(char **slot, const char *text);

/* Creates an empty entry of the instance list. */
BsListEntry *BsListEntry_Create(void);

/* ---------------------------------------------------------------------- */
/* Core                                                                    */
/* ---------------------------------------------------------------------- */

/* How an entry chooses among owners; all but the first are baselines for
   comparison. */
typedef enum {
    BS_POLICY_AFFINITY = 0, /* rendezvous hashing on the prompt prefix; spills
                               when overloaded */
    BS_POLICY_RANDOM,
    BS_POLICY_ROUND_ROBIN,
    BS_POLICY_LEAST_OUTSTANDING /* by the load last reported, which may be
                                   stale */
} BsPolicy;

/* Settings of a core.  Strings are copied. */
typedef struct {
    const char *name;
    const char *data_centre;
    const char *region;
    const char *secret;   /* shared by all instances; authenticates tickets */
    uint64_t incarnation; /* random per start, never 0 */
    uint64_t seed;
    int64_t lease_ms;         /* contact lease, default 2000 */
    int64_t list_lag_ms;      /* longest lag of a list, default 10000 */
    int64_t resend_window_ms; /* how long callers retry, default 600000 */
    int64_t digest_ms;        /* interval of digests, default 1000 */
    uint32_t record_limit;    /* at-most-once records, default 100000 */
    uint32_t request_limit;   /* requests held, default 20000 */
    uint64_t queue_bytes;     /* of bodies held, default 64 MiB */
    uint32_t policy;          /* BsPolicy */
    bool fresh_fleet;         /* no caller holds keys sent before this start */
} BsCoreConfig;

/* The scheduler of one instance, without input or output. */
typedef struct BsCore BsCore;

/* Receives each message of a core; MESSAGE is valid during the call. */
typedef void (*BsEmitFunc)(const BsMessage *message, void *context);

/* Fills CONFIG with the defaults. */
void BsCoreConfig_Init(BsCoreConfig *config);

/* Creates a core; NULL with ERROR set when CONFIG is invalid. */
BsCore *BsCore_Create(const BsCoreConfig *config, const BsClock *clock,
                      BsEmitFunc emit, void *context, GError **error);

/* Frees CORE; NULL is allowed. */
void BsCore_Destroy(BsCore *core);

/* Handles one message and emits the resulting messages. */
void BsCore_Step(BsCore *core, const BsMessage *message);

/* Returns the value of the counter NAME, 0 when it was never incremented. */
uint64_t BsCore_Counter(const BsCore *core, const char *name);

/* Returns the revision of the sheet in force, 0 before the first. */
uint64_t BsCore_SheetRevision(const BsCore *core);

/* Returns the revision of the list in force, 0 before the first. */
uint64_t BsCore_ListRevision(const BsCore *core);

#ifdef __cplusplus
}
#endif

#endif /* BORAGESPUR_H */
