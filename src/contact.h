/*
 * contact.h - probes between instances, and who answers to a name.
 *
 * Rules: a grant counts from the sending of the probe, on the prober's clock;
 * an instance that is not in the replier's list, was absent from one since
 * the list it settled, or was replaced under its name, is denied.  Of two
 * incarnations under one name the one that started later counts.
 */
#ifndef BS_CONTACT_H
#define BS_CONTACT_H

#include "core.h"
#include "view.h"

typedef struct BsContact BsContact;

/* What is known of another instance. */
typedef struct {
    char *name;
    uint64_t incarnation;         /* newest, 0 when unknown */
    uint64_t counted_incarnation; /* whose grants count for tenure */
    int64_t started_ms;           /* estimate, on this clock */
    int64_t settled_ms;           /* when it first settled, 0 for never */
    int64_t grant_ms;             /* sending of the last granted probe */
    uint64_t grant_incarnation;
    uint64_t absent_revision; /* newest list without it as live */
} BsContactPeer;

/* Called when INCARNATION of NAME turns out to be replaced. */
typedef void (*BsReplacedFunc)(const char *name, uint64_t incarnation,
                               void *context);

/* Creates the contacts of CORE. */
BsContact *BsContact_Create(BsCore *core, BsReplacedFunc replaced,
                            void *context);

/* Frees CONTACT; NULL is allowed. */
void BsContact_Destroy(BsContact *contact);

/* Returns the peer NAME, created when new. */
BsContactPeer *BsContact_Peer(BsContact *contact, const char *name);

/* Notes the sender of a message that carries its age; false when that
   incarnation was replaced. */
bool BsContact_See(BsContact *contact, const BsMessage *message,
                   int64_t age_ms);

/* Denies an incarnation from now on. */
void BsContact_Deny(BsContact *contact, uint64_t incarnation);

/* Notes which instances of OLDER are not live in NEWER. */
void BsContact_OnView(BsContact *contact, const BsView *older,
                      const BsView *newer);

/* Sends a probe to each instance named in TARGETS. */
void BsContact_Probe(BsContact *contact, GHashTable *targets,
                     uint64_t settled_revision);

/* Answers a probe. */
void BsContact_OnProbe(BsContact *contact, const BsMessage *message);

/* Takes in the reply to a probe; returns whether it denied contact. */
bool BsContact_OnReply(BsContact *contact, const BsMessage *message);

/* Returns whether enough lessors of VIEW granted contact within the lease;
   with COUNTED only incarnations known to have settled with this one. */
bool BsContact_HasQuorum(BsContact *contact, const BsView *view, bool counted);

#endif /* BS_CONTACT_H */
