/* poison.c - requests that crash the upstreams running them. */
#include "poison.h"

struct BsPoison {
    BsCore *core;
};

BsPoison *
BsPoison_Create(BsCore *core)
{
    BsPoison *poison = g_new0(BsPoison, 1);
    poison->core = core;
    return poison;
}

void
BsPoison_Destroy(BsPoison *poison)
{
    g_free(poison);
}

BsPoisonVerdict
BsPoison_Judge(BsPoison *poison, const BsRequest *request)
{
    (void)poison;
    (void)request;
    return BS_POISON_CLEAN;
}

void
BsPoison_OnCrash(BsPoison *poison, const BsRequest *request)
{
    (void)request;
    BsCore_Count(poison->core, "upstream_crashes", 1);
}

void
BsPoison_OnFinish(BsPoison *poison, const BsRequest *request)
{
    (void)poison;
    (void)request;
}

void
BsPoison_OnMessage(BsPoison *poison, const BsMessage *message)
{
    (void)poison;
    (void)message;
}

void
BsPoison_OnTick(BsPoison *poison)
{
    (void)poison;
}
