/*
 * ticket.h - tickets, which name the one incarnation that may run a request.
 *
 * Rules: a ticket is authenticated with the secret that all instances share
 * and is bound to one account; the incarnation that it names checks its age by
 * its own clock, so no other clock and no instance list is needed.
 */
#ifndef BS_TICKET_H
#define BS_TICKET_H

#include "core.h"

typedef enum {
    BS_TICKET_INVALID = 0, /* not authentic, or of another account */
    BS_TICKET_OTHER,       /* names another incarnation */
    BS_TICKET_EXPIRED,     /* ours, but too old for a first attempt */
    BS_TICKET_OURS
} BsTicketVerdict;

typedef struct {
    char *keeper;
    char *nonce;
    uint64_t incarnation;
    int64_t expires_ms; /* on the clock of KEEPER */
} BsTicketParts;

/* Returns a new ticket of this instance for ACCOUNT; NULL when no secret is
   set.  g_free() it. */
char *BsTicket_Issue(BsCore *core, const char *account);

/* Parses and authenticates TICKET; returns whether it is valid for ACCOUNT.
   Clear PARTS in either case. */
bool BsTicket_Read(const BsCore *core, const char *ticket, const char *account,
                   BsTicketParts *parts);

/* Frees what PARTS holds. */
void BsTicketParts_Clear(BsTicketParts *parts);

/* Returns whether this instance may run a request that carries TICKET. */
BsTicketVerdict BsTicket_Judge(const BsCore *core, const char *ticket,
                               const char *account);

#endif /* BS_TICKET_H */
