/*
 * streamshare.h - the periodic part of the exchange of stream records: what
 * streamversions.h has to send goes out through fleetagent.h, and what the
 * agent knows of the fleet becomes known to streamversions.h.
 */
#ifndef BS_STREAMSHARE_H
#define BS_STREAMSHARE_H

#include "fleetagent.h"

/* Runs the exchange; call it after each BsFleetAgent_Tick().  LIST_CURRENT
   tells whether the list of upstreams is known to be current.  QUESTIONS
   (BsStreamQuestion) are sent and removed. */
void BsStreamShare_Tick(BsFleetAgent *agent, BsStreamVersions *versions,
                        bool list_current, GArray *questions, int64_t now_ms);

#endif /* BS_STREAMSHARE_H */
