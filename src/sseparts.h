/*
 * sseparts.h - an event stream cut into whole events.
 *
 * Rules: only whole events leave, so that a stream which breaks off in the
 * middle of one can go on after the last whole one.
 */
#ifndef BS_SSEPARTS_H
#define BS_SSEPARTS_H

#include "boragespur.h"

typedef struct BsSseParts BsSseParts;

BsSseParts *BsSseParts_Create(void);

/* Frees PARTS; NULL is allowed. */
void BsSseParts_Destroy(BsSseParts *parts);

/* Takes in DATA and appends the whole events to OUT.  Returns how many. */
unsigned BsSseParts_Feed(BsSseParts *parts, const char *data,
                         size_t size_bytes, GString *out);

/* Appends what is left behind the last whole event. */
void BsSseParts_TakeRest(BsSseParts *parts, GString *out);

/* Drops an event of which only a part came. */
void BsSseParts_DropRest(BsSseParts *parts);

/* Returns the id of the last whole event, or -1. */
int64_t BsSseParts_LastId(const BsSseParts *parts);

/* Longest event that is waited for; what is longer is no event stream. */
#define BS_SSE_EVENT_MAX_BYTES (256 * 1024)

/* Returns how many bytes of an event that is not whole are held. */
size_t BsSseParts_RestBytes(const BsSseParts *parts);

#endif /* BS_SSEPARTS_H */
