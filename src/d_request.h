/*
 * d_request.h - translation of a caller's HTTP request to a message.
 *
 * Rules: a request is either translated completely or refused with a detail
 * that says what to change; nothing here depends on the sheet.
 */
#ifndef BS_D_REQUEST_H
#define BS_D_REQUEST_H

#include "boragespur.h"

/* Returns the value of the header NAME, or NULL. */
typedef const char *(*BsHeaderFunc)(void *context, const char *name);

/* An HTTP request whose body has been received. */
typedef struct {
    const char *method;
    const char *target; /* path and query as sent */
    BsHeaderFunc header;
    void *context;
    const void *body;
    size_t body_bytes;
} BsHttpRequest;

/* What a method and path ask for. */
typedef enum {
    BS_ROUTE_NONE = 0, /* unknown path */
    BS_ROUTE_MODEL,    /* completion by a model engine */
    BS_ROUTE_SERVICE,  /* request to a service */
    BS_ROUTE_MODELS,   /* list of models */
    BS_ROUTE_REQUEST,  /* state of an earlier request */
    BS_ROUTE_TICKET,   /* new ticket */
    BS_ROUTE_METHOD    /* known path, wrong method */
} BsRouteKind;

/* Returns the route of a request with METHOD and TARGET. */
BsRouteKind BsHttpRequest_Route(const char *method, const char *target);

/* Translates a model or service request to BS_CALLER_REQUEST; returns NULL
   with ERROR set to BS_ERR_BAD_REQUEST when it is invalid.  The request id is
   left empty. */
BsMessage *BsHttpRequest_Translate(const BsHttpRequest *http,
                                   BsRouteKind route, GError **error);

/* Translates a request of the models, request or ticket route to BS_QUERY; the
   query id is left empty. */
BsMessage *BsHttpRequest_Query(const BsHttpRequest *http, BsRouteKind route);

#endif /* BS_D_REQUEST_H */
