/* digest.c - periodic summaries exchanged between instances. */
#include "digest.h"

struct BsDigests {
    BsCore *core;
};

BsDigests *
BsDigests_Create(BsCore *core)
{
    BsDigests *digests = g_new0(BsDigests, 1);
    digests->core = core;
    return digests;
}

void
BsDigests_Destroy(BsDigests *digests)
{
    g_free(digests);
}

void
BsDigests_OnMessage(BsDigests *digests, const BsMessage *message)
{
    (void)message;
    BsCore_Count(digests->core, "digests", 1);
}

const BsLoad *
BsDigests_FindLoad(const BsDigests *digests, const char *instance,
                   const char *serves, int64_t *age_ms)
{
    (void)digests;
    (void)instance;
    (void)serves;
    (void)age_ms;
    return NULL;
}

void
BsDigests_OnTick(BsDigests *digests)
{
    (void)digests;
}
