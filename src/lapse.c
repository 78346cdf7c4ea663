/* lapse.c - how long an upstream whose entry was removed is still used. */
#include "lapse.h"

/* An entry that lapsed while the store was away is back this long after its
   return, when its upstream lives (the platform's documented bound). */
#define REWRITE_MS 2000

/* Revisions heard of within this time share a note, so that the notes stay
   few; as a part of REWRITE_MS it is small. */
#define NOTE_MS 20

/* Notes are kept this long: no removal is kept for longer. */
#define NOTES_KEPT_MS (REWRITE_MS + 2 * NOTE_MS)

typedef struct {
    uint64_t revision; /* the newest heard of within the note's time */
    int64_t first_ms;
} BsRevisionNote;

struct BsLapses {
    GArray *notes; /* of BsRevisionNote, oldest first, revisions growing */
};

BsLapses *
BsLapses_Create(void)
{
    BsLapses *lapses = g_new0(BsLapses, 1);
    lapses->notes = g_array_new(FALSE, FALSE, sizeof(BsRevisionNote));
    return lapses;
}

void
BsLapses_Destroy(BsLapses *lapses)
{
    if (lapses == NULL) {
        return;
    }
    g_array_unref(lapses->notes);
    g_free(lapses);
}

static BsRevisionNote *
S_note(const BsLapses *lapses, guint index)
{
    return &g_array_index(lapses->notes, BsRevisionNote, index);
}

/* Drops the notes that nothing needs: of two old ones the older. */
static void
S_drop_old(BsLapses *lapses, int64_t now_ms)
{
    guint old = 0;
    while (old + 1 < lapses->notes->len &&
           now_ms - S_note(lapses, old + 1)->first_ms > NOTES_KEPT_MS) {
        old++;
    }
    if (old > 0) {
        g_array_remove_range(lapses->notes, 0, old);
    }
}

void
BsLapses_NoteRevision(BsLapses *lapses, uint64_t revision, int64_t now_ms)
{
    guint count = lapses->notes->len;
    BsRevisionNote *last = count > 0 ? S_note(lapses, count - 1) : NULL;
    if (last != NULL && revision <= last->revision) {
        return;
    }
    if (last != NULL && now_ms - last->first_ms < NOTE_MS) {
        last->revision = revision;
        return;
    }
    BsRevisionNote note = {revision, now_ms};
    g_array_append_val(lapses->notes, note);
    S_drop_old(lapses, now_ms);
}

/* Returns when the store was first known to have come as far as REVISION. */
static int64_t
S_reached_ms(const BsLapses *lapses, uint64_t revision, int64_t now_ms)
{
    for (guint i = 0; i < lapses->notes->len; i++) {
        if (S_note(lapses, i)->revision >= revision) {
            return S_note(lapses, i)->first_ms;
        }
    }
    return now_ms;
}

int64_t
BsLapses_KeptMs(const BsLapses *lapses, uint64_t revision, int64_t failed_ms,
                int64_t now_ms)
{
    int64_t reached_ms = S_reached_ms(lapses, revision, now_ms);
    if (reached_ms - failed_ms >= REWRITE_MS) {
        return 0;
    }
    return MAX(0, reached_ms + REWRITE_MS - now_ms);
}
