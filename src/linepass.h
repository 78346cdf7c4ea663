/*
 * linepass.h - what one look through the line of waiting requests learned.
 *
 * In an overload the line is long and hardly any place is free.  Once a
 * request found none, others that could only use the same places need not
 * look.
 *
 * Rules: a request is passed over only when another one, that may use every
 * upstream it may use, and leaves no more places to others, found none in the
 * same look.
 */
#ifndef BS_LINEPASS_H
#define BS_LINEPASS_H

#include "catalog.h"

/* Kinds of requests remembered in a look; more are looked at each time. */
#define BS_LINEPASS_KINDS 16

/* What decides which places a request may use. */
typedef struct {
    const BsCatalogRoute *route;
    const BsCatalogService *service;
    const BsCatalogAccount *account; /* may be NULL */
    uint32_t places_left;            /* it leaves to others */
    bool excludes;                   /* some upstreams are not for it */
} BsLinePassKind;

typedef struct {
    BsLinePassKind failed[BS_LINEPASS_KINDS];
    unsigned count;
} BsLinePass;

/* Begins a look. */
void BsLinePass_Begin(BsLinePass *pass);

/* Returns whether a request of KIND may find a place. */
bool BsLinePass_MayFind(const BsLinePass *pass, const BsLinePassKind *kind);

/* Notes that a request of KIND found none. */
void BsLinePass_NoteNone(BsLinePass *pass, const BsLinePassKind *kind);

#endif /* BS_LINEPASS_H */
