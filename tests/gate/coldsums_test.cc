// The requests that a cold upstream gets from all instances together, on a
// logical clock: after a crash that its listing does not show yet, and when
// several instances send their first request to one that was idle.
#include "fleet_world.h"

extern "C" {
#include "quota.h"
}

namespace {

constexpr uint32_t kColdMs = 3000;
constexpr int64_t kWindowMs = 1000;
constexpr int64_t kServiceMs = 40; // time that the upstream needs
constexpr int64_t kSilentMs = 300; // until a silence is noted
constexpr int64_t kDownMs = 1500;
constexpr int64_t kListLagMs = 1000; // from the return to its new listing
constexpr int64_t kFloodMs = 10; // between the tries of an instance that has
                                 // waiting requests
constexpr int64_t kCalmMs = 100; // between the requests of one in calm
constexpr double kUsable = 0.9;

struct Size {
    const char *name;
    uint32_t data_centres;
    uint32_t per_data_centre;
};

const Size kSizes[] = {{"3", 3, 1}, {"9", 3, 3}, {"295", 5, 59}};

void
PrintTo(const Size &size, std::ostream *out)
{
    *out << size.name;
}

enum class State { kUp, kRefusing, kSilent };

class ColdFleet : public FleetTest {
  protected:
    struct Request {
        Node *node;
        int64_t sent_ms;
        int64_t due_ms; // when its next event is due
        unsigned start; // of the upstream that has it
        bool noted_silent;
    };

    ColdFleet()
    {
        memset(&service_, 0, sizeof(service_));
        service_.name = const_cast<char *>("desk");
        service_.cold_ms = kColdMs;
        route_.regions = g_ptr_array_new();
    }
    ~ColdFleet() override
    {
        g_ptr_array_unref(route_.regions);
    }
    static std::string Name(uint32_t data_centre)
    {
        return "dc" + std::to_string(data_centre);
    }
    void BuildCold(const Size &size, double cold_per_s, int64_t cold_ms)
    {
        service_.cold_per_s = cold_per_s;
        uint32_t per = size.per_data_centre;
        uint32_t all = per * size.data_centres;
        for (uint32_t i = 0; i < all; i++) {
            world_.Add(1 + i / per, i % per < 3 ? 512 : 88);
        }
        world_.seeds = {kBaseAddress + 1, kBaseAddress + 1 + per,
                        kBaseAddress + all};
        for (auto &node : world_.nodes) {
            node->quotas = BsQuotas_Create(0, 0);
            node->targets =
                BsTargets_Create(Name(node->data_centre).c_str(), "north");
            List(node.get(), cold_ms);
            world_.Start(node.get());
        }
        Run(13000, 0); // until all know each other
    }
    void List(Node *node, int64_t cold_ms)
    {
        BsTargetEntry entry = {};
        entry.id = "u";
        entry.service = "desk";
        entry.data_centre = "dc1";
        entry.region = "north";
        entry.slots = 100000;
        entry.born_ms = 1 + start_;
        entry.cold_ms = cold_ms;
        BsTargets_Put(node->targets, &entry, world_.now_ms);
    }
    void ListAll(int64_t cold_ms)
    {
        for (auto &node : world_.nodes) {
            List(node.get(), cold_ms);
        }
    }
    // As a gateway does in each tick.
    void Refresh(Node *node)
    {
        BsGossip *gossip = BsFleetAgent_Gossip(node->agent);
        int64_t now_ms = world_.now_ms;
        BsTargets_SetShare(node->targets, BsGossip_Share(gossip, now_ms));
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
    BsTarget *Upstream(Node *node)
    {
        return BsTargets_Find(node->targets, "u");
    }
    // Sends a request of NODE if it may; returns whether it did.
    bool Ask(Node *node)
    {
        BsTargetQuery query = {};
        BsTargetVerdict verdict;
        query.service = &service_;
        query.route = &route_;
        BsTarget *target =
            BsTargets_Choose(node->targets, &query, world_.now_ms, &verdict);
        if (target == nullptr) {
            return false;
        }
        BsTargets_Sent(node->targets, target, &query, world_.now_ms);
        BsFleetAgent_SendReports(node->agent, true, world_.now_ms);
        int64_t now_ms = world_.now_ms;
        int64_t due_ms = now_ms + (state_ == State::kUp       ? kServiceMs
                                   : state_ == State::kSilent ? kSilentMs
                                                              : 1);
        requests_.push_back({node, now_ms, due_ms, start_, false});
        sends_[node].push_back(now_ms);
        if (state_ == State::kUp) {
            arrivals_.push_back(now_ms);
        }
        return true;
    }
    void End(const Request &request, BsTargetEnd end)
    {
        Node *node = request.node;
        BsTargets_Ended(node->targets, Upstream(node), end, 0, 0,
                        world_.now_ms);
        BsFleetAgent_SendReports(node->agent, true, world_.now_ms);
    }
    // Plays the next event of REQUEST; returns whether it has ended.
    bool PlayRequest(Request &request)
    {
        if (request.start == start_ && state_ == State::kUp) {
            End(request, BS_TARGET_GOOD);
            return true;
        }
        if (state_ == State::kRefusing) {
            End(request, BS_TARGET_UNREACHED);
            return true;
        }
        if (request.noted_silent) {
            End(request, BS_TARGET_ABANDONED); /* answered elsewhere */
            return true;
        }
        request.noted_silent = true;
        request.due_ms = world_.now_ms + 100;
        BsTargets_NoteSilent(Upstream(request.node), request.sent_ms, false,
                             world_.now_ms);
        return false;
    }
    void PlayRequests()
    {
        for (size_t i = 0; i < requests_.size();) {
            if (requests_[i].due_ms <= world_.now_ms &&
                PlayRequest(requests_[i])) {
                requests_[i] = requests_.back();
                requests_.pop_back();
            }
            else {
                i++;
            }
        }
    }
    // Ends the upstream's process.  When it refuses connections, those of its
    // requests break; else nothing is heard of it any more.
    void Crash(State state)
    {
        state_ = state;
        for (Request &request : requests_) {
            request.due_ms =
                state == State::kSilent ? world_.now_ms + kSilentMs : 0;
        }
        if (state == State::kRefusing) {
            for (const Request &request : requests_) {
                End(request, BS_TARGET_INCOMPLETE);
            }
            requests_.clear();
        }
    }
    void Return()
    {
        state_ = State::kUp;
        start_++;
    }
    // Each instance asks once in ASK_MS; 0: none does.
    void Run(int64_t ms, int64_t ask_ms)
    {
        int64_t tick_ms = world_.nodes.size() > 24 ? 100 : 50;
        world_.Run(ms, [&] {
            PlayRequests();
            for (auto &node : world_.nodes) {
                int64_t turn = world_.now_ms + node->address;
                if (turn % tick_ms == 0) {
                    Refresh(node.get());
                }
                if (ask_ms > 0 && turn % ask_ms == 0) {
                    asked_++;
                    refused_ += !Ask(node.get());
                }
            }
        });
    }
    int Between(int64_t from_ms, int64_t to_ms)
    {
        return (int)std::count_if(
            arrivals_.begin(), arrivals_.end(),
            [&](int64_t at) { return at >= from_ms && at < to_ms; });
    }
    // The most arrivals in a window since FROM_MS.
    int Most(int64_t from_ms)
    {
        int most = 0;
        for (int64_t at : arrivals_) {
            if (at >= from_ms) {
                most = std::max(most, Between(at, at + kWindowMs));
            }
        }
        return most;
    }

    BsCatalogService service_;
    BsCatalogRoute route_ = {};
    State state_ = State::kUp;
    unsigned start_ = 0;
    int asked_ = 0;
    int refused_ = 0;
    std::vector<Request> requests_;
    std::vector<int64_t> arrivals_;
    std::map<Node *, std::vector<int64_t>> sends_;
};

class ColdCrashTest
    : public ColdFleet,
      public testing::WithParamInterface<std::tuple<Size, State>> {};

// Guards against a flood of an upstream that is back before its listing
// changes: each instance that noticed the crash tries it for itself.
TEST_P(ColdCrashTest, IsColdFromItsFirstNewRequest)
{
    constexpr double kPerS = 20;
    BuildCold(std::get<0>(GetParam()), kPerS, 0);
    Run(2000, kCalmMs);
    Crash(std::get<1>(GetParam()));
    Run(kDownMs, kCalmMs);
    Return();
    int64_t back_ms = world_.now_ms;
    Run(kListLagMs, kFloodMs);
    int unlisted = Between(back_ms, world_.now_ms);
    ListAll((int64_t)kColdMs - kListLagMs);
    Run((int64_t)kColdMs - kListLagMs - 1, kFloodMs);
    int most = Most(back_ms);
    printf("at most %d in a second, %.0f allowed; %d before its listing\n",
           most, kPerS, unlisted);
    EXPECT_LE(most, kPerS);
    EXPECT_GT(unlisted, 0);
}

// Guards against instances that never send again to an upstream whose listing
// does not change, because they are not among the senders to a cold one.
TEST_P(ColdCrashTest, IsUsedByAllOnceWarmWithoutANewListing)
{
    BuildCold(std::get<0>(GetParam()), 20, 0);
    Run(2000, kCalmMs);
    Crash(std::get<1>(GetParam()));
    Run(kDownMs, kCalmMs);
    Return();
    Run(2 * kColdMs + 4000, kCalmMs);
    int64_t from_ms = world_.now_ms;
    Run(1000, kCalmMs);
    int without = 0;
    for (auto &node : world_.nodes) {
        const auto &sends = sends_[node.get()];
        without += sends.empty() || sends.back() < from_ms;
    }
    EXPECT_EQ(without, 0) << "instances that did not send";
}

class ColdIdleTest
    : public ColdFleet,
      public testing::WithParamInterface<std::tuple<Size, int>> {
  protected:
    void SetUp() override
    {
        BuildCold(std::get<0>(GetParam()), PerS(), 600000);
    }
    static double PerS()
    {
        return std::get<1>(GetParam());
    }
};

// Guards against first requests of several senders that add up to more than
// the limit, as each is counted by the others only afterwards.
TEST_P(ColdIdleTest, FirstRequestsOfSeveralSendersStayUnderTheLimit)
{
    int64_t from_ms = world_.now_ms;
    for (int i = 0; i < 3; i++) {
        Run(1500, kFloodMs);
        Run(3000, 0);
    }
    int most = Most(from_ms);
    printf("at most %d in a second, %.0f allowed\n", most, PerS());
    EXPECT_LE(most, PerS());
}

// Guards against a part of the limit that nobody can use.
TEST_P(ColdIdleTest, NineTenthsAreUsableWhileRequestsWait)
{
    Run(2000, kFloodMs);
    int64_t from_ms = world_.now_ms;
    Run(5000, kFloodMs);
    double used = Between(from_ms, world_.now_ms) / (PerS() * 5);
    printf("used: %.3f of the limit\n", used);
    EXPECT_GE(used, kUsable);
}

class ColdCalmTest : public ColdFleet,
                     public testing::WithParamInterface<Size> {
  protected:
    // Asks refused within MS in calm.
    int Refused(int64_t ms)
    {
        refused_ = 0;
        Run(ms, kCalmMs);
        return refused_;
    }
};

// Guards against one refused connection at one instance that throttles the
// others, or that instance for longer than the upstream's warm-up time and its
// own pause.
TEST_P(ColdCalmTest, OneRefusedConnectionThrottlesOneInstanceForTheWarmUp)
{
    BuildCold(GetParam(), 20, 0);
    Run(2000, kCalmMs);
    for (auto &node : world_.nodes) {
        BsTargets_Ended(node->targets, Upstream(node.get()),
                        BS_TARGET_UNREACHED, 0, 0, world_.now_ms);
        int refused = Refused((int64_t)kColdMs + 700);
        EXPECT_LE(refused, ((int)kColdMs + 700) / kCalmMs);
        EXPECT_EQ(Refused(2000), 0);
        if (node->address > kBaseAddress + 2) {
            break; /* the rest of a large fleet is alike */
        }
    }
}

// Guards against a short pause of an upstream, in which requests were sent
// elsewhere, that throttles an instance for seconds.
TEST_P(ColdCalmTest, AShortPauseThrottlesForTwoSecondsAndItsPause)
{
    BuildCold(GetParam(), 20, 0);
    Run(2000, kCalmMs);
    Node *node = world_.nodes[0].get();
    BsTargets_NoteSilent(Upstream(node), world_.now_ms, false, world_.now_ms);
    int refused = Refused(2500);
    EXPECT_LE(refused, 2500 / kCalmMs);
    EXPECT_EQ(Refused(2000), 0);
}

std::string
CrashName(const testing::TestParamInfo<std::tuple<Size, State>> &info)
{
    return std::string(std::get<1>(info.param) == State::kRefusing
                           ? "RefusedOf"
                           : "SilentOf") +
           std::get<0>(info.param).name;
}

INSTANTIATE_TEST_SUITE_P(Crash, ColdCrashTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::Values(State::kRefusing,
                                                          State::kSilent)),
                         CrashName);

INSTANTIATE_TEST_SUITE_P(Idle, ColdIdleTest,
                         testing::Combine(testing::ValuesIn(kSizes),
                                          testing::Values(20, 50)),
                         [](const auto &info) {
                             return std::to_string(std::get<1>(info.param)) +
                                    "Of" + std::get<0>(info.param).name;
                         });

INSTANTIATE_TEST_SUITE_P(Calm, ColdCalmTest, testing::ValuesIn(kSizes),
                         [](const auto &info) {
                             return std::string("Of") + info.param.name;
                         });

} // namespace
