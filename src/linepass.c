/* linepass.c - requests that one pass over the queue need not try to place. */
#include "linepass.h"

void
BsLinePass_Begin(BsLinePass *pass)
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
S_is_covered_by(const BsLinePassKind *kind, const BsLinePassKind *failed)
{
    return kind->route == failed->route && kind->service == failed->service &&
           kind->places_left >= failed->places_left &&
           (!S_limits_upstreams(failed->account) ||
            kind->account == failed->account);
}

bool
BsLinePass_MayFind(const BsLinePass *pass, const BsLinePassKind *kind)
{
    for (unsigned i = 0; i < pass->count; i++) {
        if (S_is_covered_by(kind, &pass->failed[i])) {
            return false;
        }
    }
    return true;
}

void
BsLinePass_NoteNone(BsLinePass *pass, const BsLinePassKind *kind)
{
    if (!kind->excludes && pass->count < BS_LINEPASS_KINDS) {
        pass->failed[pass->count++] = *kind;
    }
}
