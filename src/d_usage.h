/*
 * d_usage.h - reads the token counts that engines report in their answers.
 */
#ifndef BS_D_USAGE_H
#define BS_D_USAGE_H

#include <glib.h>
#include <stdint.h>

/* Searches DATA, a JSON document or whole events, for its first usage object
   and sets the counts that it contains; the others are left unchanged. */
void BsUsage_Scan(GBytes *data, uint32_t *cached_tokens,
                  uint32_t *completion_tokens);

#endif /* BS_D_USAGE_H */
