/* targetexplain.c - runs the choice of an upstream, reports what it found and
   undoes its effects. */
#include "targetexplain.h"

#include "targets_private.h"

#include <string.h>

/* ------------------------------------------------- state kept unchanged -- */

/* What a choice changes: rate buckets and the cached rank of each target, the
   allowances, and the target that it takes by the limits of spill.h. */
typedef struct {
    BsTarget *copies; /* of all targets of the service, in order */
    GHashTable *allowances;
    const BsTarget *spilled;
} BsTargetsBackup;

static GHashTable *
S_copy_allowances(GHashTable *allowances)
{
    GHashTable *copy =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, allowances);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_hash_table_insert(copy, g_strdup(key),
                            g_memdup2(value, sizeof(BsTargetAllowance)));
    }
    return copy;
}

/* Saves the state that a choice among LIST changes; TARGETS gets copies of
   the allowances to work on. */
static void
S_save(BsTargets *targets, const GPtrArray *list, BsTargetsBackup *backup)
{
    backup->copies = g_new(BsTarget, list->len);
    for (guint i = 0; i < list->len; i++) {
        backup->copies[i] = *(const BsTarget *)list->pdata[i];
    }
    backup->spilled = targets->spilled;
    backup->allowances = targets->allowances;
    targets->allowances = S_copy_allowances(backup->allowances);
}

static void
S_restore(BsTargets *targets, const GPtrArray *list, BsTargetsBackup *backup)
{
    for (guint i = 0; i < list->len; i++) {
        *(BsTarget *)list->pdata[i] = backup->copies[i];
    }
    g_free(backup->copies);
    g_hash_table_destroy(targets->allowances);
    targets->allowances = backup->allowances;
    targets->spilled = backup->spilled;
}

/* ----------------------------------------------------------- candidates -- */

/* The judgements of a choice. */
typedef struct {
    const BsTargets *targets;
    GArray *candidates; /* BsTargetCandidate, all that were judged */
    GHashTable *places; /* BsTarget to its place in CANDIDATES */
} BsTargetRecords;

static void
S_on_judged(BsTarget *target, const BsTargetJudgement *judgement,
            void *context)
{
    BsTargetRecords *records = context;
    gpointer place;
    if (!g_hash_table_lookup_extended(records->places, target, NULL, &place)) {
        BsTargetCandidate candidate = {
            .target = target,
            .judgement = *judgement,
            .place = records->candidates->len,
            .estimated = BsTargets_IsEstimated(records->targets, target),
        };
        g_hash_table_insert(records->places, target,
                            GUINT_TO_POINTER(candidate.place));
        g_array_append_val(records->candidates, candidate);
    }
    else if (judgement->reason != BS_TARGET_OTHER_PASS) {
        g_array_index(records->candidates, BsTargetCandidate,
                      GPOINTER_TO_UINT(place))
            .judgement = *judgement;
    }
}

/* Replaces the reason of a target that the choice did not look at by what is
   against it anyway, if anything is. */
static void
S_judge_rest(BsTargets *targets, const BsTargetQuery *query, int64_t now_ms,
             GArray *candidates)
{
    for (guint i = 0; i < candidates->len; i++) {
        BsTargetCandidate *candidate =
            &g_array_index(candidates, BsTargetCandidate, i);
        BsTargetReason *reason = &candidate->judgement.reason;
        if (*reason != BS_TARGET_OTHER_PASS &&
            *reason != BS_TARGET_NOT_SAMPLED) {
            continue;
        }
        BsTargetReason other = BsTargets_Judge(
            targets, (BsTarget *)candidate->target, query, now_ms);
        *reason = other == BS_TARGET_ELIGIBLE ? *reason : other;
    }
}

static int
S_compare(const void *left, const void *right)
{
    const BsTargetCandidate *first = left;
    const BsTargetCandidate *second = right;
    bool first_eligible = first->judgement.reason == BS_TARGET_ELIGIBLE;
    bool second_eligible = second->judgement.reason == BS_TARGET_ELIGIBLE;
    double first_cost = BsTargetCost_Sum(&first->judgement.cost);
    double second_cost = BsTargetCost_Sum(&second->judgement.cost);
    if (first_eligible != second_eligible) {
        return first_eligible ? -1 : 1;
    }
    if (first_cost != second_cost) {
        return first_cost < second_cost ? -1 : 1;
    }
    return first->place < second->place ? -1 : 1;
}

static void
S_fill(GArray *candidates, BsTargetExplanation *explanation)
{
    g_array_sort(candidates, S_compare);
    explanation->judged = candidates->len;
    explanation->count = MIN(candidates->len, BS_TARGET_CANDIDATES_MAX);
    for (guint i = 0; i < candidates->len; i++) {
        const BsTargetCandidate *candidate =
            &g_array_index(candidates, BsTargetCandidate, i);
        explanation->by_reason[candidate->judgement.reason]++;
        if (i < explanation->count) {
            explanation->candidates[i] = *candidate;
        }
    }
}

static void
S_explain(BsTargets *targets, const BsTargetQuery *query, int64_t now_ms,
          BsTargetExplanation *explanation)
{
    BsTargetRecords records = {
        .targets = targets,
        .candidates = g_array_new(FALSE, FALSE, sizeof(BsTargetCandidate)),
        .places = g_hash_table_new(NULL, NULL),
    };
    BsTargetObserver observer = {S_on_judged, &records};
    explanation->chosen = BsTargets_ChooseObserved(
        targets, query, now_ms, &explanation->verdict, &observer);
    explanation->spilled = BsTargets_HasSpilled(targets, explanation->chosen);
    S_judge_rest(targets, query, now_ms, records.candidates);
    S_fill(records.candidates, explanation);
    explanation->limit_wait_ms = BsTargets_LimitWaitMs(targets, query, now_ms);
    explanation->all_silent = BsTargets_AreAllSilent(targets, query, now_ms);
    g_array_free(records.candidates, TRUE);
    g_hash_table_destroy(records.places);
}

void
BsTargets_Explain(BsTargets *targets, const BsTargetQuery *query,
                  int64_t now_ms, BsTargetExplanation *explanation)
{
    const GPtrArray *list =
        g_hash_table_lookup(targets->services, query->service->name);
    BsTargetsBackup backup;
    memset(explanation, 0, sizeof(*explanation));
    explanation->verdict = BS_TARGET_NONE;
    explanation->remote_age_ms = targets->remote_age_ms;
    if (list != NULL) {
        S_save(targets, list, &backup);
        S_explain(targets, query, now_ms, explanation);
        S_restore(targets, list, &backup);
    }
}

const char *
BsTargetReason_Name(BsTargetReason reason)
{
    static const char *const names[BS_TARGET_REASONS] = {
        [BS_TARGET_ELIGIBLE] = "eligible",
        [BS_TARGET_OTHER_PASS] = "other_data_centre_not_needed",
        [BS_TARGET_NOT_SAMPLED] = "not_sampled",
        [BS_TARGET_LEAVING] = "draining",
        [BS_TARGET_UNLISTED] = "unlisted",
        [BS_TARGET_REGION_UNKNOWN] = "region_unknown",
        [BS_TARGET_CLOSED] = "data_centre_closed",
        [BS_TARGET_EXCLUDED] = "excluded",
        [BS_TARGET_OTHER_VERSION] = "other_version",
        [BS_TARGET_OTHER_REGION] = "region_not_allowed",
        [BS_TARGET_QUIET] = "silent_since",
        [BS_TARGET_PAUSE_REQUESTED] = "pause_requested",
        [BS_TARGET_PAUSED] = "paused_after_failure",
        [BS_TARGET_PROBED] = "probe_in_progress",
        [BS_TARGET_OWN_ENOUGH] = "own_part_used",
        [BS_TARGET_FULL] = "no_free_slot",
        [BS_TARGET_RESERVED] = "free_slots_reserved",
        [BS_TARGET_COLD_LIMITED] = "cold_limit",
        [BS_TARGET_NAMED_LIMITED] = "named_limit",
        [BS_TARGET_NO_ALLOWANCE] = "no_allowance",
    };
    return names[reason];
}
