/* targetchoice.c - the choice of an upstream for a request. */
#include "targets_private.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Difference to the lowest error ratio of the service that is taken for random
   variation. */
#define ERROR_TOLERATED 0.12

/* Cost of an error ratio of 1.  Costs are compared in milliseconds. */
#define ERROR_COST_MS 1500.0

/* Speed of a typical engine, from the engines' data sheets: about 5 ms per
   step and 45 prompt tokens per ms.  Only the ratio of the two matters for the
   choice. */
#define STEP_MS 5.0
#define PREFILL_TOKENS_PER_MS 45.0

/* Typical time of a request to a service without an engine. */
#define PLAIN_MS 40.0

/* Cost of sending a request to another data centre: the round trip and the
   price of the link. */
#define OTHER_DATA_CENTRE_COST_MS 8.0
#define OTHER_REGION_COST_MS 60.0

/* Counts of other data centres that are older than this do not show which
   upstreams there have a free slot: all instances would choose the same
   ones. */
#define REMOTE_FRESH_MS 50

/* Slots that must be free at such an upstream by the estimate, and the most
   requests that this instance may have in progress there. */
#define REMOTE_FREE_SLOTS 2
#define REMOTE_OWN_MAX 1

/* Upper bound of a pseudorandom cost added there, so that not all instances
   choose the same upstream. */
#define REMOTE_JITTER_MS 200

/* In a large fleet many instances choose by the same sums before they receive
   each other's counts.  So each instance considers only a sample of the
   upstreams, another one each time, and not all take the best one or the last
   free slot.  The sample has about SAMPLE_LOCAL upstreams of the own data
   centre, and at least one in SAMPLE_ONE_IN_MAX of them. */
#define SAMPLE_LOCAL 5
#define SAMPLE_ONE_IN_MAX 8

/* Divisor of the pseudorandom cost in a sample, where it only has to decide
   between equal upstreams. */
#define SAMPLE_JITTER_DIVISOR 50

/* Factor on the allowance of an instance whose own data centre has no open
   upstream.  The other instances of its data centre also need slots elsewhere,
   the rest of the fleet does not. */
#define NO_LOCAL_FACTOR 5.0

/* At most one slot in this many is kept free for other requests.  The smallest
   targets keep none, as less urgent requests would never get a slot there. */
#define SLOTS_PER_RESERVED_SLOT 3

/* Cost of a cold target, high enough that warm ones are preferred. */
#define COLD_COST_MS 400.0

/* A named limit that no answer has confirmed for LIMIT_CHECK_MS may have
   ended; the next request goes there rather than elsewhere, by this much. */
#define LIMIT_CHECK_MS 1000
#define LIMIT_CHECK_GAIN_MS 200.0

static bool
S_is_excluded(const BsTargetQuery *query, const char *id)
{
    for (size_t i = 0; i < query->excluded_count; i++) {
        if (strcmp(query->excluded[i], id) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns BS_TARGET_ELIGIBLE if the settings, the list and the target's own
   reports let TARGET get the request, or why not. */
static BsTargetReason
S_judge_open(const BsTarget *target, const BsTargetQuery *query,
             int64_t now_ms)
{
    if (BsTarget_IsLeaving(target)) {
        return BS_TARGET_LEAVING;
    }
    if (target->usable_until_ms <= now_ms) {
        return BS_TARGET_UNLISTED;
    }
    if (target->region == NULL) {
        return BS_TARGET_REGION_UNKNOWN;
    }
    if (target->closed) {
        return BS_TARGET_CLOSED;
    }
    if (S_is_excluded(query, target->id)) {
        return BS_TARGET_EXCLUDED;
    }
    if (query->version != 0 && query->version != target->version_hash) {
        return BS_TARGET_OTHER_VERSION;
    }
    bool allowed =
        BsCatalog_AllowsRegion(query->route, query->account, target->region);
    return allowed ? BS_TARGET_ELIGIBLE : BS_TARGET_OTHER_REGION;
}

bool
BsTarget_IsOpen(const BsTarget *target, const BsTargetQuery *query,
                int64_t now_ms)
{
    return S_judge_open(target, query, now_ms) == BS_TARGET_ELIGIBLE;
}

/* Returns the time per event or answer relative to USUAL_MS, the mean of the
   service; 1 when either is unknown. */
static double
S_pace(const BsTarget *target, double usual_ms)
{
    if (target->pace_ms <= 0 || usual_ms <= 0) {
        return 1.0;
    }
    return CLAMP(target->pace_ms / usual_ms, 0.2, 5.0);
}

/* Properties of the open targets of a service, as a whole. */
typedef struct {
    double usual_pace_ms;   /* mean; 0: unknown */
    double best_error;      /* lowest error ratio */
    const BsTarget *affine; /* where the session's prompt is likely cached;
                               NULL: no session */
    uint32_t open;          /* number of open targets */
    uint32_t local;         /* those of the own data centre */
} BsTargetContext;

/* Returns the rendezvous weight of TARGET for SESSION. */
static uint64_t
S_weight(const BsTarget *target, uint64_t session)
{
    uint64_t pair[2] = {target->hash, session};
    return XXH3_64bits(pair, sizeof(pair));
}

static BsTargetContext
S_summarize(const GPtrArray *list, const BsTargetQuery *query, int64_t now_ms)
{
    BsTargetContext context = {0, 1.0, NULL, 0, 0};
    uint64_t best_weight = 0;
    unsigned paced = 0;
    for (guint i = 0; i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (!BsTarget_IsOpen(target, query, now_ms)) {
            continue;
        }
        context.open++;
        context.local += target->local;
        context.best_error = MIN(context.best_error, target->error_ratio);
        if (target->pace_ms > 0) {
            context.usual_pace_ms += target->pace_ms;
            paced++;
        }
        uint64_t weight = S_weight(target, query->session);
        if (query->session != 0 && weight >= best_weight) {
            best_weight = weight;
            context.affine = target;
        }
    }
    if (paced > 0) {
        context.usual_pace_ms /= paced;
    }
    return context;
}

/* Returns the cost of the request at TARGET; lower is better. */
static BsTargetCost
S_cost(const BsTarget *target, const BsTargetQuery *query,
       const BsTargetContext *context, int64_t now_ms)
{
    double pace = S_pace(target, context->usual_pace_ms);
    double error = target->error_ratio - context->best_error;
    BsTargetCost cost = {0};
    if (query->service->engine) {
        double own = target == context->affine ? 0 : query->prompt_tokens;
        double waiting = (double)target->own_waiting_tokens;
        cost.work_ms = pace * ((own + waiting) / PREFILL_TOKENS_PER_MS +
                               STEP_MS * query->output_tokens / 4);
        cost.load_ms = pace * STEP_MS * 4 * BsTarget_Load(target);
    }
    else {
        cost.load_ms = pace * PLAIN_MS * (1.0 + (double)BsTarget_Load(target));
    }
    if (error > ERROR_TOLERATED) {
        cost.error_ms = (error - ERROR_TOLERATED) * ERROR_COST_MS;
    }
    if (!target->same_region) {
        cost.distance_ms = OTHER_REGION_COST_MS;
    }
    else if (!target->local) {
        cost.distance_ms = OTHER_DATA_CENTRE_COST_MS;
    }
    if (BsTarget_IsCold(target, now_ms)) {
        cost.cold_ms = COLD_COST_MS;
    }
    if (target->limit.per_s > 0 &&
        now_ms - target->limit.told_ms >= LIMIT_CHECK_MS) {
        cost.limit_check_ms = -LIMIT_CHECK_GAIN_MS;
    }
    return cost;
}

void
BsTargets_SetSpill(BsTargets *targets, const BsSpillLimits *limits)
{
    targets->spill = *limits;
}

bool
BsTargets_HasSpilled(const BsTargets *targets, const BsTarget *target)
{
    return target != NULL && targets->spilled == target;
}

void
BsTargets_SetInstances(BsTargets *targets, unsigned instances)
{
    targets->instances = instances;
}

void
BsTargets_SetRemoteAge(BsTargets *targets, int64_t age_ms)
{
    targets->remote_age_ms = age_ms;
}

bool
BsTargets_IsEstimated(const BsTargets *targets, const BsTarget *target)
{
    return targets->remote_age_ms > REMOTE_FRESH_MS && !target->local;
}

/* Returns BS_TARGET_ELIGIBLE if TARGET has a free slot beyond those to be kept
   free.  If its load is an estimate, REMOTE_FREE_SLOTS must be free and this
   instance must have fewer than REMOTE_OWN_MAX requests there. */
static BsTargetReason
S_judge_slots(const BsTargets *targets, const BsTarget *target,
              const BsTargetQuery *query)
{
    uint32_t reserved =
        MIN(query->reserved_slots, target->slots / SLOTS_PER_RESERVED_SLOT);
    uint32_t wanted = reserved + 1;
    if (BsTargets_IsEstimated(targets, target)) {
        wanted = MAX(wanted, REMOTE_FREE_SLOTS);
        if (target->own >= REMOTE_OWN_MAX) {
            return BS_TARGET_OWN_ENOUGH;
        }
    }
    uint32_t load = BsTarget_Load(target);
    if (load + wanted <= target->slots) {
        return BS_TARGET_ELIGIBLE;
    }
    return load < target->slots ? BS_TARGET_RESERVED : BS_TARGET_FULL;
}

static BsTargetAllowance *
S_allowance(BsTargets *targets, const char *data_centre)
{
    BsTargetAllowance *allowance =
        g_hash_table_lookup(targets->allowances, data_centre);
    if (allowance == NULL) {
        allowance = g_new0(BsTargetAllowance, 1);
        g_hash_table_insert(targets->allowances, g_strdup(data_centre),
                            allowance);
    }
    return allowance;
}

/* Counts the estimated free slots of each other data centre, without those of
   upstreams that fail or have named a limit, and the requests of others. */
static void
S_count_free(BsTargets *targets, const GPtrArray *list,
             const BsTargetQuery *query, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->allowances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((BsTargetAllowance *)value)->free = 0;
        ((BsTargetAllowance *)value)->in_use = 0;
    }
    for (guint i = 0; i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (!BsTargets_IsEstimated(targets, target) ||
            !BsTarget_IsOpen(target, query, now_ms)) {
            continue;
        }
        BsTargetAllowance *allowance =
            S_allowance(targets, target->data_centre);
        allowance->in_use += target->others;
        if (target->failures == 0 && target->limit.per_s <= 0) {
            allowance->free +=
                target->slots - MIN(target->slots, BsTarget_Load(target));
        }
    }
}

/* Returns how many requests can run one after the other in a slot before other
   data centres receive its count: 1 for an engine, more for the short requests
   of other services. */
static double
S_requests_per_slot(const BsTargets *targets, const BsTargetQuery *query,
                    const BsTargetContext *context)
{
    if (query->service->engine) {
        return 1;
    }
    double each_ms = MAX(context->usual_pace_ms, PLAIN_MS);
    return MAX((double)targets->remote_age_ms / each_ms, 1);
}

/* Refills the allowances: the estimated free slots of each data centre are
   divided among all instances that may choose them before they receive each
   other's counts. */
static void
S_fill_allowances(BsTargets *targets, const GPtrArray *list,
                  const BsTargetQuery *query, const BsTargetContext *context,
                  bool no_local, int64_t now_ms)
{
    double sharers = MAX(MAX(targets->senders->len, targets->instances), 1);
    double per_slot = S_requests_per_slot(targets, query, context);
    GHashTableIter iter;
    gpointer value;
    S_count_free(targets, list, query, now_ms);
    g_hash_table_iter_init(&iter, targets->allowances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsTargetAllowance *allowance = value;
        double ages = (double)(now_ms - allowance->filled_ms) /
                      (double)targets->remote_age_ms;
        double share = allowance->free * per_slot *
                       (no_local ? NO_LOCAL_FACTOR : 1) / sharers;
        allowance->level = MIN(allowance->level + ages * share, MAX(share, 1));
        allowance->filled_ms = now_ms;
    }
}

void
BsTargets_UseAllowance(BsTargets *targets, const BsTarget *target)
{
    if (BsTargets_IsEstimated(targets, target)) {
        BsTargetAllowance *allowance =
            S_allowance(targets, target->data_centre);
        allowance->level -= 1;
    }
}

/* Returns whether the allowance of the data centre of TARGET is enough for one
   more request. */
static bool
S_is_allowed(BsTargets *targets, const BsTarget *target)
{
    const BsTargetAllowance *allowance =
        S_allowance(targets, target->data_centre);
    return allowance->level >= 1;
}

/* Returns a pseudorandom cost below REMOTE_JITTER_MS that differs by instance,
   target and time. */
static double
S_jitter(const BsTargets *targets, const BsTarget *target, int64_t now_ms)
{
    uint64_t parts[3] = {target->hash, targets->address, (uint64_t)now_ms};
    return (double)(XXH3_64bits(parts, sizeof(parts)) % REMOTE_JITTER_MS);
}

/* Returns BS_TARGET_ELIGIBLE if TARGET is expected to answer: it has not
   requested a pause, and the pause after a failure or refusal is over.  After
   a failure only one request is sent to it as a probe. */
static BsTargetReason
S_judge_health(const BsTarget *target, int64_t now_ms)
{
    if (target->requested_pause_until_ms > now_ms) {
        return BS_TARGET_PAUSE_REQUESTED;
    }
    if (target->retry_at_ms > now_ms) {
        return BS_TARGET_PAUSED;
    }
    bool probed = target->failures > 0 && target->own > 0;
    return probed ? BS_TARGET_PROBED : BS_TARGET_ELIGIBLE;
}

BsTargetReason
BsTargets_Judge(const BsTargets *targets, BsTarget *target,
                const BsTargetQuery *query, int64_t now_ms)
{
    BsTargetReason reason = S_judge_open(target, query, now_ms);
    if (reason != BS_TARGET_ELIGIBLE) {
        return reason;
    }
    if (target->last_received_ms < query->spoke_since_ms) {
        return BS_TARGET_QUIET;
    }
    reason = S_judge_health(target, now_ms);
    if (reason != BS_TARGET_ELIGIBLE) {
        return reason;
    }
    reason = S_judge_slots(targets, target, query);
    if (reason != BS_TARGET_ELIGIBLE) {
        return reason;
    }
    if (BsTarget_IsCold(target, now_ms) &&
        !BsTargets_AllowsCold(targets, target, query->service, now_ms)) {
        return BS_TARGET_COLD_LIMITED;
    }
    return BsTargets_AllowsLimit(targets, target, now_ms)
               ? BS_TARGET_ELIGIBLE
               : BS_TARGET_NAMED_LIMITED;
}

/* Returns the verdict when a target that was left for REASON is the one that
   can take a request soonest. */
static BsTargetVerdict
S_verdict(BsTargetReason reason)
{
    switch (reason) {
    case BS_TARGET_PAUSE_REQUESTED:
    case BS_TARGET_PAUSED:
    case BS_TARGET_PROBED:
    case BS_TARGET_OWN_ENOUGH:
    case BS_TARGET_FULL:
    case BS_TARGET_RESERVED:
        return BS_TARGET_BUSY;
    case BS_TARGET_COLD_LIMITED:
    case BS_TARGET_NAMED_LIMITED:
        return BS_TARGET_COLD;
    default:
        return BS_TARGET_NONE;
    }
}

/* Which targets are considered. */
typedef enum {
    SELECT_KNOWN,    /* those with known load */
    SELECT_SAMPLE,   /* a sample of them, and the session's preferred target */
    SELECT_ESTIMATED /* those whose load is an estimate */
} BsTargetSelection;

/* Returns BS_TARGET_ELIGIBLE if TARGET is one of those that SELECTION names,
   or why it isn't. */
static BsTargetReason
S_judge_selection(const BsTargets *targets, const BsTarget *target,
                  const BsTargetContext *context, BsTargetSelection selection,
                  int64_t now_ms)
{
    if (BsTargets_IsEstimated(targets, target) !=
        (selection == SELECT_ESTIMATED)) {
        return BS_TARGET_OTHER_PASS;
    }
    if (selection != SELECT_SAMPLE || target == context->affine) {
        return BS_TARGET_ELIGIBLE;
    }
    uint64_t parts[3] = {target->hash, targets->address, (uint64_t)now_ms};
    uint64_t one_in =
        CLAMP(context->local / SAMPLE_LOCAL, 1, SAMPLE_ONE_IN_MAX);
    return XXH3_64bits(parts, sizeof(parts)) % one_in == 0
               ? BS_TARGET_ELIGIBLE
               : BS_TARGET_NOT_SAMPLED;
}

/* Returns BS_TARGET_ELIGIBLE if TARGET is one of those that SELECTION names
   and can take the request now, or why not. */
static BsTargetReason
S_judge(BsTargets *targets, BsTarget *target, const BsTargetQuery *query,
        const BsTargetContext *context, BsTargetSelection selection,
        int64_t now_ms)
{
    BsTargetReason reason =
        S_judge_selection(targets, target, context, selection, now_ms);
    if (reason == BS_TARGET_ELIGIBLE) {
        reason = BsTargets_Judge(targets, target, query, now_ms);
    }
    if (reason == BS_TARGET_ELIGIBLE && selection == SELECT_ESTIMATED &&
        !S_is_allowed(targets, target)) {
        reason = BS_TARGET_NO_ALLOWANCE;
    }
    return reason;
}

/* Returns the part of the cost that spreads the requests of all instances. */
static double
S_selection_jitter(const BsTargets *targets, const BsTarget *target,
                   BsTargetSelection selection, int64_t now_ms)
{
    switch (selection) {
    case SELECT_ESTIMATED:
        return S_jitter(targets, target, now_ms);
    case SELECT_SAMPLE:
        return S_jitter(targets, target, now_ms) / SAMPLE_JITTER_DIVISOR;
    default:
        return 0;
    }
}

/* The cheapest target of a selection. */
typedef struct {
    BsTarget *target; /* NULL: none can take the request */
    double cost_ms;   /* without the pseudorandom part */
} BsTargetFound;

/* Returns the cheapest of the targets that SELECTION names and that can take
   the request.  Lowers VERDICT to the reason why others cannot; over all
   targets the lowest one, the soonest to pass, stays. */
static BsTargetFound
S_cheapest(BsTargets *targets, const GPtrArray *list,
           const BsTargetQuery *query, const BsTargetContext *context,
           BsTargetSelection selection, int64_t now_ms,
           BsTargetVerdict *verdict, const BsTargetObserver *observer)
{
    BsTargetFound best = {NULL, HUGE_VAL};
    double best_cost = HUGE_VAL;
    for (guint i = 0; i < list->len; i++) {
        BsTarget *target = list->pdata[i];
        BsTargetJudgement judgement = {
            .reason =
                S_judge(targets, target, query, context, selection, now_ms)};
        bool eligible = judgement.reason == BS_TARGET_ELIGIBLE;
        *verdict = MIN(*verdict, S_verdict(judgement.reason));
        if (!eligible && observer == NULL) {
            continue;
        }
        judgement.cost = S_cost(target, query, context, now_ms);
        judgement.cost.jitter_ms =
            S_selection_jitter(targets, target, selection, now_ms);
        if (observer != NULL) {
            observer->on_judged(target, &judgement, observer->context);
        }
        double cost = BsTargetCost_Sum(&judgement.cost);
        if (eligible && cost < best_cost) {
            best.target = target;
            best.cost_ms = cost - judgement.cost.jitter_ms;
            best_cost = cost;
        }
    }
    return best;
}

/* Returns the target in another data centre that takes the request instead of
   LOCAL, the cheapest of the own one, or NULL. */
static BsTarget *
S_spill(BsTargets *targets, const GPtrArray *list, const BsTargetQuery *query,
        const BsTargetContext *context, const BsTargetFound *local,
        int64_t now_ms, const BsTargetObserver *observer)
{
    if (targets->remote_age_ms <= REMOTE_FRESH_MS ||
        !BsSpill_Applies(&targets->spill, query->service, query->route) ||
        !BsSpill_CanGain(&targets->spill, local->cost_ms,
                         OTHER_DATA_CENTRE_COST_MS)) {
        return NULL;
    }
    BsTargetVerdict verdict = BS_TARGET_NONE;
    S_fill_allowances(targets, list, query, context, false, now_ms);
    BsTargetFound found =
        S_cheapest(targets, list, query, context, SELECT_ESTIMATED, now_ms,
                   &verdict, observer);
    if (found.target == NULL) {
        return NULL;
    }
    BsSpillCosts costs = {
        .local_ms = local->cost_ms,
        .remote_ms = found.cost_ms,
        .reported =
            S_allowance(targets, found.target->data_centre)->in_use > 0,
    };
    return BsSpill_Leaves(&targets->spill, &costs) ? found.target : NULL;
}

BsTarget *
BsTargets_ChooseObserved(BsTargets *targets, const BsTargetQuery *query,
                         int64_t now_ms, BsTargetVerdict *verdict,
                         const BsTargetObserver *observer)
{
    const GPtrArray *list =
        g_hash_table_lookup(targets->services, query->service->name);
    *verdict = BS_TARGET_NONE;
    if (list == NULL) {
        return NULL;
    }
    BsTargetContext context = S_summarize(list, query, now_ms);
    BsTargetFound best =
        S_cheapest(targets, list, query, &context,
                   targets->summed ? SELECT_SAMPLE : SELECT_KNOWN, now_ms,
                   verdict, observer);
    if (targets->summed && context.open > 0) {
        /* A target outside the sample may have a free slot. */
        *verdict = MIN(*verdict, BS_TARGET_BUSY);
    }
    BsTarget *spilled = NULL;
    if (best.target != NULL) {
        spilled =
            S_spill(targets, list, query, &context, &best, now_ms, observer);
    }
    else if (targets->remote_age_ms > REMOTE_FRESH_MS) {
        bool no_local = *verdict == BS_TARGET_NONE;
        S_fill_allowances(targets, list, query, &context, no_local, now_ms);
        best = S_cheapest(targets, list, query, &context, SELECT_ESTIMATED,
                          now_ms, verdict, observer);
    }
    targets->spilled = spilled;
    if (best.target != NULL) {
        *verdict = BS_TARGET_CHOSEN;
    }
    return spilled != NULL ? spilled : best.target;
}

BsTarget *
BsTargets_Choose(BsTargets *targets, const BsTargetQuery *query,
                 int64_t now_ms, BsTargetVerdict *verdict)
{
    return BsTargets_ChooseObserved(targets, query, now_ms, verdict, NULL);
}

int64_t
BsTargets_RequestedPauseMs(const BsTargets *targets,
                           const BsTargetQuery *query, int64_t now_ms)
{
    const GPtrArray *list =
        g_hash_table_lookup(targets->services, query->service->name);
    int64_t until_ms = INT64_MAX;
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (BsTarget_IsOpen(target, query, now_ms)) {
            until_ms = MIN(until_ms, target->requested_pause_until_ms);
        }
    }
    return until_ms == INT64_MAX ? 0 : MAX(until_ms - now_ms, 0);
}

bool
BsTargets_AreAllSilent(const BsTargets *targets, const BsTargetQuery *query,
                       int64_t now_ms)
{
    const GPtrArray *list =
        g_hash_table_lookup(targets->services, query->service->name);
    bool any = false;
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (BsTarget_IsOpen(target, query, now_ms)) {
            if (!target->silent) {
                return false;
            }
            any = true;
        }
    }
    return any;
}

double
BsTargets_Occupancy(const BsTargets *targets, const char *service,
                    int64_t now_ms, uint32_t *slots)
{
    const GPtrArray *list = g_hash_table_lookup(targets->services, service);
    uint32_t taken = 0;
    *slots = 0;
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (BsTarget_IsLeaving(target) || target->usable_until_ms <= now_ms ||
            target->closed) {
            continue;
        }
        uint32_t load = MIN(target->slots, BsTarget_Load(target));
        *slots += target->limit.per_s > 0 ? load : target->slots;
        taken += load;
    }
    return *slots == 0 ? 1.0 : (double)taken / *slots;
}
