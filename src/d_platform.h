/*
 * d_platform.h - watches the sheet and the instance list in the platform's
 * configuration service.
 *
 * Rules: each key is watched by one long poll at a time, with a minimum delay
 * between polls, and only while the core asks for it.  After a failed read,
 * the next address of the service is tried.
 */
#ifndef BS_D_PLATFORM_H
#define BS_D_PLATFORM_H

#include "d_loop.h"

typedef struct BsPlatform BsPlatform;

/* Starts to watch both keys; new values are posted to LOOP. */
BsPlatform *BsPlatform_Create(BsLoop *loop);

/* Cancels running reads; NULL is allowed. */
void BsPlatform_Destroy(BsPlatform *platform);

#endif /* BS_D_PLATFORM_H */
