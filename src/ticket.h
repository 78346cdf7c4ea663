/*
 * ticket.h - tickets, which name the one incarnation that may run a request.
 *
 * Rules: a ticket is authenticated by the secret that all instances share and
 * bound to one account; the incarnation it names judges its age by its own
 * clock, so no other clock and no list takes part.
 */
#ifndef BS_TICKET_H
#define BS_TICKET_H

#include "core.h"

typedef enum {
    BS_TICKET_INVALID = 0, /* not issued to this account */
    BS_TICKET_OTHER,       /* of another incarnation */
    BS_TICKET_EXPIRED,     /* ours, but too old for a first sending */
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

/* Reads and authenticates TICKET; returns whether it is valid for ACCOUNT. */
bool BsTicket_Read(const BsCore *core, const char *ticket, const char *account,
                   BsTicketParts *parts);

/* Frees what PARTS holds. */
void BsTicketParts_Clear(BsTicketParts *parts);

/* Returns whether this instance may run a request that carries TICKET. */
BsTicketVerdict BsTicket_Judge(const BsCore *core, const char *ticket,
                               const char *account);

#endif /* BS_TICKET_H */
