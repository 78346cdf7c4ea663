/* retry.c - retry budget and backoff of failed requests. */
#include "retry.h"

/* Most retries that can be saved; also the budget at the start. */
#define SAVED_MAX 20.0

/* Upper bound of the first wait, doubled for each further wait. */
#define FIRST_WAIT_MAX_MS 50
#define WAIT_DOUBLINGS_MAX 5

#define PERCENT 100.0

struct BsRetries {
    BsCore *core;
    double saved; /* retries allowed now */
};

BsRetries *
BsRetries_Create(BsCore *core)
{
    BsRetries *retries = g_new0(BsRetries, 1);
    retries->core = core;
    retries->saved = SAVED_MAX;
    return retries;
}

void
BsRetries_Destroy(BsRetries *retries)
{
    g_free(retries);
}

void
BsRetries_OnRequest(BsRetries *retries)
{
    const BsSheet *sheet = BsCore_Sheet(retries->core);
    if (sheet != NULL) {
        retries->saved += BsSheet_Data(sheet)->retry_percent / PERCENT;
        retries->saved = MIN(retries->saved, SAVED_MAX);
    }
}

bool
BsRetries_Take(BsRetries *retries, const char *tier)
{
    const BsSheet *sheet = BsCore_Sheet(retries->core);
    bool urgent =
        sheet != NULL && tier != NULL && BsSheet_IsYieldedTo(sheet, tier);
    double reserved = urgent ? 0.0 : SAVED_MAX / 2;
    if (retries->saved < reserved + 1.0) {
        BsCore_Count(retries->core, "retries_denied", 1);
        return false;
    }
    retries->saved -= 1.0;
    BsCore_Count(retries->core, "retries", 1);
    return true;
}

int64_t
BsRetries_WaitMs(const BsRetries *retries, uint32_t attempt)
{
    uint32_t doublings = MIN(attempt, WAIT_DOUBLINGS_MAX);
    return g_rand_int_range(retries->core->random, 0,
                            (FIRST_WAIT_MAX_MS << doublings) + 1);
}
