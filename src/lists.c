/* lists.c - instance lists from the platform and between instances. */
#include "lists.h"

#include "owner.h"
#include "schema.h"
#include "tenure.h"
#include "watch.h"

/* Reports the current list, which came from a peer, to the host program. */
static void
S_report_list(BsCore *core)
{
    BsMessage *report = BsMessage_Create(BS_PLATFORM_LIST);
    BsSchema_Copy(BsSchema_OfKind(BS_PLATFORM_LIST), &report->u,
                  BsMembers_List(core->members));
    BsCore_Emit(core, report);
}

void
BsLists_OnList(BsCore *core, const BsMessage *message)
{
    if (!BsMembers_Accept(core->members, &message->u.list)) {
        BsCore_Count(core, "lists_ignored", 1);
        if (message->kind == BS_LIST_PUSH) {
            BsTenure_OnOldList(core->tenure, &message->u.list);
        }
        return;
    }
    if (message->kind == BS_LIST_PUSH) {
        S_report_list(core);
    }
    BsCore_Count(core, "lists_accepted", 1);
    BsTenure_OnList(core->tenure);
    BsWatchers_OnList(core->watchers);
    BsOwner_OnList(core->owner);
}

void
BsLists_OnPull(BsCore *core, const BsMessage *message)
{
    const BsSheetText *pull = &message->u.sheet;
    const BsList *list = BsMembers_List(core->members);
    if (list == NULL || list->revision <= pull->base_revision) {
        list = BsTenure_FindList(core->tenure, pull->revision);
    }
    if (message->from == NULL || list == NULL) {
        return;
    }
    BsMessage *push = BsMessage_Create(BS_LIST_PUSH);
    BsSchema_Copy(BsSchema_OfKind(BS_LIST_PUSH), &push->u, list);
    BsCore_Send(core, message->from, message->from_incarnation, push);
}
