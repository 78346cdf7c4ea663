/*
 * d_usage.h - token counts that engines report in their answers.
 */
#ifndef BS_D_USAGE_H
#define BS_D_USAGE_H

#include <glib.h>
#include <stdint.h>

/* Looks for a usage object in DATA, a JSON document or whole events, and sets
   the counts it holds; others stay as they are. */
void BsUsage_Scan(GBytes *data, uint32_t *cached_tokens,
                  uint32_t *completion_tokens);

#endif /* BS_D_USAGE_H */
