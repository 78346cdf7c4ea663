/*
 * token.h - bearer tokens of accounts.
 *
 * A token is either listed in the sheet by its SHA-256, or signed: the text
 * "CLASS:NAME.MAC", where MAC is the keyed hash of "CLASS:NAME" under the
 * fleet's secret.  Signed tokens need no entry per account in the sheet.
 */
#ifndef BS_TOKEN_H
#define BS_TOKEN_H

#include "sheet.h"

/* Returns the signed token of ACCOUNT ("CLASS:NAME"); g_free() it.  NULL
   with ERROR set when ACCOUNT is not of that form. */
char *BsToken_Sign(const char *secret, const char *account, GError **error);

/* Returns the name of the account that TOKEN belongs to, or NULL; g_free()
   it. */
char *BsToken_Resolve(const BsSheet *sheet, const char *secret,
                      const char *token);

#endif /* BS_TOKEN_H */
