/* ticket.c - tickets, which name the one incarnation that may run a request.
 *
 * Text form: INCARNATION-NONCE-EXPIRY-MAC-KEEPER, numbers in hexadecimal.
 */
#include "ticket.h"

#include <string.h>

#define PARTS 5
#define HEX_BASE 16

static char *
S_authenticate(const BsCore *core, const char *account,
               const BsTicketParts *parts)
{
    char *text = g_strdup_printf("%s\n%s\n%" G_GINT64_MODIFIER
                                 "x\n%s\n%" G_GINT64_MODIFIER "x",
                                 account, parts->keeper, parts->incarnation,
                                 parts->nonce, (guint64)parts->expires_ms);
    char *mac = g_compute_hmac_for_string(
        G_CHECKSUM_SHA256, (const guchar *)core->config.secret,
        strlen(core->config.secret), text, -1);
    g_free(text);
    return mac;
}

char *
BsTicket_Issue(BsCore *core, const char *account)
{
    if (core->config.secret[0] == '\0') {
        return NULL;
    }
    BsTicketParts parts = {
        .keeper = (char *)core->config.name,
        .nonce =
            g_strdup_printf("%" G_GINT64_MODIFIER "x", ++core->next_ticket),
        .incarnation = core->config.incarnation,
        .expires_ms = BsCore_NowMs(core) + core->config.resend_window_ms,
    };
    char *mac = S_authenticate(core, account, &parts);
    char *ticket = g_strdup_printf(
        "%" G_GINT64_MODIFIER "x-%s-%" G_GINT64_MODIFIER "x-%s-%s",
        parts.incarnation, parts.nonce, (guint64)parts.expires_ms, mac,
        parts.keeper);
    g_free(mac);
    g_free(parts.nonce);
    return ticket;
}

/* Compares two strings in a time that depends only on their lengths, so that
   the time does not reveal the MAC. */
static bool
S_is_equal(const char *left, const char *right)
{
    size_t length = strlen(left);
    if (length != strlen(right)) {
        return false;
    }
    unsigned char difference = 0;
    for (size_t i = 0; i < length; i++) {
        difference |= (unsigned char)(left[i] ^ right[i]);
    }
    return difference == 0;
}

bool
BsTicket_Read(const BsCore *core, const char *ticket, const char *account,
              BsTicketParts *parts)
{
    memset(parts, 0, sizeof(*parts));
    char **words = g_strsplit(ticket, "-", PARTS);
    if (core->config.secret[0] == '\0' || g_strv_length(words) != PARTS) {
        g_strfreev(words);
        return false;
    }
    parts->incarnation = g_ascii_strtoull(words[0], NULL, HEX_BASE);
    parts->nonce = g_strdup(words[1]);
    parts->expires_ms = (int64_t)g_ascii_strtoull(words[2], NULL, HEX_BASE);
    parts->keeper = g_strdup(words[4]);
    char *mac = S_authenticate(core, account, parts);
    bool valid = S_is_equal(mac, words[3]);
    g_free(mac);
    g_strfreev(words);
    return valid;
}

void
BsTicketParts_Clear(BsTicketParts *parts)
{
    g_clear_pointer(&parts->keeper, g_free);
    g_clear_pointer(&parts->nonce, g_free);
}

BsTicketVerdict
BsTicket_Judge(const BsCore *core, const char *ticket, const char *account)
{
    BsTicketParts parts;
    BsTicketVerdict verdict = BS_TICKET_INVALID;
    if (BsTicket_Read(core, ticket, account, &parts)) {
        bool ours = strcmp(parts.keeper, core->config.name) == 0 &&
                    parts.incarnation == core->config.incarnation;
        verdict = !ours                                   ? BS_TICKET_OTHER
                  : BsCore_NowMs(core) > parts.expires_ms ? BS_TICKET_EXPIRED
                                                          : BS_TICKET_OURS;
    }
    BsTicketParts_Clear(&parts);
    return verdict;
}
