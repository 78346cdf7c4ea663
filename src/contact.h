/*
 * contact.h - probes between instances, and which incarnations are valid.
 *
 * A reply to a probe grants the prober contact for the lease time, or denies
 * it.
 *
 * Rules: a grant is valid from the sending of the probe, on the prober's
 * clock.  An instance is denied when it is not on the replier's list, was not
 * live in a list newer than the one it last settled (see collect.h), was
 * replaced by another incarnation of the same name, or was passed to
 * BsContact_Deny().  A reply from an instance with a newer list than the
 * prober's grants nothing.  Of two incarnations of one name, the one that
 * started later is valid.
 */
#ifndef BS_CONTACT_H
#define BS_CONTACT_H

#include "core.h"
#include "view.h"

typedef struct BsContact BsContact;

/* Last known state of another instance. */
typedef struct {
    char *name;
    uint64_t incarnation;         /* the valid one, 0 when unknown */
    uint64_t settled_incarnation; /* last one that took part when we settled */
    int64_t started_ms;           /* estimated start, on our clock */
    int64_t settled_ms;         /* when it first settled a list, 0 for never */
    int64_t grant_ms;           /* when the last granted probe was sent */
    uint64_t grant_incarnation; /* incarnation that granted it, 0 for none */
    uint64_t absent_revision;   /* newest list where it is not live */
} BsContactPeer;

/* Called when a newer incarnation of NAME than INCARNATION was seen. */
typedef void (*BsReplacedFunc)(const char *name, uint64_t incarnation,
                               void *context);

/* Creates the contacts of CORE, which call REPLACED with CONTEXT. */
BsContact *BsContact_Create(BsCore *core, BsReplacedFunc replaced,
                            void *context);

/* Frees CONTACT; NULL is allowed. */
void BsContact_Destroy(BsContact *contact);

/* Returns the peer NAME, which is created when there is none. */
BsContactPeer *BsContact_Peer(BsContact *contact, const char *name);

/* Records the sender of MESSAGE, which started AGE_MS before it sent it.
   Returns whether it is the valid incarnation of its name; a replaced or
   denied one, or a message without a sender, gives false. */
bool BsContact_NoteSender(BsContact *contact, const BsMessage *message,
                          int64_t age_ms);

/* Marks INCARNATION as denied for ever. */
void BsContact_Deny(BsContact *contact, uint64_t incarnation);

/* Records which instances of OLDER are not live in NEWER. */
void BsContact_OnView(BsContact *contact, const BsView *older,
                      const BsView *newer);

/* Sends a probe to each instance in TARGETS (names as keys).  SETTLED_REVISION
   is the list that this instance last settled, 0 for none. */
void BsContact_Probe(BsContact *contact, GHashTable *targets,
                     uint64_t settled_revision);

/* Answers a probe. */
void BsContact_OnProbe(BsContact *contact, const BsMessage *message);

/* Handles the reply to a probe; returns whether it denied contact.  Replies of
   invalid incarnations and to old probes are ignored. */
bool BsContact_OnReply(BsContact *contact, const BsMessage *message);

/* Returns whether enough lessors of VIEW have granted contact within the lease
   time; this instance, if it is one, always grants.  With COUNTED, only grants
   of incarnations that took part in settling this instance's list count. */
bool BsContact_HasQuorum(BsContact *contact, const BsView *view, bool counted);

#endif /* BS_CONTACT_H */
