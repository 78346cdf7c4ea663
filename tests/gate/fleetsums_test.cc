// Every sum over a fleet (the limit of an account, the limit of a cold
// upstream, one that an upstream names, the retry budget), on a logical clock:
// under its limit whatever is split, started or paused, and usable in calm.
#include "fleet_world.h"

extern "C" {
#include "quota.h"
}

namespace {

// The account: tokens.  The operators tolerate 110,000 tokens, where requests
// have some 1,500; here the slack is as many requests.
constexpr double kOver = 0.25;
constexpr double kSlack = 7300;
constexpr uint64_t kCost = 100;
constexpr int64_t kQuotaWindowMs = 8000;

// The cold upstream: requests.
constexpr double kColdPerS = 20;
constexpr int64_t kColdWindowMs = 1000;

// The upstream that names a limit in each answer: requests.  As in the soak,
// operators allow this factor on a window and these more, and an instance is
// bound from this time after its process got the first such answer.
constexpr double kNamedPerS = 20;
constexpr int64_t kNamedWindowMs = 4000;
constexpr double kNamedFactor = 1.5;
constexpr double kNamedSlack = 5;
constexpr int64_t kNamedToldMs = 500;

// The retry budget.
constexpr double kRatio = 0.2;
constexpr double kRetrySlack = 158;
constexpr int64_t kRetryWindowMs = 10000;
constexpr double kRequestsPerS = 50;

// Callers that ask for far more than each limit.
constexpr double kFlood = 3;
constexpr double kColdFloodPerS = 100;

constexpr int64_t kStepMs = 10;     // resolution of the counts
constexpr int64_t kTickMs = 50;     // between updates of the shares
constexpr int64_t kHubTickMs = 100; // the same in a fleet with hubs
constexpr int64_t kAwayMs = 300;

enum class Event {
    kNone,
    kShortSplit, // data centres are cut off for ten seconds, and return
    kLongSplit,  // data centres are cut off for over a minute, and return
    kStart,      // all instances at once
    kStartTwice,
    kStartOneByOne,
    kStartInSplit, // all, while data centres are cut off from each other
    kStartAlone,   // all, each cut off from all others
    kStartOfOneDataCentreInLongSplit,
    kPauseOfOne,
    kPauseOfAll,
};

struct FleetCase {
    const char *name;
    Event event;
};

void
PrintTo(const FleetCase &row, std::ostream *out)
{
    *out << row.name;
}

struct Size {
    const char *name;
    uint32_t data_centres;
    uint32_t per_data_centre;
    double per_s; // limit of the account: at least a request of each instance
};

void
PrintTo(const Size &size, std::ostream *out)
{
    *out << size.name;
}

// What was used of one sum, by step.
struct Sum {
    std::vector<double> used;

    void Add(int64_t now_ms, double by)
    {
        size_t step = (size_t)(now_ms / kStepMs);
        used.resize(std::max(used.size(), step + 1));
        used[step] += by;
    }
    double Between(int64_t from_ms, int64_t to_ms) const
    {
        double sum = 0;
        for (int64_t i = from_ms / kStepMs;
             i < std::min<int64_t>(to_ms / kStepMs, (int64_t)used.size());
             i++) {
            sum += used[(size_t)std::max<int64_t>(i, 0)];
        }
        return sum;
    }
    // The most in a window of MS since FROM_MS.
    double Most(int64_t ms, int64_t from_ms) const
    {
        const int64_t steps = ms / kStepMs;
        double most = 0;
        double sum = 0;
        for (int64_t i = from_ms / kStepMs; i < (int64_t)used.size(); i++) {
            sum += used[(size_t)i];
            if (i - steps >= from_ms / kStepMs) {
                sum -= used[(size_t)(i - steps)];
            }
            most = std::max(most, sum);
        }
        return most;
    }
};

class SumsTest : public FleetTest {
  protected:
    SumsTest()
    {
        account_.name = const_cast<char *>("acme");
        memset(&service_, 0, sizeof(service_));
        service_.name = const_cast<char *>("desk");
        service_.cold_per_s = kColdPerS;
        memset(&naming_, 0, sizeof(naming_));
        naming_.name = const_cast<char *>("naming");
        route_.regions = g_ptr_array_new();
    }
    ~SumsTest() override
    {
        for (auto &budget : budgets_) {
            BsRetryBudget_Destroy(budget.second);
        }
        g_ptr_array_unref(route_.regions);
    }
    void BuildFleet(const Size &size)
    {
        uint32_t per = size.per_data_centre;
        uint32_t all = per * size.data_centres;
        data_centres_ = size.data_centres;
        account_.per_s = size.per_s;
        account_.burst = size.per_s;
        for (uint32_t i = 0; i < all; i++) {
            world_.Add(1 + i / per, i % per < 3 ? 512 : 88);
        }
        world_.seeds = {kBaseAddress + 1, kBaseAddress + 1 + per,
                        kBaseAddress + all};
        for (auto &node : world_.nodes) {
            Start(node.get());
        }
    }
    static std::string Name(uint32_t data_centre)
    {
        return "dc" + std::to_string(data_centre);
    }
    void Start(Node *node)
    {
        BsQuotas_Destroy(node->quotas);
        node->quotas = BsQuotas_Create(kOver, kSlack);
        BsTargets_Destroy(node->targets);
        node->targets =
            BsTargets_Create(Name(node->data_centre).c_str(), "north");
        BsTargetEntry entry = {};
        entry.id = "u";
        entry.service = "desk";
        entry.data_centre = "dc1";
        entry.region = "north";
        entry.slots = 100000;
        entry.cold_ms = 10000000;
        BsTargets_Put(node->targets, &entry, world_.now_ms);
        entry.id = "v";
        entry.service = "naming";
        entry.cold_ms = 0;
        BsTargets_Put(node->targets, &entry, world_.now_ms);
        told_.erase(node);
        BsRetryBudget *&budget = budgets_[node];
        BsRetryBudget_Destroy(budget);
        budget = BsRetryBudget_Create(kRatio, kRetrySlack, kRetryWindowMs,
                                      world_.now_ms);
        world_.Start(node);
        Refresh(node);
    }
    // As a gateway does in each tick.
    void Refresh(Node *node)
    {
        BsGossip *gossip = BsFleetAgent_Gossip(node->agent);
        int64_t now_ms = world_.now_ms;
        double share = BsGossip_Share(gossip, now_ms);
        BsQuotas_Tick(node->quotas, now_ms);
        BsQuotas_SetShare(node->quotas, share);
        BsQuotas_SetInstances(node->quotas,
                              BsGossip_KnownAtMost(gossip, now_ms));
        BsQuotas_Track(node->quotas, &account_, now_ms);
        BsTargets_SetShare(node->targets, share);
        GArray *senders = g_array_new(FALSE, FALSE, sizeof(BsRateSender));
        BsGossip_AppendSenders(gossip, now_ms, senders);
        for (guint i = 0; i < senders->len; i++) {
            BsRateSender &sender = g_array_index(senders, BsRateSender, i);
            sender.data_centre =
                (uint32_t)BsTargets_Hash(Name(sender.data_centre).c_str());
        }
        BsTargets_SetSenders(node->targets, node->address, senders);
        g_array_unref(senders);
    }
    Node *AnyNode()
    {
        size_t count = callers_at_ == 0 ? world_.nodes.size() : callers_at_;
        return world_.nodes[world_.random() % count].get();
    }
    void AskQuota(Node *node)
    {
        asked_++;
        int64_t now_ms = world_.now_ms;
        if (BsQuotas_Take(node->quotas, &account_, kCost, false, now_ms) ==
                0 ||
            (has_spare_slots_ && BsQuotas_Take(node->quotas, &account_, kCost,
                                               true, now_ms) == 0)) {
            quota_.Add(world_.now_ms, kCost);
            BsFleetAgent_SendReports(node->agent, true, world_.now_ms);
        }
        else {
            refused_.Add(world_.now_ms, 1);
        }
    }
    void AskCold(Node *node)
    {
        BsTargetQuery query = {};
        BsTargetVerdict verdict;
        query.service = &service_;
        query.route = &route_;
        BsTarget *target =
            BsTargets_Choose(node->targets, &query, world_.now_ms, &verdict);
        if (target != nullptr) {
            BsTargets_Sent(node->targets, target, &query, world_.now_ms);
            cold_.Add(world_.now_ms, 1);
            BsFleetAgent_SendReports(node->agent, true, world_.now_ms);
        }
    }
    // Each request is answered at once, and the answer names the limit.
    void AskNaming(Node *node)
    {
        BsTargetQuery query = {};
        BsTargetVerdict verdict;
        int64_t now_ms = world_.now_ms;
        query.service = &naming_;
        query.route = &route_;
        BsTarget *target =
            BsTargets_Choose(node->targets, &query, now_ms, &verdict);
        if (target == nullptr) {
            return;
        }
        BsTargets_Sent(node->targets, target, &query, now_ms);
        int64_t told_ms = told_.insert({node, now_ms}).first->second;
        if (now_ms - told_ms >= kNamedToldMs) {
            named_.Add(now_ms, 1);
        }
        BsTargets_NoteLimit(target, kNamedPerS, now_ms, now_ms);
        BsTargets_Ended(node->targets, target, BS_TARGET_GOOD, 0, 0, now_ms);
        BsFleetAgent_SendReports(node->agent, true, now_ms);
    }
    void AskRetry(Node *node)
    {
        requests_.Add(world_.now_ms, 1);
        BsRetryBudget *budget = budgets_[node];
        unsigned instances = BsGossip_KnownAtMost(
            BsFleetAgent_Gossip(node->agent), world_.now_ms);
        BsRetryBudget_AddRequest(budget, "desk", world_.now_ms);
        for (int i = 0; i < 3; i++) {
            if (BsRetryBudget_Take(budget, "desk", instances, world_.now_ms)) {
                BsRetryBudget_Settle(budget, "desk", 1, world_.now_ms);
                retries_.Add(world_.now_ms, 1);
            }
        }
    }
    // Calls ASK for the requests of a millisecond, PER_S a second.
    void Ask(double per_s, double &due, void (SumsTest::*ask)(Node *))
    {
        for (due += per_s / 1000; due >= 1; due--) {
            Node *node = AnyNode();
            if (node->alive) {
                (this->*ask)(node);
            }
        }
    }
    void Step()
    {
        while (!starts_.empty() && starts_.begin()->first <= world_.now_ms) {
            Node *node = starts_.begin()->second;
            starts_.erase(starts_.begin());
            Start(node);
        }
        Ask(account_.per_s / kCost * load_, due_quota_, &SumsTest::AskQuota);
        if (load_ > 1) {
            Ask(kColdFloodPerS, due_cold_, &SumsTest::AskCold);
            Ask(kRequestsPerS, due_retry_, &SumsTest::AskRetry);
            Ask(kColdFloodPerS, due_named_, &SumsTest::AskNaming);
        }
        int64_t tick_ms = world_.nodes.size() > 24 ? kHubTickMs : kTickMs;
        for (auto &node : world_.nodes) {
            if (node->alive &&
                (world_.now_ms + node->address) % tick_ms == 0) {
                Refresh(node.get());
            }
        }
    }
    void Run(int64_t ms)
    {
        world_.Run(ms, [this] { Step(); });
    }
    void Kill(Node *node)
    {
        node->alive = false;
        starts_.insert({world_.now_ms + kAwayMs, node});
    }
    void KillAll()
    {
        for (auto &node : world_.nodes) {
            Kill(node.get());
        }
    }
    void CutDataCentres()
    {
        for (uint32_t dc = 1; dc <= data_centres_; dc++) {
            world_.isolated_data_centres.insert(dc);
        }
    }
    void CutAll()
    {
        for (auto &node : world_.nodes) {
            world_.disconnected.insert(node->address);
        }
    }
    void Heal()
    {
        world_.isolated_data_centres.clear();
        world_.disconnected.clear();
    }
    void Pause(size_t count, int64_t ms)
    {
        for (size_t i = 0; i < count; i++) {
            world_.nodes[i]->alive = false;
        }
        Run(ms);
        for (size_t i = 0; i < count; i++) {
            world_.nodes[i]->alive = true;
        }
    }
    void PlaySplit(Event event)
    {
        CutDataCentres();
        if (event == Event::kStartInSplit) {
            KillAll();
            Run(15000);
            return;
        }
        Run(event == Event::kShortSplit ? 10000 : 65000);
        if (event == Event::kStartOfOneDataCentreInLongSplit) {
            for (auto &node : world_.nodes) {
                if (node->data_centre == 1) {
                    Kill(node.get());
                }
            }
            Run(15000);
        }
        Heal();
    }
    void Play(Event event)
    {
        switch (event) {
        case Event::kShortSplit:
        case Event::kLongSplit:
        case Event::kStartInSplit:
        case Event::kStartOfOneDataCentreInLongSplit:
            PlaySplit(event);
            return;
        case Event::kStartTwice:
            KillAll();
            Run(4000);
            KillAll();
            return;
        case Event::kStart:
            KillAll();
            return;
        case Event::kStartOneByOne:
            for (auto &node : world_.nodes) {
                Kill(node.get());
                Run(5000 / (int64_t)world_.nodes.size());
            }
            return;
        case Event::kStartAlone:
            CutAll();
            KillAll();
            return;
        case Event::kPauseOfOne:
            Pause(1, 5000);
            return;
        case Event::kPauseOfAll:
            Pause(world_.nodes.size(), 5000);
            return;
        case Event::kNone:
            return;
        }
    }
    double RetryWorst(int64_t from_ms)
    {
        double worst = 0;
        for (int64_t end = from_ms + kRetryWindowMs; end <= world_.now_ms;
             end += 100) {
            double requests = 0;
            for (int64_t back : {int64_t{0}, kRetryWindowMs / 2}) {
                requests = std::max(
                    requests, requests_.Between(end - back - kRetryWindowMs,
                                                end - back));
            }
            worst =
                std::max(worst, retries_.Between(end - kRetryWindowMs, end) /
                                    (kRatio * requests + kRetrySlack));
        }
        return worst;
    }

    BsCatalogAccount account_ = {};
    BsCatalogService service_;
    BsCatalogService naming_; // of the upstream that names a limit
    BsCatalogRoute route_ = {};
    uint32_t data_centres_ = 0;
    std::map<Node *, BsRetryBudget *> budgets_;
    std::multimap<int64_t, Node *> starts_;
    double load_ = kFlood;         // of the account's limit
    bool has_spare_slots_ = false; // the tolerance may be used
    size_t callers_at_ = 0;        // instances that callers ask; 0: all
    double due_quota_ = 0;
    double due_cold_ = 0;
    double due_retry_ = 0;
    double due_named_ = 0;
    int asked_ = 0;
    Sum quota_;
    Sum cold_;
    Sum named_;
    std::map<Node *, int64_t> told_; // first answer that named the limit
    Sum requests_;
    Sum retries_;
    Sum refused_;
};

class FloodTest
    : public SumsTest,
      public testing::WithParamInterface<std::tuple<Size, FleetCase>> {};

// Guards against a fleet that uses more than a limit: parts that each take the
// whole of it, or processes that do not know what was used before them.
TEST_P(FloodTest, EverySumStaysUnderItsLimit)
{
    has_spare_slots_ = true;
    BuildFleet(std::get<0>(GetParam()));
    Run(13000);
    int64_t from_ms = world_.now_ms;
    Run(2000);
    Play(std::get<1>(GetParam()).event);
    Run(12000);
    double limit = account_.per_s * kQuotaWindowMs / 1000 + account_.burst;
    double allowed = limit * (1 + kOver) + kSlack;
    double quota = quota_.Most(kQuotaWindowMs, from_ms) / allowed;
    double cold = cold_.Most(kColdWindowMs, from_ms) /
                  (kColdPerS * kColdWindowMs / 1000);
    double named =
        named_.Most(kNamedWindowMs, from_ms) /
        (kNamedFactor * kNamedPerS * kNamedWindowMs / 1000 + kNamedSlack);
    double retries = RetryWorst(from_ms);
    printf("worst window: account %.3f, cold %.2f, named %.2f, retries %.2f "
           "of what is allowed\n",
           quota, cold, named, retries);
    EXPECT_LE(quota, 1);
    EXPECT_LE(cold, 1);
    EXPECT_LE(named, 1);
    EXPECT_GT(named, 0); /* the limit was asked for */
    EXPECT_LE(retries, 1);
}

class QuarterTest
    : public SumsTest,
      public testing::WithParamInterface<std::tuple<Size, FleetCase>> {};

// Guards against shares that are too small: an account that uses a quarter of
// its limit is refused, for seconds after a start or for as long as a split
// lasts.
TEST_P(QuarterTest, AnAccountWellUnderItsLimitIsServed)
{
    load_ = 0.25;
    BuildFleet(std::get<0>(GetParam()));
    Run(15000);
    int64_t from_ms = world_.now_ms;
    asked_ = 0;
    Play(std::get<1>(GetParam()).event);
    int64_t done_ms = world_.now_ms;
    Run(12000);
    double refused = refused_.Between(from_ms, world_.now_ms);
    double late = refused_.Between(done_ms + kAwayMs + 1000, world_.now_ms);
    printf("refused: %.0f of %d, %.0f of them later than a second after it\n",
           refused, asked_, late);
    EXPECT_EQ(late, 0);
    EXPECT_LE(refused, 0.02 * asked_);
}

class CalmTest : public SumsTest, public testing::WithParamInterface<Size> {
  protected:
    // Returns how much of the account's limit is used with callers at
    // CALLERS_AT instances.
    double Used(size_t callers_at)
    {
        callers_at_ = callers_at;
        Run(10000);
        int64_t from_ms = world_.now_ms;
        Run(10000);
        return quota_.Between(from_ms, world_.now_ms) / (account_.per_s * 10);
    }
};

// Guards against limits that cost refusals in calm: nine tenths of one are
// used, also by callers that ask one or two instances only.
TEST_P(CalmTest, NineTenthsOfALimitAreUsable)
{
    BuildFleet(GetParam());
    for (size_t callers_at : {0, 1, 2}) {
        double used = Used(callers_at);
        printf("used with callers at %zu instances (0: all): %.3f\n",
               callers_at, used);
        EXPECT_GE(used, 0.9) << callers_at;
    }
}

const Size kSizes[] = {
    {"3", 3, 1, 10000}, {"9", 3, 3, 10000}, {"295", 5, 59, 30000}};

const FleetCase kEvents[] = {
    {"None", Event::kNone},
    {"ShortSplit", Event::kShortSplit},
    {"LongSplit", Event::kLongSplit},
    {"Start", Event::kStart},
    {"StartTwice", Event::kStartTwice},
    {"StartOneByOne", Event::kStartOneByOne},
    {"StartInSplit", Event::kStartInSplit},
    {"StartAlone", Event::kStartAlone},
    {"StartOfOneDataCentreInLongSplit",
     Event::kStartOfOneDataCentreInLongSplit},
    {"PauseOfOne", Event::kPauseOfOne},
    {"PauseOfAll", Event::kPauseOfAll},
};

const FleetCase kServed[] = {
    {"None", Event::kNone},
    {"ShortSplit", Event::kShortSplit},
    {"LongSplit", Event::kLongSplit},
    {"Start", Event::kStart},
    {"StartOneByOne", Event::kStartOneByOne},
    {"PauseOfOne", Event::kPauseOfOne},
    {"PauseOfAll", Event::kPauseOfAll},
};

std::string
Name(const testing::TestParamInfo<std::tuple<Size, FleetCase>> &info)
{
    return std::string(std::get<1>(info.param).name) + "Of" +
           std::get<0>(info.param).name;
}

INSTANTIATE_TEST_SUITE_P(Flood, FloodTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::ValuesIn(kEvents)),
                         Name);

INSTANTIATE_TEST_SUITE_P(Quarter, QuarterTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::ValuesIn(kServed)),
                         Name);

INSTANTIATE_TEST_SUITE_P(Calm, CalmTest, testing::ValuesIn(kSizes),
                         [](const testing::TestParamInfo<Size> &info) {
                             return std::string("Of") + info.param.name;
                         });

} // namespace
