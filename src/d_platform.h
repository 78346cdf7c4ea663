/*
 * d_platform.h - reads and watches of the platform's configuration service.
 *
 * Rules: a key is watched by one long poll at a time, at a bounded rate, and
 * only while the core wants it; a failure moves on to the next address.
 */
#ifndef BS_D_PLATFORM_H
#define BS_D_PLATFORM_H

#include "d_loop.h"

typedef struct BsPlatform BsPlatform;

/* Starts to watch both keys. */
BsPlatform *BsPlatform_Create(BsLoop *loop);

/* Ends every read; NULL is allowed. */
void BsPlatform_Destroy(BsPlatform *platform);

#endif /* BS_D_PLATFORM_H */
