/* removalgrace.c - how long an upstream is used after its store entry was
 * removed. */
#include "removalgrace.h"

#include "position.h"

/* Time after the store is back within which a running upstream writes an
   expired entry again (the platform's documented bound). */
#define REWRITE_MS 2000

/* Revisions received within this time share a note, to bound the number of
   notes; it is small compared with REWRITE_MS. */
#define NOTE_MS 20

/* Time for which notes are kept: no upstream is kept longer than this after
   its removal. */
#define NOTES_KEPT_MS (REWRITE_MS + 2 * NOTE_MS)

/* Shortest time without an answer to any instance that counts as an outage.
   An entry expires after three missed heartbeats, some 3.6 s, so an outage
   that makes it expire lasts longer than this; another instance takes over
   from one that gets no answers sooner. */
#define OUTAGE_MS 2000

#define NEVER_MS (INT64_MIN / 2)

typedef struct {
    uint64_t revision; /* newest received within NOTE_MS from FIRST_MS */
    int64_t first_ms;
} BsRevisionNote;

struct BsRemovalGrace {
    GArray *notes; /* BsRevisionNote, oldest first, revisions ascending */
    int64_t answered_ms; /* last answer of the store to any instance */
    int64_t back_ms;     /* first answer after the last outage */
};

BsRemovalGrace *
BsRemovalGrace_Create(void)
{
    BsRemovalGrace *grace = g_new0(BsRemovalGrace, 1);
    grace->notes = g_array_new(FALSE, FALSE, sizeof(BsRevisionNote));
    grace->answered_ms = NEVER_MS;
    grace->back_ms = NEVER_MS;
    return grace;
}

void
BsRemovalGrace_Destroy(BsRemovalGrace *grace)
{
    if (grace == NULL) {
        return;
    }
    g_array_unref(grace->notes);
    g_free(grace);
}

static BsRevisionNote *
S_note(const BsRemovalGrace *grace, guint index)
{
    return &g_array_index(grace->notes, BsRevisionNote, index);
}

/* Drops old notes, except the newest of them: it dates the revisions up to
   its own. */
static void
S_drop_old(BsRemovalGrace *grace, int64_t now_ms)
{
    guint old = 0;
    while (old + 1 < grace->notes->len &&
           now_ms - S_note(grace, old + 1)->first_ms > NOTES_KEPT_MS) {
        old++;
    }
    if (old > 0) {
        g_array_remove_range(grace->notes, 0, old);
    }
}

void
BsRemovalGrace_NoteRevision(BsRemovalGrace *grace, uint64_t revision,
                            int64_t now_ms)
{
    guint count = grace->notes->len;
    BsRevisionNote *last = count > 0 ? S_note(grace, count - 1) : NULL;
    if (last != NULL && revision <= last->revision) {
        return;
    }
    /* A restored store lacks what was written since its copy was made. */
    if (last != NULL &&
        BsPosition_Era(revision) > BsPosition_Era(last->revision)) {
        grace->back_ms = MAX(grace->back_ms, now_ms);
    }
    if (last != NULL && now_ms - last->first_ms < NOTE_MS) {
        last->revision = revision;
        return;
    }
    BsRevisionNote note = {revision, now_ms};
    g_array_append_val(grace->notes, note);
    S_drop_old(grace, now_ms);
}

/* Returns when the store was first known to have reached REVISION, NOW_MS if
   it was not known. */
static int64_t
S_reached_ms(const BsRemovalGrace *grace, uint64_t revision, int64_t now_ms)
{
    for (guint i = 0; i < grace->notes->len; i++) {
        if (S_note(grace, i)->revision >= revision) {
            return S_note(grace, i)->first_ms;
        }
    }
    return now_ms;
}

void
BsRemovalGrace_NoteAnswer(BsRemovalGrace *grace, int64_t answered_ms)
{
    if (answered_ms <= grace->answered_ms) {
        return;
    }
    if (answered_ms - grace->answered_ms >= OUTAGE_MS) {
        grace->back_ms = MAX(grace->back_ms, answered_ms);
    }
    grace->answered_ms = answered_ms;
}

int64_t
BsRemovalGrace_KeptMs(BsRemovalGrace *grace, uint64_t revision,
                      int64_t failed_ms, int64_t now_ms)
{
    BsRemovalGrace_NoteRevision(grace, revision, now_ms);
    int64_t reached_ms = S_reached_ms(grace, revision, now_ms);
    bool was_away = grace->answered_ms == NEVER_MS ||
                    reached_ms - grace->back_ms < REWRITE_MS;
    if (!was_away || reached_ms - failed_ms >= REWRITE_MS) {
        return 0;
    }
    return MAX(0, reached_ms + REWRITE_MS - now_ms);
}
