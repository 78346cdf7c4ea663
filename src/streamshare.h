/*
 * streamshare.h - the periodic part of the exchange of stream records: what
 * streamversions.h has to send goes out through fleetagent.h, and what the
 * agent knows of the fleet becomes known to streamversions.h.
 */
#ifndef BS_STREAMSHARE_H
#define BS_STREAMSHARE_H

#include "fleetagent.h"

/* Runs the exchange; call it after each BsFleetAgent_Tick().  The list of
   upstreams is known to be that of CURRENT_MS or later.  QUESTIONS
   (BsStreamQuestion) are sent and removed. */
void BsStreamShare_Tick(BsFleetAgent *agent, BsStreamVersions *versions,
                        int64_t current_ms, GArray *questions, int64_t now_ms);

#endif /* BS_STREAMSHARE_H */
