/*
 * d_request.h - translation of a caller's HTTP request to a message.
 *
 * Rules: a request is translated whole or refused with a detail that says
 * what to change; nothing here looks at the sheet.
 */
#ifndef BS_D_REQUEST_H
#define BS_D_REQUEST_H

#include "boragespur.h"

/* Returns the value of the header NAME, or NULL. */
typedef const char *(*BsHeaderFunc)(void *context, const char *name);

/* An HTTP request whose body has arrived. */
typedef struct {
    const char *method;
    const char *target; /* path and query as sent */
    BsHeaderFunc header;
    void *context;
    const void *body;
    size_t body_bytes;
} BsHttpRequest;

/* What a request asks for. */
typedef enum {
    BS_ROUTE_NONE = 0,
    BS_ROUTE_MODEL,   /* completion by a model engine */
    BS_ROUTE_SERVICE, /* call of a plain service */
    BS_ROUTE_MODELS,  /* list of models */
    BS_ROUTE_REQUEST, /* state of an earlier request */
    BS_ROUTE_TICKET,  /* new ticket */
    BS_ROUTE_METHOD   /* known path, wrong method */
} BsRouteKind;

/* Returns what METHOD and TARGET ask for. */
BsRouteKind BsHttpRequest_Route(const char *method, const char *target);

/* Translates a model or service call; NULL with ERROR set to a request error
   kind when it is malformed.  The request id is left empty. */
BsMessage *BsHttpRequest_Translate(const BsHttpRequest *http,
                                   BsRouteKind route, GError **error);

/* Translates any other route to a query; the query id is left empty. */
BsMessage *BsHttpRequest_Query(const BsHttpRequest *http, BsRouteKind route);

#endif /* BS_D_REQUEST_H */
