/* targets.c - the upstreams an instance may send to, and the choice of one. */
#include "targets.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Pause after a first failure in a row; each further one doubles it.  A
   restart takes some seconds, so later tries may be rarer. */
#define RETRY_FIRST_MS 300
#define RETRY_MAX_MS 2400

/* Pause after a refusal: about one request's run. */
#define REFUSED_PAUSE_MS 60

/* Weight of the newest sample in the recent error ratio and pace. */
#define ERROR_WEIGHT 0.08
#define PACE_WEIGHT 0.15

/* Error ratio above the service's best that is taken for chance. */
#define ERROR_TOLERATED 0.12

/* Cost of a certain error, in the unit of the choice. */
#define ERROR_COST_MS 1500.0

/* Typical engine: only the relation of the two matters for the choice.  From
   the engines' sheets: a step of some 5 ms, some 45 prompt tokens a ms. */
#define STEP_MS 5.0
#define PREFILL_TOKENS_PER_MS 45.0

/* Typical time of a plain request, in the same unit. */
#define PLAIN_MS 40.0

/* Cost of sending a request over a link; a round trip and its price. */
#define OTHER_DATA_CENTRE_COST_MS 8.0
#define OTHER_REGION_COST_MS 60.0

/* Counts of other data centres older than this do not tell which of their
   upstreams has a place: all that look at them see the same ones. */
#define FAR_FRESH_MS 50

/* Places that must seem free at such an upstream, and requests of ours that it
   may have at a time. */
#define FAR_FREE_PLACES 2
#define FAR_OWN_MAX 1

/* Cost added by chance there, so that not all choose the same one. */
#define FAR_SPREAD_MS 200

/* Part of an instance whose own data centre has no upstream: its neighbours
   need places elsewhere, too, and the others do not. */
#define FAR_NEEDY_PART 5.0

/* Cost of a cold target, so that it comes last. */
#define COLD_COST_MS 400.0

/* Part of the cold limit that is used, as counts of peers come late. */
#define COLD_USED 0.8

/* Instances that may send to a cold target, as a part of its requests a
   second. */
#define COLD_SENDERS 0.2

/* How long peers are told of a cold spell that is over. */
#define COLD_TOLD_MS 2000

/* Burst of a cold target, in seconds of its rate. */
#define COLD_BURST_S 0.25

#define MS_PER_S 1000.0

typedef struct {
    GArray *loads; /* BsTargetLoad */
} BsTargetPeer;

/* What this instance may send to another data centre whose load is guessed. */
typedef struct {
    double level; /* requests */
    int64_t filled_ms;
    uint32_t free; /* places that seem free there, while choosing */
} BsTargetAllowance;

struct BsTargets {
    GHashTable *by_id;    /* id to BsTarget */
    GHashTable *by_hash;  /* uint64_t to BsTarget, not owned */
    GHashTable *services; /* name to GPtrArray of BsTarget, not owned */
    GHashTable *closed;   /* set of data centres */
    GHashTable *peers;    /* number to BsTargetPeer */
    char *data_centre;
    char *region;
    double share;
    int64_t far_age_ms;
    GHashTable *allowances; /* data centre to BsTargetAllowance */
    uint32_t address;
    GArray *senders; /* BsTargetSender; empty while alone */
};

uint64_t
BsTargets_Hash(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

static void
S_destroy_target(gpointer data)
{
    BsTarget *target = data;
    g_free(target->id);
    g_free(target->service);
    g_free(target->data_centre);
    g_free(target->region);
    g_free(target);
}

static void
S_destroy_list(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

static void
S_destroy_peer(gpointer data)
{
    BsTargetPeer *peer = data;
    g_array_free(peer->loads, TRUE);
    g_free(peer);
}

BsTargets *
BsTargets_Create(const char *data_centre, const char *region)
{
    BsTargets *targets = g_new0(BsTargets, 1);
    targets->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_target);
    targets->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    targets->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_destroy_list);
    targets->closed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    targets->peers = g_hash_table_new_full(NULL, NULL, NULL, S_destroy_peer);
    targets->data_centre = g_strdup(data_centre);
    targets->region = g_strdup(region);
    targets->share = 1.0;
    targets->allowances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    targets->senders = g_array_new(FALSE, FALSE, sizeof(BsTargetSender));
    return targets;
}

void
BsTargets_Destroy(BsTargets *targets)
{
    if (targets == NULL) {
        return;
    }
    g_array_unref(targets->senders);
    g_hash_table_destroy(targets->allowances);
    g_hash_table_destroy(targets->peers);
    g_hash_table_destroy(targets->closed);
    g_hash_table_destroy(targets->services);
    g_hash_table_destroy(targets->by_hash);
    g_hash_table_destroy(targets->by_id);
    g_free(targets->data_centre);
    g_free(targets->region);
    g_free(targets);
}

/* ----------------------------------------------------------- listing -- */

static GPtrArray *
S_service_list(BsTargets *targets, const char *service)
{
    GPtrArray *list = g_hash_table_lookup(targets->services, service);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(targets->services, g_strdup(service), list);
    }
    return list;
}

static void
S_set_text(char **field, const char *text)
{
    if (g_strcmp0(*field, text) != 0) {
        g_free(*field);
        *field = g_strdup(text);
    }
}

/* Returns the requests that the peers told for the upstream HASH. */
static uint32_t
S_peer_load(const BsTargets *targets, uint64_t hash)
{
    uint32_t load = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GArray *loads = ((BsTargetPeer *)value)->loads;
        for (guint i = 0; i < loads->len; i++) {
            const BsTargetLoad *told = &g_array_index(loads, BsTargetLoad, i);
            load += told->hash == hash ? told->in_flight : 0;
        }
    }
    return load;
}

static BsTarget *
S_add(BsTargets *targets, const BsTargetEntry *entry)
{
    BsTarget *target = g_new0(BsTarget, 1);
    target->id = g_strdup(entry->id);
    target->service = g_strdup(entry->service);
    target->hash = BsTargets_Hash(entry->id);
    target->gone_at_ms = INT64_MAX;
    target->others = S_peer_load(targets, target->hash);
    g_hash_table_insert(targets->by_id, target->id, target);
    g_hash_table_insert(targets->by_hash, &target->hash, target);
    g_ptr_array_add(S_service_list(targets, entry->service), target);
    return target;
}

static void
S_move_service(BsTargets *targets, BsTarget *target, const char *service)
{
    if (strcmp(target->service, service) == 0) {
        return;
    }
    g_ptr_array_remove(S_service_list(targets, target->service), target);
    S_set_text(&target->service, service);
    g_ptr_array_add(S_service_list(targets, service), target);
}

/* Forgets what was learned of an earlier start. */
static void
S_forget(BsTarget *target)
{
    target->failures = 0;
    target->retry_at_ms = 0;
    target->error_ratio = 0;
    target->pace_ms = 0;
    target->cold_level = 0;
    target->was_down = false;
}

/* Returns whether ENTRY was written before what is known of TARGET. */
static bool
S_is_outdated(const BsTarget *target, const BsTargetEntry *entry)
{
    return entry->born_ms < target->born_ms ||
           (entry->born_ms == target->born_ms &&
            entry->sequence < target->sequence);
}

bool
BsTargets_Put(BsTargets *targets, const BsTargetEntry *entry, int64_t now_ms)
{
    BsTarget *target = BsTargets_Find(targets, entry->id);
    bool is_new = target == NULL;
    if (is_new) {
        target = S_add(targets, entry);
    }
    else if (S_is_outdated(target, entry)) {
        return false;
    }
    if (target->born_ms != entry->born_ms || target->gone_at_ms < now_ms) {
        S_forget(target);
    }
    S_move_service(targets, target, entry->service);
    S_set_text(&target->data_centre, entry->data_centre);
    S_set_text(&target->region, entry->region);
    target->address = entry->address;
    target->slots = entry->slots;
    target->born_ms = entry->born_ms;
    target->sequence = entry->sequence;
    target->draining = entry->draining;
    target->gone_at_ms = INT64_MAX;
    BsTargets_SetCold(target, entry->cold_ms, now_ms);
    return is_new;
}

bool
BsTargets_Remove(BsTargets *targets, const char *id, int64_t keep_ms,
                 int64_t now_ms)
{
    BsTarget *target = BsTargets_Find(targets, id);
    if (target == NULL || target->gone_at_ms != INT64_MAX) {
        return false;
    }
    target->gone_at_ms = now_ms + keep_ms;
    return true;
}

void
BsTargets_SetClosed(BsTargets *targets, const char *data_centre, bool closed)
{
    if (closed) {
        g_hash_table_add(targets->closed, g_strdup(data_centre));
    }
    else {
        g_hash_table_remove(targets->closed, data_centre);
    }
}

BsTarget *
BsTargets_Find(const BsTargets *targets, const char *id)
{
    return g_hash_table_lookup(targets->by_id, id);
}

unsigned
BsTargets_Listed(const BsTargets *targets)
{
    unsigned listed = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        listed += ((BsTarget *)value)->gone_at_ms == INT64_MAX;
    }
    return listed;
}

void
BsTargets_SetShare(BsTargets *targets, double share)
{
    targets->share = share;
}

/* -------------------------------------------------------------- cold -- */

static bool
S_is_cold(const BsTarget *target, int64_t now_ms)
{
    return target->cold_until_ms > now_ms;
}

void
BsTargets_SetCold(BsTarget *target, int64_t cold_ms, int64_t now_ms)
{
    if (cold_ms <= 0) {
        target->cold_until_ms = MIN(target->cold_until_ms, now_ms);
        return;
    }
    if (!S_is_cold(target, now_ms)) {
        target->cold_filled_ms = now_ms;
        target->cold_level = 1;
    }
    target->cold_until_ms = now_ms + cold_ms;
}

void
BsTargets_SetSenders(BsTargets *targets, uint32_t address,
                     const GArray *senders)
{
    targets->address = address;
    g_array_set_size(targets->senders, 0);
    g_array_append_vals(targets->senders, senders->data, senders->len);
}

/* Returns how many instances, of data centre DATA_CENTRE or (0) of all, come
   before this one in the order of senders to TARGET; FOUND counts all. */
static unsigned
S_senders_before(const BsTargets *targets, const BsTarget *target,
                 uint32_t data_centre, unsigned *found)
{
    uint64_t own[2] = {target->hash, targets->address};
    uint64_t own_rank = XXH3_64bits(own, sizeof(own));
    unsigned before = 0;
    *found = 0;
    for (guint i = 0; i < targets->senders->len; i++) {
        const BsTargetSender *sender =
            &g_array_index(targets->senders, BsTargetSender, i);
        if (data_centre != 0 && sender->data_centre != data_centre) {
            continue;
        }
        uint64_t pair[2] = {target->hash, sender->address};
        (*found)++;
        before += XXH3_64bits(pair, sizeof(pair)) < own_rank;
    }
    return before;
}

/* Returns whether this instance is one of the few that send to the cold
   TARGET: requests that several send in the same moment cannot be counted in
   time, so there must be fewer senders than the limit bears.  Those of its
   data centre hear each other soonest. */
static bool
S_sends_to_cold(const BsTargets *targets, const BsTarget *target,
                const BsCatalogService *service)
{
    unsigned senders = (unsigned)MAX(1, service->cold_per_s * COLD_SENDERS);
    uint32_t near = (uint32_t)BsTargets_Hash(target->data_centre);
    unsigned found;
    unsigned before = S_senders_before(targets, target, near, &found);
    if (found == 0) {
        before = S_senders_before(targets, target, 0, &found);
    }
    else if (strcmp(target->data_centre, targets->data_centre) != 0) {
        return false;
    }
    return before < senders;
}

/* Returns whether a cold target may get one more request now. */
static bool
S_bears_cold(const BsTargets *targets, BsTarget *target,
             const BsCatalogService *service, int64_t now_ms)
{
    if (service->cold_per_s <= 0) {
        return true;
    }
    if (!S_sends_to_cold(targets, target, service)) {
        return false;
    }
    double per_s = service->cold_per_s * COLD_USED * targets->share;
    double most = MAX(1.0, per_s * COLD_BURST_S);
    double passed_s = (double)(now_ms - target->cold_filled_ms) / MS_PER_S;
    target->cold_level = MIN(most, target->cold_level + passed_s * per_s);
    target->cold_filled_ms = now_ms;
    return target->cold_level >= 1;
}

/* ------------------------------------------------------------ choice -- */

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

/* Returns whether the target may get new work by what the operators and the
   platform say. */
static bool
S_is_open(const BsTargets *targets, const BsTarget *target,
          const BsTargetQuery *query, int64_t now_ms)
{
    return !target->draining && target->gone_at_ms > now_ms &&
           target->region != NULL &&
           !g_hash_table_contains(targets->closed, target->data_centre) &&
           !S_is_excluded(query, target->id) &&
           BsCatalog_AllowsRegion(query->route, query->account,
                                  target->region);
}

static uint32_t
S_load(const BsTarget *target)
{
    return target->own + target->others;
}

/* Returns the time of an event or answer relative to the service's usual
   one. */
static double
S_pace(const BsTarget *target, double usual_ms)
{
    if (target->pace_ms <= 0 || usual_ms <= 0) {
        return 1.0;
    }
    return CLAMP(target->pace_ms / usual_ms, 0.2, 5.0);
}

typedef struct {
    double usual_pace_ms;
    double best_error;
    const BsTarget *home; /* where the session's prompt is likely kept */
} BsTargetContext;

/* Returns the rendezvous weight of TARGET for SESSION. */
static uint64_t
S_weight(const BsTarget *target, uint64_t session)
{
    uint64_t pair[2] = {target->hash, session};
    return XXH3_64bits(pair, sizeof(pair));
}

static BsTargetContext
S_survey(const BsTargets *targets, const GPtrArray *list,
         const BsTargetQuery *query, int64_t now_ms)
{
    BsTargetContext context = {0, 1.0, NULL};
    uint64_t best_weight = 0;
    unsigned paced = 0;
    for (guint i = 0; i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (!S_is_open(targets, target, query, now_ms)) {
            continue;
        }
        context.best_error = MIN(context.best_error, target->error_ratio);
        if (target->pace_ms > 0) {
            context.usual_pace_ms += target->pace_ms;
            paced++;
        }
        uint64_t weight = S_weight(target, query->session);
        if (query->session != 0 && weight >= best_weight) {
            best_weight = weight;
            context.home = target;
        }
    }
    if (paced > 0) {
        context.usual_pace_ms /= paced;
    }
    return context;
}

/* Returns what the request costs at TARGET; lower is better. */
static double
S_cost(const BsTargets *targets, const BsTarget *target,
       const BsTargetQuery *query, const BsTargetContext *context,
       int64_t now_ms)
{
    double pace = S_pace(target, context->usual_pace_ms);
    double error = target->error_ratio - context->best_error;
    double cost;
    if (query->service->engine) {
        double own = target == context->home ? 0 : query->prompt_tokens;
        double waiting = (double)target->own_waiting_tokens;
        cost = pace * ((own + waiting) / PREFILL_TOKENS_PER_MS +
                       STEP_MS * query->output_tokens / 4);
        cost += pace * STEP_MS * 4 * S_load(target);
    }
    else {
        cost = pace * PLAIN_MS * (1.0 + (double)S_load(target));
    }
    if (error > ERROR_TOLERATED) {
        cost += (error - ERROR_TOLERATED) * ERROR_COST_MS;
    }
    if (strcmp(target->region, targets->region) != 0) {
        cost += OTHER_REGION_COST_MS;
    }
    else if (strcmp(target->data_centre, targets->data_centre) != 0) {
        cost += OTHER_DATA_CENTRE_COST_MS;
    }
    if (S_is_cold(target, now_ms)) {
        cost += COLD_COST_MS;
    }
    return cost;
}

void
BsTargets_SetFarAge(BsTargets *targets, int64_t age_ms)
{
    targets->far_age_ms = age_ms;
}

/* Returns whether what is known of the load of TARGET is old. */
static bool
S_is_guessed(const BsTargets *targets, const BsTarget *target)
{
    return targets->far_age_ms > FAR_FRESH_MS &&
           strcmp(target->data_centre, targets->data_centre) != 0;
}

static bool
S_has_place(const BsTargets *targets, const BsTarget *target)
{
    if (S_is_guessed(targets, target)) {
        return S_load(target) + FAR_FREE_PLACES <= target->slots &&
               target->own < FAR_OWN_MAX;
    }
    return S_load(target) < target->slots;
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

/* Counts the places that seem free in each other data centre. */
static void
S_count_free(BsTargets *targets, const GPtrArray *list,
             const BsTargetQuery *query, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->allowances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((BsTargetAllowance *)value)->free = 0;
    }
    for (guint i = 0; i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (S_is_guessed(targets, target) && target->failures == 0 &&
            S_is_open(targets, target, query, now_ms)) {
            S_allowance(targets, target->data_centre)->free +=
                target->slots - MIN(target->slots, S_load(target));
        }
    }
}

/* Shares the places that seem free elsewhere among all instances that may look
   at them before they hear of each other. */
static void
S_fill_allowances(BsTargets *targets, const GPtrArray *list,
                  const BsTargetQuery *query, bool needy, int64_t now_ms)
{
    double takers = MAX(targets->senders->len, 1);
    GHashTableIter iter;
    gpointer value;
    S_count_free(targets, list, query, now_ms);
    g_hash_table_iter_init(&iter, targets->allowances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsTargetAllowance *allowance = value;
        double ages = (double)(now_ms - allowance->filled_ms) /
                      (double)targets->far_age_ms;
        double share = allowance->free * (needy ? FAR_NEEDY_PART : 1) / takers;
        allowance->level = MIN(allowance->level + ages * share, MAX(share, 1));
        allowance->filled_ms = now_ms;
    }
}

/* Returns whether one more request may go to the data centre of TARGET. */
static bool
S_is_allowed(BsTargets *targets, const BsTarget *target)
{
    const BsTargetAllowance *allowance =
        S_allowance(targets, target->data_centre);
    return allowance->level >= 1;
}

/* Returns a cost that differs by instance, target and time. */
static double
S_chance(const BsTargets *targets, const BsTarget *target, int64_t now_ms)
{
    uint64_t parts[3] = {target->hash, targets->address, (uint64_t)now_ms};
    return (double)(XXH3_64bits(parts, sizeof(parts)) % FAR_SPREAD_MS);
}

/* Returns whether TARGET is believed to answer.  One that failed is tried
   again with a single request once its pause is over. */
static bool
S_is_believed(const BsTarget *target, int64_t now_ms)
{
    if (target->failures == 0) {
        return target->retry_at_ms <= now_ms;
    }
    return target->retry_at_ms <= now_ms && target->own == 0;
}

/* Adds what stands in the way of TARGET to VERDICT: the least hopeless of all
   targets counts. */
static bool
S_is_free(const BsTargets *targets, BsTarget *target,
          const BsTargetQuery *query, int64_t now_ms, BsTargetVerdict *verdict)
{
    if (!S_is_open(targets, target, query, now_ms)) {
        return false;
    }
    if (!S_is_believed(target, now_ms) || !S_has_place(targets, target)) {
        *verdict = MIN(*verdict, BS_TARGET_BUSY);
        return false;
    }
    if (S_is_cold(target, now_ms) &&
        !S_bears_cold(targets, target, query->service, now_ms)) {
        *verdict = MIN(*verdict, BS_TARGET_COLD);
        return false;
    }
    return true;
}

/* Returns the cheapest free target, with known (GUESSED false) or guessed
   load. */
static BsTarget *
S_cheapest(BsTargets *targets, const GPtrArray *list,
           const BsTargetQuery *query, const BsTargetContext *context,
           bool guessed, int64_t now_ms, BsTargetVerdict *verdict)
{
    BsTarget *best = NULL;
    double best_cost = HUGE_VAL;
    for (guint i = 0; i < list->len; i++) {
        BsTarget *target = list->pdata[i];
        if (S_is_guessed(targets, target) != guessed ||
            !S_is_free(targets, target, query, now_ms, verdict) ||
            (guessed && !S_is_allowed(targets, target))) {
            continue;
        }
        double cost = S_cost(targets, target, query, context, now_ms);
        if (guessed) {
            cost += S_chance(targets, target, now_ms);
        }
        if (cost < best_cost) {
            best = target;
            best_cost = cost;
        }
    }
    return best;
}

BsTarget *
BsTargets_Choose(BsTargets *targets, const BsTargetQuery *query,
                 int64_t now_ms, BsTargetVerdict *verdict)
{
    const GPtrArray *list =
        g_hash_table_lookup(targets->services, query->service->name);
    *verdict = BS_TARGET_NONE;
    if (list == NULL) {
        return NULL;
    }
    BsTargetContext context = S_survey(targets, list, query, now_ms);
    BsTarget *best =
        S_cheapest(targets, list, query, &context, false, now_ms, verdict);
    if (best == NULL && targets->far_age_ms > FAR_FRESH_MS) {
        bool needy = *verdict == BS_TARGET_NONE;
        S_fill_allowances(targets, list, query, needy, now_ms);
        best =
            S_cheapest(targets, list, query, &context, true, now_ms, verdict);
    }
    if (best != NULL) {
        *verdict = BS_TARGET_CHOSEN;
    }
    return best;
}

double
BsTargets_Occupancy(const BsTargets *targets, const char *service,
                    int64_t now_ms, uint32_t *places)
{
    const GPtrArray *list = g_hash_table_lookup(targets->services, service);
    uint32_t taken = 0;
    *places = 0;
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        if (target->draining || target->gone_at_ms <= now_ms ||
            g_hash_table_contains(targets->closed, target->data_centre)) {
            continue;
        }
        *places += target->slots;
        taken += MIN(target->slots, S_load(target));
    }
    return *places == 0 ? 1.0 : (double)taken / *places;
}

/* -------------------------------------------------------- experience -- */

void
BsTargets_Sent(BsTargets *targets, BsTarget *target,
               const BsTargetQuery *query, int64_t now_ms)
{
    if (S_is_guessed(targets, target)) {
        S_allowance(targets, target->data_centre)->level -= 1;
    }
    target->own++;
    target->cold_ms = query->service->cold_ms;
    target->own_waiting_tokens += query->prompt_tokens;
    if (S_is_cold(target, now_ms)) {
        target->cold_sent++;
        target->cold_level -= 1;
    }
}

void
BsTargets_Heard(BsTarget *target, int64_t now_ms)
{
    target->heard_ms = now_ms;
}

void
BsTargets_Started(BsTarget *target, uint32_t prompt_tokens)
{
    target->own_waiting_tokens -=
        MIN(target->own_waiting_tokens, prompt_tokens);
}

/* Returns the pause that begins; 0 when one is under way. */
static int64_t
S_note_failure(BsTarget *target, int64_t now_ms)
{
    uint32_t doublings = MIN(target->failures, 8);
    int64_t pause_ms = MIN((int64_t)RETRY_FIRST_MS << doublings, RETRY_MAX_MS);
    /* Requests that were under way together fail together: one failure. */
    target->failed_at_ms = now_ms;
    if (target->failures > 0 && target->retry_at_ms > now_ms) {
        /* Several requests that break together: it crashed, and may be back
           before anyone has seen it refuse a connection. */
        target->was_down = true;
        return 0;
    }
    target->failures++;
    target->retry_at_ms = now_ms + pause_ms;
    return pause_ms;
}

/* A target that took no connections was down, and is cold when it is back; the
   platform may tell so late, or not while its store is away. */
static void
S_note_return(BsTarget *target, int64_t now_ms)
{
    if (target->was_down) {
        target->was_down = false;
        BsTargets_SetCold(target, target->cold_ms, now_ms);
    }
}

static void
S_note_error(BsTarget *target, double error)
{
    target->error_ratio += ERROR_WEIGHT * (error - target->error_ratio);
}

static void
S_note_pace(BsTarget *target, double pace_ms)
{
    if (pace_ms <= 0) {
        return;
    }
    target->pace_ms =
        target->pace_ms <= 0
            ? pace_ms
            : target->pace_ms + PACE_WEIGHT * (pace_ms - target->pace_ms);
}

/* Drops a target that is off the list and has no request of ours. */
static void
S_drop_if_gone(BsTargets *targets, BsTarget *target, int64_t now_ms)
{
    if (target->gone_at_ms > now_ms || target->own > 0) {
        return;
    }
    g_ptr_array_remove(S_service_list(targets, target->service), target);
    g_hash_table_remove(targets->by_hash, &target->hash);
    g_hash_table_remove(targets->by_id, target->id);
}

int64_t
BsTargets_Ended(BsTargets *targets, BsTarget *target, BsTargetEnd end,
                double pace_ms, uint32_t prompt_tokens, int64_t now_ms)
{
    int64_t pause_ms = 0;
    target->own -= target->own > 0;
    BsTargets_Started(target, prompt_tokens);
    switch (end) {
    case BS_TARGET_GOOD:
        S_note_return(target, now_ms);
        target->failures = 0;
        S_note_error(target, 0);
        S_note_pace(target, pace_ms);
        break;
    case BS_TARGET_ERROR:
        S_note_return(target, now_ms);
        target->failures = 0;
        S_note_error(target, 1);
        break;
    case BS_TARGET_REFUSED:
        target->retry_at_ms =
            MAX(target->retry_at_ms, now_ms + REFUSED_PAUSE_MS);
        break;
    case BS_TARGET_UNREACHED:
        target->was_down = true;
        S_note_error(target, 1);
        pause_ms = S_note_failure(target, now_ms);
        break;
    case BS_TARGET_MISDIRECTED:
        /* It is not at its address; off the list, it is gone. */
        target->gone_at_ms =
            target->gone_at_ms == INT64_MAX ? INT64_MAX : now_ms;
        S_note_error(target, 1);
        pause_ms = S_note_failure(target, now_ms);
        break;
    case BS_TARGET_BROKE:
        S_note_error(target, 1);
        pause_ms = S_note_failure(target, now_ms);
        break;
    case BS_TARGET_ABANDONED:
        break;
    }
    S_drop_if_gone(targets, target, now_ms);
    return pause_ms;
}

void
BsTargets_Prune(BsTargets *targets, int64_t now_ms)
{
    GList *all = g_hash_table_get_values(targets->by_id);
    for (GList *node = all; node != NULL; node = node->next) {
        S_drop_if_gone(targets, node->data, now_ms);
    }
    g_list_free(all);
}

/* ------------------------------------------------------------- peers -- */

static BsTarget *
S_by_hash(const BsTargets *targets, uint64_t hash)
{
    return g_hash_table_lookup(targets->by_hash, &hash);
}

static void
S_subtract(BsTargets *targets, const BsTargetPeer *peer)
{
    for (guint i = 0; i < peer->loads->len; i++) {
        const BsTargetLoad *load =
            &g_array_index(peer->loads, BsTargetLoad, i);
        BsTarget *target = S_by_hash(targets, load->hash);
        if (target != NULL) {
            target->others -= MIN(target->others, load->in_flight);
        }
    }
}

static uint32_t
S_cold_sent(const GArray *loads, uint64_t hash)
{
    for (guint i = 0; i < loads->len; i++) {
        const BsTargetLoad *load = &g_array_index(loads, BsTargetLoad, i);
        if (load->hash == hash) {
            return load->cold_sent;
        }
    }
    return 0;
}

static void
S_add_load(BsTargets *targets, const BsTargetPeer *before,
           const BsTargetLoad *load, int64_t now_ms)
{
    BsTarget *target = S_by_hash(targets, load->hash);
    if (target == NULL) {
        return;
    }
    target->others += load->in_flight;
    uint32_t known = S_cold_sent(before->loads, load->hash);
    if (S_is_cold(target, now_ms) && load->cold_sent > known) {
        target->cold_level -= load->cold_sent - known;
    }
}

void
BsTargets_SetPeer(BsTargets *targets, uint32_t peer, const GArray *loads,
                  int64_t now_ms)
{
    BsTargetPeer *held =
        g_hash_table_lookup(targets->peers, GUINT_TO_POINTER(peer));
    if (held == NULL) {
        held = g_new0(BsTargetPeer, 1);
        held->loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
        g_hash_table_insert(targets->peers, GUINT_TO_POINTER(peer), held);
    }
    S_subtract(targets, held);
    for (guint i = 0; i < loads->len; i++) {
        S_add_load(targets, held, &g_array_index(loads, BsTargetLoad, i),
                   now_ms);
    }
    g_array_set_size(held->loads, 0);
    g_array_append_vals(held->loads, loads->data, loads->len);
}

void
BsTargets_DropPeer(BsTargets *targets, uint32_t peer)
{
    BsTargetPeer *held =
        g_hash_table_lookup(targets->peers, GUINT_TO_POINTER(peer));
    if (held != NULL) {
        S_subtract(targets, held);
        g_hash_table_remove(targets->peers, GUINT_TO_POINTER(peer));
    }
}

uint32_t
BsTargets_PeerLoad(const BsTargets *targets)
{
    uint32_t load = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        load += ((BsTarget *)value)->others;
    }
    return load;
}

/* Forgets how many requests an earlier cold spell saw, once peers have had
   time to hear of them. */
static void
S_end_cold_spell(BsTarget *target, int64_t now_ms)
{
    if (target->cold_sent > 0 &&
        now_ms - target->cold_until_ms > COLD_TOLD_MS) {
        target->cold_sent = 0;
    }
}

void
BsTargets_AppendLoads(BsTargets *targets, int64_t now_ms, GArray *loads)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsTarget *target = value;
        S_end_cold_spell(target, now_ms);
        if (target->own > 0 || target->cold_sent > 0) {
            BsTargetLoad load = {target->hash, target->own, target->cold_sent};
            g_array_append_val(loads, load);
        }
    }
}
