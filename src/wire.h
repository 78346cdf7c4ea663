/*
 * wire.h - metadata of requests and answers, independent of the platform.
 *
 * The gateway works with the types below.  A platform's adapter, which the
 * gateway calls through BsWire, defines the HTTP headers that carry them.
 */
#ifndef BS_WIRE_H
#define BS_WIRE_H

#include "http1.h"

/* A segment of a prompt that several requests may have in common. */
typedef struct {
    uint64_t hash;
    uint32_t tokens;
} BsPromptPart;

/* Metadata from the headers of a caller's request.  Strings are owned by the
   head that was read; NULL when absent. */
typedef struct {
    const char *id;
    const char *key;
    const char *model;
    GArray *parts;       /* BsPromptPart, in the order of the prompt */
    int64_t deadline_ms; /* time that the caller waits; -1 when not given */
    int64_t last_event;  /* resume after this event; -1 from the start */
    const char *resumes; /* id of the request that brought the first event of
                            the stream to be resumed */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* most tokens that may be generated */
    bool has_tokens;        /* the request states its token counts */
} BsRequestInfo;

/* Metadata sent to an upstream in addition to the caller's own headers. */
typedef struct {
    const char *upstream; /* the only one that may run the request */
    const char *account;  /* NULL when the route needs none */
    int64_t deadline_ms;  /* time left */
    int64_t last_event;   /* resume after this event; -1 as the caller asked */
    size_t body_bytes;
} BsSendInfo;

/* Metadata from the headers of an upstream's answer. */
typedef struct {
    const char *request_id; /* NULL when absent */
    int64_t cold_ms; /* time that the upstream stays cold; -1 when not given */
    bool is_signed;  /* signed, as proof that the upstream ran the request */
    bool refused;    /* the request has not run there and will not */
    bool misdirected; /* the address now belongs to another upstream */
    bool leaving;     /* the upstream stops soon and accepts nothing new */
    int64_t requested_pause_ms; /* requested pause: time during which this
                         instance shall send it nothing; -1 when not given */
    double limit_per_s;     /* requests a second that the upstream takes from
                               all instances together; 0 when not given */
    const char *limit_text; /* the limit as it was sent; NULL when not given.
                               When LIMIT_PER_S is 0 it is not valid */
} BsAnswerInfo;

/* Reads and writes heads for a platform; no member is NULL. */
typedef struct {
    /* Fills INFO, whose PARTS must be an empty array. */
    void (*read_request)(const BsHttpHead *head, BsRequestInfo *info);
    /* Appends the head to send for HEAD, including the final empty line. */
    void (*write_request)(const BsHttpHead *head, const BsSendInfo *info,
                          GString *out);
    void (*read_answer)(const BsHttpHead *head, BsAnswerInfo *info);
    /* Appends the header lines of HEAD that are forwarded to the caller. */
    void (*copy_answer)(const BsHttpHead *head, GString *out);
    /* Appends the header line with the request's id to an answer of the
       gateway's own. */
    void (*write_request_id)(const char *id, GString *out);
} BsWire;

#endif /* BS_WIRE_H */
