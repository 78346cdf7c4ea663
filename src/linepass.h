/*
 * linepass.h - requests that one pass over the queue need not try to place.
 *
 * In an overload the queue is long and few slots are free.  Once a request
 * found no free slot, requests that could only use the same slots need not
 * search for one in the same pass.
 *
 * Rules: a request is skipped only when another one found no free slot in the
 * same pass, although it may use every upstream that the skipped one may use
 * and leaves no more slots to others.
 */
#ifndef BS_LINEPASS_H
#define BS_LINEPASS_H

#include "catalog.h"

/* Kinds of requests remembered in a pass; requests of further kinds are always
   tried. */
#define BS_LINEPASS_KINDS 16

/* What decides which slots a request may use. */
typedef struct {
    const BsCatalogRoute *route;
    const BsCatalogService *service;
    const BsCatalogAccount *account; /* may be NULL */
    uint32_t places_left;            /* free slots that it leaves to others */
    bool excludes;                   /* it may not use some upstreams */
} BsLinePassKind;

/* One pass over the queue. */
typedef struct {
    BsLinePassKind failed[BS_LINEPASS_KINDS];
    unsigned count;
} BsLinePass;

/* Starts a pass. */
void BsLinePass_Begin(BsLinePass *pass);

/* Returns whether a request of KIND may find a free slot. */
bool BsLinePass_MayFind(const BsLinePass *pass, const BsLinePassKind *kind);

/* Records that a request of KIND found no free slot. */
void BsLinePass_NoteNone(BsLinePass *pass, const BsLinePassKind *kind);

#endif /* BS_LINEPASS_H */
