/* token.c - bearer tokens of accounts. */
#include "token.h"

#include <string.h>

/* Length of the truncated MAC in hexadecimal digits (128 bits). */
#define MAC_HEX_BYTES 32

/* Prefix of the signed text, which keeps token MACs distinct from other uses
   of the secret. */
#define MAC_CONTEXT "account-token\n"

static char *
S_create_mac(const char *secret, const char *account)
{
    char *text = g_strconcat(MAC_CONTEXT, account, NULL);
    char *mac = g_compute_hmac_for_string(
        G_CHECKSUM_SHA256, (const guchar *)secret, strlen(secret), text, -1);
    mac[MAC_HEX_BYTES] = '\0';
    g_free(text);
    return mac;
}

static bool
S_is_account_name(const char *account)
{
    const char *colon = strchr(account, ':');
    if (colon == NULL || colon == account || colon[1] == '\0' ||
        strlen(account) > BS_NAME_MAX_BYTES) {
        return false;
    }
    for (const char *c = account; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("-_:", *c) == NULL) {
            return false;
        }
    }
    return strchr(colon + 1, ':') == NULL;
}

char *
BsToken_Sign(const char *secret, const char *account, GError **error)
{
    if (!S_is_account_name(account)) {
        g_set_error(error, BS_ERROR, BS_ERR_BAD_REQUEST,
                    "'%s' is not an account name; use CLASS:NAME of letters, "
                    "digits, '-' and '_', %d bytes at most",
                    account, BS_NAME_MAX_BYTES);
        return NULL;
    }
    char *mac = S_create_mac(secret, account);
    char *token = g_strconcat(account, ".", mac, NULL);
    g_free(mac);
    return token;
}

/* Compares without stopping at the first difference, so that the time does not
   reveal the MAC. */
static bool
S_equals(const char *a, const char *b)
{
    size_t size = strlen(a);
    unsigned char difference = 0;
    if (strlen(b) != size) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        difference |= (unsigned char)(a[i] ^ b[i]);
    }
    return difference == 0;
}

static char *
S_resolve_signed(const BsSheet *sheet, const char *secret, const char *token)
{
    const char *dot = strrchr(token, '.');
    if (secret == NULL || *secret == '\0' || dot == NULL) {
        return NULL;
    }
    char *account = g_strndup(token, (gsize)(dot - token));
    char *mac = S_create_mac(secret, account);
    bool valid = S_is_account_name(account) && S_equals(mac, dot + 1) &&
                 BsSheet_FindAccount(sheet, account) != NULL &&
                 !BsSheet_IsRevoked(sheet, account);
    g_free(mac);
    if (!valid) {
        g_clear_pointer(&account, g_free);
    }
    return account;
}

char *
BsToken_Resolve(const BsSheet *sheet, const char *secret, const char *token)
{
    if (token == NULL) {
        return NULL;
    }
    if (strchr(token, ':') != NULL) {
        return S_resolve_signed(sheet, secret, token);
    }
    char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
    const BsAccount *account = BsSheet_FindTokenHash(sheet, hash);
    g_free(hash);
    return account == NULL ? NULL : g_strdup(account->name);
}
