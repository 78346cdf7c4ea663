/*
 * d_reply.h - error bodies and common headers of responses to callers.
 */
#ifndef BS_D_REPLY_H
#define BS_D_REPLY_H

#include "boragespur.h"

#include <microhttpd.h>

/* Returns the name of OUTCOME in headers and bodies sent to callers. */
const char *BsReply_OutcomeName(uint32_t outcome);

/* Returns the JSON text of an error, to be freed with g_free(); DETAIL and
   REQUEST_ID may be NULL. */
char *BsReply_FormatError(BsErrorKind error, const char *detail,
                          uint32_t outcome, const char *request_id);

/* Adds the header NAME with the value NUMBER. */
void BsReply_AddNumber(struct MHD_Response *response, const char *name,
                       uint32_t number);

/* Adds the Boragespur-Outcome header unless OUTCOME is BS_OUTCOME_NONE. */
void BsReply_AddOutcome(struct MHD_Response *response, uint32_t outcome);

/* Adds the header NAME unless VALUE is NULL, empty or contains a control
   character. */
void BsReply_AddHeader(struct MHD_Response *response, const char *name,
                       const char *value);

#endif /* BS_D_REPLY_H */
