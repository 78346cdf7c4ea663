// Shares that instances take of the limits of a whole fleet (quotas, limits of
// cold upstreams), on a logical clock: over splits and restarts.
#include "fleet_world.h"

extern "C" {
#include "quota.h"
}

namespace {

constexpr uint32_t kDataCentres = 3;
constexpr uint32_t kPerDataCentre = 3;

class ShareFleetTest : public FleetTest {
  protected:
    void BuildFleet()
    {
        for (uint32_t i = 0; i < kDataCentres * kPerDataCentre; i++) {
            world_.Add(1 + i / kPerDataCentre, 512);
        }
        world_.seeds = {kBaseAddress + 1, kBaseAddress + 1 + kPerDataCentre,
                        kBaseAddress + kDataCentres * kPerDataCentre};
        for (auto &node : world_.nodes) {
            world_.Start(node.get());
        }
        world_.Run(20000);
    }
    void CutDataCentres()
    {
        for (uint32_t dc = 1; dc <= kDataCentres; dc++) {
            world_.isolated_data_centres.insert(dc);
        }
    }
    void CutAll()
    {
        for (auto &node : world_.nodes) {
            world_.disconnected.insert(node->address);
        }
    }
    double Share(const Node *node)
    {
        return BsGossip_Share(BsFleetAgent_Gossip(node->agent), world_.now_ms);
    }
    // The most of a limit that data centres which are cut off from each other
    // use together within MS.
    double MostOfDataCentres(int64_t ms)
    {
        double most = 0;
        world_.Run(ms, [&] {
            std::map<uint32_t, double> shares;
            for (auto &node : world_.nodes) {
                double &share = shares[node->data_centre];
                share = std::max(share, Share(node.get()));
            }
            double sum = 0;
            for (const auto &share : shares) {
                sum += share.second;
            }
            most = std::max(most, sum);
        });
        return most;
    }
    // The same of instances that are cut off from all others.
    double MostOfInstances(int64_t ms)
    {
        double most = 0;
        world_.Run(ms, [&] {
            double sum = 0;
            for (auto &node : world_.nodes) {
                sum += Share(node.get());
            }
            most = std::max(most, sum);
        });
        return most;
    }
};

// Guards against parts of a split fleet that each take a limit for their own,
// as they have not seen the others for a minute.
TEST_F(ShareFleetTest, ALongSplitLeavesOneWholeLimit)
{
    BuildFleet();
    CutDataCentres();
    world_.Run(5000);
    EXPECT_LE(MostOfDataCentres(70000), 1.001);
}

// Guards against instances that take a limit for their own after a start at
// which they reach no other.
TEST_F(ShareFleetTest, InstancesThatStartAloneLeaveOneWholeLimit)
{
    BuildFleet();
    CutAll();
    for (auto &node : world_.nodes) {
        world_.Start(node.get());
    }
    EXPECT_LE(MostOfInstances(15000), 1.001);
}

constexpr double kPerS = 1000;
constexpr double kBurst = 1000;
constexpr double kOver = 0.25;
constexpr double kSlack = 1000;
constexpr int64_t kWindowMs = 8000;
constexpr int64_t kStepMs = 50;

struct Instance {
    BsQuotas *quotas = BsQuotas_Create(kOver, kSlack);
    uint64_t incarnation = 1;
};

class QuotaRestartTest : public testing::Test {
  protected:
    QuotaRestartTest()
    {
        account_.name = const_cast<char *>("acme");
        account_.per_s = kPerS;
        account_.burst = kBurst;
    }
    ~QuotaRestartTest() override
    {
        for (Instance &instance : instances_) {
            BsQuotas_Destroy(instance.quotas);
        }
    }
    void Restart(Instance &instance)
    {
        BsQuotas_Destroy(instance.quotas);
        instance.quotas = BsQuotas_Create(kOver, kSlack);
        instance.incarnation++;
    }
    // All instances report to all others.
    void Report()
    {
        for (size_t from = 0; from < instances_.size(); from++) {
            GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
            BsQuotas_AppendUses(instances_[from].quotas, uses);
            for (size_t to = 0; to < instances_.size(); to++) {
                if (to != from) {
                    BsQuotas_SetPeer(instances_[to].quotas, (uint32_t)from + 1,
                                     instances_[from].incarnation, uses);
                }
            }
            g_array_unref(uses);
        }
    }
    // One step of callers that ask for far more than the account's limit, at
    // the instances from FIRST to before END.
    void Step(size_t first, size_t end)
    {
        int admitted = 0;
        for (size_t at = first; at < end; at++) {
            for (int i = 0; i < 500; i++) {
                admitted += BsQuotas_Take(instances_[at].quotas, &account_, 1,
                                          false, now_ms_) == 0;
            }
            Report();
        }
        admitted_.push_back(admitted);
        now_ms_ += kStepMs;
    }
    void Run(int64_t ms, size_t first, size_t end)
    {
        for (int64_t passed = 0; passed < ms; passed += kStepMs) {
            Step(first, end);
        }
    }
    void RunAll(int64_t ms)
    {
        Run(ms, 0, instances_.size());
    }
    // Lets all instances know each other and the account, and empties its
    // bucket.
    void WarmUp()
    {
        RunAll(10000);
        admitted_.clear();
        RunAll(10000);
    }
    int Most()
    {
        const size_t steps = kWindowMs / kStepMs;
        int most = 0;
        for (size_t i = 0; i + steps <= admitted_.size(); i++) {
            int sum = 0;
            for (size_t j = i; j < i + steps; j++) {
                sum += admitted_[j];
            }
            most = std::max(most, sum);
        }
        return most;
    }
    static double Allowed()
    {
        return (kPerS * kWindowMs / 1000 + kBurst) * (1 + kOver) + kSlack;
    }

    BsCatalogAccount account_ = {};
    std::vector<Instance> instances_ = std::vector<Instance>(9);
    std::vector<int> admitted_;
    int64_t now_ms_ = 0;
};

// Guards against test figures that say nothing: without restarts the fleet
// stays within the limit.
TEST_F(QuotaRestartTest, NoRestart)
{
    WarmUp();
    RunAll(20000);
    EXPECT_LE(Most(), Allowed());
}

// Guards against a whole burst from each process that starts, whatever its
// previous one has admitted.
TEST_F(QuotaRestartTest, OneAfterTheOther)
{
    WarmUp();
    for (Instance &instance : instances_) {
        Restart(instance);
        RunAll(600);
    }
    RunAll(10000);
    EXPECT_LE(Most(), Allowed());
}

// Guards against the same when all processes start at once.
TEST_F(QuotaRestartTest, AllAtOnce)
{
    WarmUp();
    for (Instance &instance : instances_) {
        Restart(instance);
    }
    Report();
    RunAll(10000);
    EXPECT_LE(Most(), Allowed());
}

// Guards against a whole burst from each instance that an account asks for the
// first time, although its use elsewhere was reported there.
TEST_F(QuotaRestartTest, AnAccountThatIsNewToOneInstanceAfterTheOther)
{
    account_.name = const_cast<char *>("other");
    RunAll(1000);
    account_.name = const_cast<char *>("acme");
    admitted_.clear();
    Run(10000, 0, 1);
    for (size_t at = 1; at < instances_.size(); at++) {
        Run(600, at, at + 1);
    }
    Run(10000, 0, 1);
    EXPECT_LE(Most(), Allowed());
}

} // namespace
