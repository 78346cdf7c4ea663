/*
 * d_report.h - parser for the load report of an engine, in JSON.
 */
#ifndef BS_D_REPORT_H
#define BS_D_REPORT_H

#include "boragespur.h"

/* Fills REPORT from the body of an engine's answer; returns false when that is
   not a JSON object.  Missing numbers become 0.  The caller owns REPORT's
   strings. */
bool BsReport_Parse(const void *data, size_t size_bytes, BsReport *report);

#endif /* BS_D_REPORT_H */
