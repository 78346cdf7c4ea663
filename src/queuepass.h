/*
 * queuepass.h - requests that one pass over the queue can skip.
 *
 * In an overload the queue is long and few slots are free.  Once a request
 * found no free slot, requests that could only use the same slots need not
 * search for one in the same pass.
 *
 * Rules: a request is skipped only when another one found no free slot in the
 * same pass, although it may use every upstream that the skipped one may use
 * and leaves no more slots to others.
 */
#ifndef BS_QUEUEPASS_H
#define BS_QUEUEPASS_H

#include "catalog.h"

/* Kinds of requests remembered in a pass; requests of further kinds are always
   tried. */
#define BS_QUEUE_PASS_KINDS_MAX 16

/* What decides which slots a request may use. */
typedef struct {
    const BsCatalogRoute *route;
    const BsCatalogService *service;
    const BsCatalogAccount *account; /* may be NULL */
    uint32_t reserved_slots;         /* free slots that it leaves to others */
    bool excludes;                   /* it may not use some upstreams */
} BsQueuePassKind;

/* One pass over the queue. */
typedef struct {
    BsQueuePassKind failed[BS_QUEUE_PASS_KINDS_MAX];
    unsigned count;
} BsQueuePass;

/* Starts a pass. */
void BsQueuePass_Begin(BsQueuePass *pass);

/* Returns whether a request of KIND may find a free slot. */
bool BsQueuePass_MayFindSlot(const BsQueuePass *pass,
                             const BsQueuePassKind *kind);

/* Records that a request of KIND found no free slot. */
void BsQueuePass_NoteNoSlot(BsQueuePass *pass, const BsQueuePassKind *kind);

#endif /* BS_QUEUEPASS_H */
