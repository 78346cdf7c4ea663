/*
 * gw_limitlog.h - log lines about limits that upstreams name.
 */
#ifndef BS_GW_LIMITLOG_H
#define BS_GW_LIMITLOG_H

#include "gw_gate.h"

/* Logs that the limit of TARGET has changed from BEFORE, and counts it.
   SOURCE tells from where that is known: "answer" or "others". */
void BsLimitLog_Changed(BsGate *gate, const BsTarget *target,
                        const BsTargetLimit *before, const char *source);

/* Logs LIMIT in the line that has begun, unless there is none. */
void BsLimitLog_Add(const BsGate *gate, const BsTargetLimit *limit);

#endif /* BS_GW_LIMITLOG_H */
