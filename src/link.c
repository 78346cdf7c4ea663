/* link.c - this instance's share of the bandwidth between regions. */
#include "link.h"

#include "choice.h"

/* Capacity of the bucket, as the time in which it fills. */
#define BURST_S 2

/* Estimated size of one output token in an event stream. */
#define BYTES_PER_TOKEN 256

#define MS_PER_S 1000.0

struct BsLink {
    BsCore *core;
    double bytes; /* level of the bucket; may be below 0 */
    int64_t filled_ms;
};

BsLink *
BsLink_Create(BsCore *core)
{
    BsLink *link = g_new0(BsLink, 1);
    link->core = core;
    return link;
}

void
BsLink_Destroy(BsLink *link)
{
    g_free(link);
}

static double
S_bytes_per_s(const BsLink *link)
{
    const BsSheet *sheet = BsCore_Sheet(link->core);
    uint32_t instances = BsChoice_CountInstances(link->core);
    return sheet == NULL ? 0.0
                         : (double)BsSheet_Data(sheet)->link_bytes_per_s /
                               MAX(instances, 1);
}

static void
S_refill(BsLink *link)
{
    int64_t now_ms = BsCore_NowMs(link->core);
    double rate = S_bytes_per_s(link);
    double limit = rate * BURST_S;
    double elapsed_s = (double)(now_ms - link->filled_ms) / MS_PER_S;
    link->bytes = MIN(link->bytes + rate * elapsed_s, limit);
    link->filled_ms = now_ms;
}

bool
BsLink_Allows(BsLink *link, const BsRequest *request)
{
    const BsSheet *sheet = BsCore_Sheet(link->core);
    double bytes = (double)BYTES_PER_TOKEN * request->output_tokens;
    if (request->body != NULL) {
        bytes += (double)g_bytes_get_size(request->body);
    }
    S_refill(link);
    double burst = S_bytes_per_s(link) * BURST_S;
    bool urgent = sheet != NULL && request->tier != NULL &&
                  BsSheet_IsYieldedTo(sheet, request->tier);
    double floor = urgent ? -burst : burst / 2;
    return link->bytes - bytes >= floor;
}

void
BsLink_Charge(BsLink *link, const char *tier, uint64_t bytes)
{
    char name[128];
    g_snprintf(name, sizeof(name), "link_bytes{tier=\"%s\"}",
               tier == NULL ? "" : tier);
    S_refill(link);
    link->bytes -= (double)bytes;
    BsCore_Count(link->core, name, bytes);
}
