/* queuepass.c - requests that one pass over the queue can skip. */
#include "queuepass.h"

void
BsQueuePass_Begin(BsQueuePass *pass)
{
    pass->count = 0;
}

/* Returns whether ACCOUNT limits the upstreams that its route allows. */
static bool
S_limits_upstreams(const BsCatalogAccount *account)
{
    return account != NULL && account->regions->len > 0;
}

/* Returns whether KIND may use only slots that FAILED may use, too. */
static bool
S_is_covered_by(const BsQueuePassKind *kind, const BsQueuePassKind *failed)
{
    return kind->route == failed->route && kind->service == failed->service &&
           kind->reserved_slots >= failed->reserved_slots &&
           (!S_limits_upstreams(failed->account) ||
            kind->account == failed->account);
}

bool
BsQueuePass_MayFindSlot(const BsQueuePass *pass, const BsQueuePassKind *kind)
{
    for (unsigned i = 0; i < pass->count; i++) {
        if (S_is_covered_by(kind, &pass->failed[i])) {
            return false;
        }
    }
    return true;
}

void
BsQueuePass_NoteNoSlot(BsQueuePass *pass, const BsQueuePassKind *kind)
{
    if (!kind->excludes && pass->count < BS_QUEUE_PASS_KINDS_MAX) {
        pass->failed[pass->count++] = *kind;
    }
}
