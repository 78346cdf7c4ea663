/* oncekey.c - idempotency key and body hash of a non-idempotent request. */
#include "once.h"

#include "ticket.h"

#include <string.h>

/* Prefix of the keys under which requests with a ticket are recorded. */
#define TICKET_KEY "ticket "

/* Returns the hex SHA-256 over service, method, path and body of REQUEST. */
static char *
S_hash(const BsRequest *request)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    const char *parts[] = {request->service, request->method, request->path};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        const char *part = parts[i] == NULL ? "" : parts[i];
        g_checksum_update(checksum, (const guchar *)part,
                          (gssize)strlen(part) + 1);
    }
    if (request->body != NULL) {
        gsize size;
        const void *data = g_bytes_get_data(request->body, &size);
        g_checksum_update(checksum, data, (gssize)size);
    }
    char *hash = g_strdup(g_checksum_get_string(checksum));
    g_checksum_free(checksum);
    return hash;
}

BsErrorKind
BsOnce_Prepare(const BsCore *core, BsRequest *request)
{
    g_free(request->body_hash);
    request->body_hash = S_hash(request);
    if (request->ticket == NULL) {
        if (request->key == NULL) {
            request->key = g_strdup(request->request_id);
        }
        return BS_ERR_NONE;
    }
    BsTicketParts parts;
    bool valid =
        BsTicket_Read(core, request->ticket, request->account, &parts);
    if (valid) {
        g_free(request->key);
        request->key =
            g_strdup_printf(TICKET_KEY "%s-%" G_GINT64_MODIFIER "x-%s",
                            parts.keeper, parts.incarnation, parts.nonce);
    }
    BsTicketParts_Clear(&parts);
    return valid ? BS_ERR_NONE : BS_ERR_TICKET;
}
