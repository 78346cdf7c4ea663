/*
 * token.h - bearer tokens of accounts.
 *
 * The sheet either lists the SHA-256 of a token, or the token is signed: it
 * has the form "CLASS:NAME.MAC", where MAC is a keyed hash of "CLASS:NAME"
 * under the secret that all instances share.  Accounts with signed tokens need
 * no entry in the sheet.
 */
#ifndef BS_TOKEN_H
#define BS_TOKEN_H

#include "sheet.h"

/* Returns the signed token of ACCOUNT ("CLASS:NAME"); g_free() it.  Returns
   NULL and sets ERROR when ACCOUNT does not have that form. */
char *BsToken_Sign(const char *secret, const char *account, GError **error);

/* Returns the name of the account that TOKEN belongs to, or NULL; g_free()
   it. */
char *BsToken_Resolve(const BsSheet *sheet, const char *secret,
                      const char *token);

#endif /* BS_TOKEN_H */
