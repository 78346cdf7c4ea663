/* sent.c - a non-idempotent request on its way to a keeper. */
#include "sent.h"

#include <string.h>

void
BsSent_Destroy(void *data)
{
    BsSent *sent = data;
    BsMessage_Destroy(sent->request);
    BsReorder_Destroy(sent->reorder);
    g_free(sent->keeper);
    g_free(sent);
}

const BsRequest *
BsSent_Request(const BsSent *sent)
{
    return &sent->request->u.request;
}

void
BsSent_FillNote(const BsSent *sent, BsNote *note)
{
    const BsRequest *request = BsSent_Request(sent);
    memset(note, 0, sizeof(*note));
    note->account = request->account;
    note->key = request->key;
    note->body_hash = request->body_hash;
    note->request_id = request->request_id;
    note->keeper = sent->keeper;
    note->keeper_incarnation = sent->incarnation;
    note->state = BS_RECORD_SENT;
}

bool
BsSent_MayBeResend(const BsSent *sent)
{
    return strcmp(BsSent_Request(sent)->key,
                  BsSent_Request(sent)->request_id) != 0;
}
