/*
 * wire.h - what a request and an answer say, and who spells it out.
 *
 * The gateway works with the types below.  How their fields are named and
 * written in HTTP heads is the business of a platform's adapter, which the
 * gateway reaches through BsWire.
 */
#ifndef BS_WIRE_H
#define BS_WIRE_H

#include "http1.h"

/* A part of a prompt that requests may share. */
typedef struct {
    uint64_t hash;
    uint32_t tokens;
} BsPromptPart;

/* What a caller's request says of itself.  Strings belong to the head that it
   was read from; NULL when absent. */
typedef struct {
    const char *id;
    const char *key;
    const char *model;
    GArray *parts;       /* BsPromptPart, in the order of the prompt */
    int64_t deadline_ms; /* what the caller will wait; -1: not told */
    int64_t last_event;  /* resume behind this event; -1: from the start */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* most that may be generated */
    bool has_tokens;
} BsRequestInfo;

/* What is said to an upstream beside the caller's own headers. */
typedef struct {
    const char *upstream; /* the only one that may run the request */
    const char *account;  /* NULL when the route needs none */
    int64_t deadline_ms;  /* what is left */
    int64_t last_event;   /* -1: as the caller said */
    size_t body_bytes;
} BsSendInfo;

/* What an upstream's answer says of itself. */
typedef struct {
    const char *request_id; /* NULL when absent */
    int64_t cold_ms;        /* how long it stays cold; -1: not told */
    bool is_signed;         /* made by running the request */
    bool refused;           /* the request has not run there and will not */
    bool misdirected;       /* another upstream has the address */
    bool leaving;           /* it stops soon and wants nothing new */
    int64_t quiet_ms; /* it wants nothing from this instance for so long; -1:
                         not told */
} BsAnswerInfo;

/* Spelling of heads; every member is set. */
typedef struct {
    /* Fills INFO, whose PARTS is an empty array. */
    void (*read_request)(const BsHttpHead *head, BsRequestInfo *info);
    /* Appends the head to send for HEAD, empty line included. */
    void (*write_request)(const BsHttpHead *head, const BsSendInfo *info,
                          GString *out);
    void (*read_answer)(const BsHttpHead *head, BsAnswerInfo *info);
    /* Appends the header lines of HEAD that go on to the caller. */
    void (*copy_answer)(const BsHttpHead *head, GString *out);
    /* Appends the header line that names the request in our own answer. */
    void (*write_request_id)(const char *id, GString *out);
} BsWire;

#endif /* BS_WIRE_H */
