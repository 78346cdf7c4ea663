/*
 * d_report.h - an engine's load report as JSON.
 */
#ifndef BS_D_REPORT_H
#define BS_D_REPORT_H

#include "boragespur.h"

/* Fills REPORT from an engine's answer; returns whether it was a report. */
bool BsReport_Parse(const void *data, size_t size_bytes, BsReport *report);

#endif /* BS_D_REPORT_H */
