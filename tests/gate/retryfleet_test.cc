// Repeats of a whole fleet whose upstreams all fail, on a logical clock: each
// repeat that a budget grants is sent.  Counted are those of all instances, in
// touch or not, restarted or not.
#include "fleet_world.h"

extern "C" {
#include "quota.h"
}

namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 58;
constexpr int64_t kWindowMs = 10000;
constexpr int64_t kStepMs = 50; // resolution of the counts

// From a process's start until it is asked for the first request, and the time
// that a killed one is away.
constexpr int64_t kReadyMs = 50;
constexpr int64_t kAwayMs = 300;

// Times that one request is sent again at most.
constexpr int kRepeatsMax = 3;

enum class Load {
    kSteady,
    kPulses, // in a tenth of the time
};

enum class Event {
    kNone,
    kAllOnce,
    kAllTwice,
    kAllEveryThreeSeconds,
    kRolling,
    kAllInSplitFleet, // all restart while data centres are cut off
    kAllAlone,        // all restart, each cut off from all others
    kOneDataCentreInSplit,
    kLongSplit,           // data centres are cut off for over a minute
    kLongSplitAndRestart, // and restart after it
    kLate,                // repeats wait for slots, or upstreams are paused
};

struct FleetCase {
    const char *name;
    Event event;
    Load load;
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
    double requests_per_s;
};

void
PrintTo(const Size &size, std::ostream *out)
{
    *out << size.name;
}

struct Service {
    const char *name;
    double share;              // of all requests
    double due;                // requests that have not been sent yet
    std::vector<int> requests; // by step
    std::vector<int> repeats;
};

struct Process {
    BsRetryBudget *budget;
    int64_t started_ms;
};

class RetryFleetTest
    : public FleetTest,
      public testing::WithParamInterface<std::tuple<Size, FleetCase>> {
  protected:
    ~RetryFleetTest() override
    {
        for (auto &process : processes_) {
            BsRetryBudget_Destroy(process.second.budget);
        }
    }
    const Size &size()
    {
        return std::get<0>(GetParam());
    }
    void BuildFleet()
    {
        uint32_t per = size().per_data_centre;
        uint32_t all = per * size().data_centres;
        for (uint32_t i = 0; i < all; i++) {
            world_.Add(1 + i / per, i % per < 3 ? 512 : 88);
        }
        world_.seeds = {kBaseAddress + 1, kBaseAddress + 1 + per,
                        kBaseAddress + all};
        for (auto &node : world_.nodes) {
            Start(node.get());
        }
    }
    void Start(Node *node)
    {
        world_.Start(node);
        Process &process = processes_[node->address];
        BsRetryBudget_Destroy(process.budget);
        process.started_ms = world_.now_ms;
        process.budget = BsRetryBudget_Create(kRatio, kSlack, kWindowMs,
                                              process.started_ms);
    }
    // The number of instances that a gateway goes by.
    unsigned Instances(const Node *node)
    {
        return BsGossip_KnownAtMost(BsFleetAgent_Gossip(node->agent),
                                    world_.now_ms);
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
    void KillDataCentre(uint32_t data_centre)
    {
        for (auto &node : world_.nodes) {
            if (node->data_centre == data_centre) {
                Kill(node.get());
            }
        }
    }
    bool IsReady(const Node *node)
    {
        return node->alive &&
               world_.now_ms - processes_[node->address].started_ms >=
                   kReadyMs;
    }
    // Returns an instance that takes callers' requests; NULL: none does.
    Node *AnyReady()
    {
        size_t first = world_.random() % world_.nodes.size();
        for (size_t i = 0; i < world_.nodes.size(); i++) {
            Node *node = world_.nodes[(first + i) % world_.nodes.size()].get();
            if (IsReady(node)) {
                return node;
            }
        }
        return nullptr;
    }
    void Request(Service &service)
    {
        size_t step = (size_t)(world_.now_ms / kStepMs);
        service.requests.resize(step + 1);
        service.repeats.resize(step + 1);
        service.requests[step]++;
        Node *node = AnyReady();
        if (node == nullptr) {
            return;
        }
        BsRetryBudget *budget = processes_[node->address].budget;
        BsRetryBudget_AddRequest(budget, service.name, world_.now_ms);
        for (int i = 0; fails_ && i < kRepeatsMax; i++) {
            if (BsRetryBudget_Take(budget, service.name, Instances(node),
                                   world_.now_ms)) {
                late_.push_back({node, &service});
            }
        }
        Arrive();
    }
    // The repeats that were granted arrive, unless they are late.
    void Arrive()
    {
        size_t step = (size_t)(world_.now_ms / kStepMs);
        if (world_.now_ms < late_until_ms_) {
            return;
        }
        for (const auto &late : late_) {
            std::vector<int> &repeats = late.second->repeats;
            repeats.resize(std::max(repeats.size(), step + 1));
            repeats[step]++;
            BsRetryBudget_Settle(processes_[late.first->address].budget,
                                 late.second->name, 1, world_.now_ms);
        }
        late_.clear();
    }
    bool IsPulse()
    {
        return std::get<1>(GetParam()).load == Load::kSteady ||
               world_.now_ms % kWindowMs < kWindowMs / 10;
    }
    void Step()
    {
        while (!starts_.empty() && starts_.begin()->first <= world_.now_ms) {
            Node *node = starts_.begin()->second;
            starts_.erase(starts_.begin());
            Start(node);
        }
        bool pulses = std::get<1>(GetParam()).load == Load::kPulses;
        double per_s = size().requests_per_s * (pulses ? 10 : 1);
        for (Service &service : services_) {
            for (service.due += IsPulse() ? per_s * service.share / 1000 : 0;
                 service.due >= 1; service.due--) {
                Request(service);
            }
        }
    }
    void Run(int64_t ms)
    {
        world_.Run(ms, [this] { Step(); });
    }
    void RollingRestart()
    {
        int64_t pause_ms = 6000 / (int64_t)world_.nodes.size();
        for (auto &node : world_.nodes) {
            Kill(node.get());
            Run(pause_ms);
        }
    }
    void CutDataCentres()
    {
        for (uint32_t dc = 1; dc <= size().data_centres; dc++) {
            world_.isolated_data_centres.insert(dc);
        }
    }
    void CutAll()
    {
        for (auto &node : world_.nodes) {
            world_.disconnected.insert(node->address);
        }
    }
    // What happens before the upstreams fail.
    void Prepare(Event event)
    {
        if (event == Event::kLongSplit ||
            event == Event::kLongSplitAndRestart) {
            CutDataCentres();
            Run(70000);
        }
        if (event == Event::kLate) {
            late_until_ms_ = world_.now_ms + 8000;
        }
    }
    // What happens while they fail, when budgets have just been used up.
    void Play(Event event)
    {
        switch (event) {
        case Event::kAllEveryThreeSeconds:
            for (int i = 0; i < 4; i++) {
                KillAll();
                Run(3000);
            }
            return;
        case Event::kAllTwice:
            KillAll();
            Run(4000);
            KillAll();
            return;
        case Event::kRolling:
            RollingRestart();
            return;
        case Event::kAllInSplitFleet:
            CutDataCentres();
            KillAll();
            return;
        case Event::kAllAlone:
            CutAll();
            KillAll();
            return;
        case Event::kOneDataCentreInSplit:
            CutDataCentres();
            KillDataCentre(1);
            return;
        case Event::kAllOnce:
        case Event::kLongSplitAndRestart:
            KillAll();
            return;
        case Event::kNone:
        case Event::kLate:
        case Event::kLongSplit:
            return;
        }
    }
    static int Sum(const std::vector<int> &counts, int64_t from, int64_t to)
    {
        int sum = 0;
        for (int64_t i = std::max<int64_t>(from, 0);
             i < std::min<int64_t>(to, (int64_t)counts.size()); i++) {
            sum += counts[i];
        }
        return sum;
    }
    // Expects that no window has more repeats than are allowed.
    void Judge(const Service &service)
    {
        int64_t steps = kWindowMs / kStepMs;
        double worst = 0;
        double allowed_then = 0;
        int seen_then = 0;
        for (int64_t end = steps; end <= (int64_t)service.repeats.size();
             end++) {
            int requests = 0;
            for (int64_t back : {int64_t{0}, steps / 2, steps}) {
                requests =
                    std::max(requests, Sum(service.requests,
                                           end - steps - back, end - back));
            }
            double allowed = kRatio * requests + kSlack;
            int seen = Sum(service.repeats, end - steps, end);
            if (seen / allowed > worst) {
                worst = seen / allowed;
                allowed_then = allowed;
                seen_then = seen;
            }
        }
        printf("%s: most repeats in a window: %d seen, %.0f allowed (%.2f)\n",
               service.name, seen_then, allowed_then, worst);
        EXPECT_LE(worst, 1) << service.name;
    }

    bool fails_ = false;
    int64_t late_until_ms_ = 0;
    std::vector<std::pair<Node *, Service *>> late_; // granted, not arrived
    std::map<uint32_t, Process> processes_;
    std::multimap<int64_t, Node *> starts_;
    std::vector<Service> services_ = {{"desk", 0.75, 0, {}, {}},
                                      {"yard", 0.2, 0, {}, {}},
                                      {"mill", 0.05, 0, {}, {}}};
};

// Guards against a fleet that together sends more repeats than it may, because
// new processes do not know what the previous ones sent or how many they are.
TEST_P(RetryFleetTest, TheFleetStaysWithinItsRetryBudget)
{
    const FleetCase &row = std::get<1>(GetParam());
    BuildFleet();
    Run(2 * kWindowMs + 500);
    Prepare(row.event);
    fails_ = true;
    Run(1500);
    Play(row.event);
    Run(3 * kWindowMs);
    for (const Service &service : services_) {
        Judge(service);
    }
}

const Size kSizes[] = {{"3", 3, 1, 40}, {"9", 3, 3, 40}, {"295", 5, 59, 400}};

const FleetCase kRestarts[] = {
    {"None", Event::kNone, Load::kSteady},
    {"AllOnce", Event::kAllOnce, Load::kSteady},
    {"AllTwice", Event::kAllTwice, Load::kSteady},
    {"AllEveryThreeSeconds", Event::kAllEveryThreeSeconds, Load::kSteady},
    {"Rolling", Event::kRolling, Load::kSteady},
    {"NoneInPulses", Event::kNone, Load::kPulses},
    {"AllOnceInPulses", Event::kAllOnce, Load::kPulses},
};

const FleetCase kSplits[] = {
    {"AllInSplitFleet", Event::kAllInSplitFleet, Load::kSteady},
    {"AllAlone", Event::kAllAlone, Load::kSteady},
    {"OneDataCentreInSplit", Event::kOneDataCentreInSplit, Load::kSteady},
    {"LongSplit", Event::kLongSplit, Load::kSteady},
    {"LongSplitAndRestart", Event::kLongSplitAndRestart, Load::kSteady},
};

const FleetCase kLateArrivals[] = {
    {"Steady", Event::kLate, Load::kSteady},
    {"Pulses", Event::kLate, Load::kPulses},
};

std::string
Name(const testing::TestParamInfo<std::tuple<Size, FleetCase>> &info)
{
    return std::string(std::get<1>(info.param).name) + "Of" +
           std::get<0>(info.param).name;
}

INSTANTIATE_TEST_SUITE_P(Restarts, RetryFleetTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::ValuesIn(kRestarts)),
                         Name);

INSTANTIATE_TEST_SUITE_P(Splits, RetryFleetTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::ValuesIn(kSplits)),
                         Name);

INSTANTIATE_TEST_SUITE_P(Late, RetryFleetTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::ValuesIn(kLateArrivals)),
                         Name);

} // namespace
