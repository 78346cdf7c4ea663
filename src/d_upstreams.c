/* d_upstreams.c - transfers to engines and services. */
#include "d_upstreams.h"

#include "d_transfer.h"
#include "member.h"

#include <string.h>

#define POOL_CONNECTIONS 256

struct BsUpstreams {
    BsLoop *loop;
    BsCurl *curl;
    BsMembers *members;    /* the newest instance list, for addresses */
    GHashTable *transfers; /* request id to BsTransfer */
};

/* Posts the final answer for an upstream without a known address. */
static void
S_fail_without_address(BsUpstreams *upstreams, const BsRequest *request)
{
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_ANSWER);
    BsAnswer *answer = &message->u.answer;
    answer->request_id = g_strdup(request->request_id);
    answer->attempt = request->attempt;
    answer->upstream = g_strdup(request->upstream);
    answer->error = BS_ERR_CONNECT;
    answer->status = BsError_Describe(BS_ERR_CONNECT)->http_status;
    answer->outcome = BS_OUTCOME_NOT_RUN;
    answer->detail = g_strdup("the upstream has no address in the list");
    answer->final = true;
    BsLoop_Post(upstreams->loop, message);
}

static void
S_on_done(BsTransfer *transfer, void *context)
{
    BsUpstreams *upstreams = context;
    g_hash_table_remove(upstreams->transfers, BsTransfer_Id(transfer));
}

static void
S_on_dispatch(const BsMessage *message, void *context)
{
    BsUpstreams *upstreams = context;
    const BsRequest *request = &message->u.request;
    const BsListEntry *entry =
        BsMembers_Find(upstreams->members, request->upstream);
    BsLoop_Count(upstreams->loop, "upstream_transfers", 1);
    if (entry == NULL || entry->address == NULL) {
        S_fail_without_address(upstreams, request);
        return;
    }
    BsTransfer *transfer =
        BsTransfer_Start(upstreams->loop, upstreams->curl, request,
                         entry->address, S_on_done, upstreams);
    g_hash_table_replace(upstreams->transfers, (char *)BsTransfer_Id(transfer),
                         transfer);
}

static void
S_on_cancel(const BsMessage *message, void *context)
{
    BsUpstreams *upstreams = context;
    const char *id = message->u.cancel.request_id;
    if (id != NULL && g_hash_table_remove(upstreams->transfers, id)) {
        BsLoop_Count(upstreams->loop, "upstream_cancels", 1);
    }
}

static void
S_on_flow(const BsMessage *message, void *context)
{
    BsUpstreams *upstreams = context;
    const char *id = message->u.flow.request_id;
    BsTransfer *transfer =
        id == NULL ? NULL : g_hash_table_lookup(upstreams->transfers, id);
    if (transfer != NULL) {
        BsTransfer_SetPaused(transfer, message->u.flow.paused);
    }
}

static void
S_on_list(const BsMessage *message, void *context)
{
    BsUpstreams *upstreams = context;
    BsMembers_Accept(upstreams->members, &message->u.list);
}

BsUpstreams *
BsUpstreams_Create(BsLoop *loop)
{
    BsUpstreams *upstreams = g_new0(BsUpstreams, 1);
    upstreams->loop = loop;
    upstreams->curl = BsCurl_Create(loop, POOL_CONNECTIONS);
    upstreams->members = BsMembers_Create();
    upstreams->transfers = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, (GDestroyNotify)BsTransfer_Destroy);
    BsLoop_Handle(loop, BS_UPSTREAM_DISPATCH, S_on_dispatch, upstreams);
    BsLoop_Handle(loop, BS_UPSTREAM_CANCEL, S_on_cancel, upstreams);
    BsLoop_Handle(loop, BS_UPSTREAM_FLOW, S_on_flow, upstreams);
    BsLoop_Handle(loop, BS_PLATFORM_LIST, S_on_list, upstreams);
    return upstreams;
}

void
BsUpstreams_Destroy(BsUpstreams *upstreams)
{
    if (upstreams == NULL) {
        return;
    }
    g_hash_table_destroy(upstreams->transfers);
    BsCurl_Destroy(upstreams->curl);
    BsMembers_Destroy(upstreams->members);
    g_free(upstreams);
}
