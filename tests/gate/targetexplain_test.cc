// Explanations of the choice of an upstream: they agree with the choice that
// follows, and change nothing.
#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "targetexplain.h"
#include "targets_private.h"
}

namespace {

constexpr int64_t kStartMs = 100000;

// A service, a route and a table for an instance in data centre dc0 of region
// north.
class Table {
  public:
    Table() : targets(BsTargets_Create("dc0", "north"))
    {
        memset(&service, 0, sizeof(service));
        memset(&route, 0, sizeof(route));
        service.name = const_cast<char *>("desk");
        service.engine = true;
        route.regions = g_ptr_array_new();
    }
    ~Table()
    {
        BsTargets_Destroy(targets);
        g_ptr_array_free(route.regions, TRUE);
    }
    Table(const Table &) = delete;
    // ID must outlive the entry.
    BsTargetEntry Entry(const char *id, const char *data_centre = "dc0",
                        const char *region = "north")
    {
        BsTargetEntry entry = {};
        entry.id = id;
        entry.service = "desk";
        entry.data_centre = data_centre;
        entry.region = region;
        entry.version = "v1";
        entry.slots = 4;
        // Another upstream with the same address would replace it.
        entry.address.sin_port = (in_port_t)++ports;
        return entry;
    }
    BsTarget *Add(const std::string &id, const char *data_centre = "dc0",
                  const char *region = "north")
    {
        BsTargetEntry entry = Entry(id.c_str(), data_centre, region);
        return Put(entry);
    }
    BsTarget *Put(const BsTargetEntry &entry)
    {
        BsTargets_Put(targets, &entry, kStartMs);
        return BsTargets_Find(targets, entry.id);
    }
    BsTargetQuery Query() const
    {
        BsTargetQuery query = {};
        query.service = &service;
        query.route = &route;
        query.prompt_tokens = 900;
        query.output_tokens = 40;
        return query;
    }
    BsTargetExplanation Explain(const BsTargetQuery &query,
                                int64_t now_ms = kStartMs)
    {
        BsTargetExplanation explanation;
        BsTargets_Explain(targets, &query, now_ms, &explanation);
        return explanation;
    }
    BsTarget *Choose(const BsTargetQuery &query, BsTargetVerdict *verdict,
                     int64_t now_ms = kStartMs)
    {
        return BsTargets_Choose(targets, &query, now_ms, verdict);
    }
    // All bytes of the table that a choice may change.
    std::string Bytes() const
    {
        std::string bytes;
        BsTargets_Each(
            targets,
            [](const BsTarget *target, void *context) {
                static_cast<std::string *>(context)->append(
                    reinterpret_cast<const char *>(target), sizeof(*target));
            },
            &bytes);
        bytes.append(reinterpret_cast<const char *>(targets),
                     sizeof(*targets));
        GHashTableIter iter;
        gpointer key;
        gpointer value;
        g_hash_table_iter_init(&iter, targets->allowances);
        while (g_hash_table_iter_next(&iter, &key, &value)) {
            bytes += static_cast<char *>(key);
            bytes.append(static_cast<char *>(value),
                         sizeof(BsTargetAllowance));
        }
        return bytes;
    }

    BsTargets *targets;
    BsCatalogService service;
    BsCatalogRoute route;
    int ports = 0;
};

// ------------------------------------------------------------- reasons --

struct ReasonCase {
    BsTargetReason reason;
    // Makes the upstream "subject" ineligible, or the query.
    void (*arrange)(Table &table, BsTarget *subject, BsTargetQuery *query);
    BsTargetVerdict verdict;
};

class ReasonTest : public testing::TestWithParam<ReasonCase> {};

// Guards against an explanation that names no reason, or another one than the
// one that makes the choice leave the upstream.
TEST_P(ReasonTest, IsNamedAndTheUpstreamIsNotChosen)
{
    const ReasonCase &row = GetParam();
    Table table;
    BsTarget *subject = table.Add("subject");
    BsTargetQuery query = table.Query();
    BsTargetVerdict verdict;
    row.arrange(table, subject, &query);
    std::string before = table.Bytes();
    BsTargetExplanation explanation = table.Explain(query);
    EXPECT_EQ(before, table.Bytes());
    ASSERT_GE(explanation.count, 1u);
    EXPECT_EQ(explanation.candidates[0].target, subject);
    EXPECT_STREQ(
        BsTargetReason_Name(explanation.candidates[0].judgement.reason),
        BsTargetReason_Name(row.reason));
    EXPECT_EQ(explanation.by_reason[row.reason], 1u);
    EXPECT_EQ(explanation.chosen, nullptr);
    EXPECT_EQ(explanation.verdict, row.verdict);
    EXPECT_EQ(table.Choose(query, &verdict), nullptr);
    EXPECT_EQ(verdict, row.verdict);
}

const char *const kSubjectOnly[] = {"subject"};

void
FillSlots(Table &table, BsTarget *subject, const BsTargetQuery *query, int n)
{
    for (int i = 0; i < n; i++) {
        BsTargets_Sent(table.targets, subject, query, kStartMs);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, ReasonTest,
    testing::Values(
        ReasonCase{BS_TARGET_LEAVING,
                   [](Table &table, BsTarget *subject, BsTargetQuery *) {
                       BsTargets_SetLeaving(table.targets, subject);
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_UNLISTED,
                   [](Table &table, BsTarget *subject, BsTargetQuery *query) {
                       FillSlots(table, subject, query, 1);
                       BsTargets_Remove(table.targets, "subject", 0, kStartMs);
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_REGION_UNKNOWN,
                   [](Table &table, BsTarget *, BsTargetQuery *) {
                       BsTargetEntry entry =
                           table.Entry("subject", "dc0", nullptr);
                       entry.sequence = 1;
                       table.Put(entry);
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_CLOSED,
                   [](Table &table, BsTarget *, BsTargetQuery *) {
                       BsTargets_SetClosed(table.targets, "dc0", true);
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_EXCLUDED,
                   [](Table &, BsTarget *, BsTargetQuery *query) {
                       query->excluded = kSubjectOnly;
                       query->excluded_count = 1;
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_OTHER_VERSION,
                   [](Table &, BsTarget *, BsTargetQuery *query) {
                       query->version = 1;
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_OTHER_REGION,
                   [](Table &table, BsTarget *, BsTargetQuery *) {
                       g_ptr_array_add(table.route.regions,
                                       const_cast<char *>("south"));
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_QUIET,
                   [](Table &, BsTarget *, BsTargetQuery *query) {
                       query->spoke_since_ms = kStartMs;
                   },
                   BS_TARGET_NONE},
        ReasonCase{BS_TARGET_PAUSE_REQUESTED,
                   [](Table &, BsTarget *subject, BsTargetQuery *) {
                       BsTargets_SetRequestedPause(subject, 500, kStartMs);
                   },
                   BS_TARGET_BUSY},
        ReasonCase{BS_TARGET_PAUSED,
                   [](Table &table, BsTarget *subject, BsTargetQuery *query) {
                       FillSlots(table, subject, query, 1);
                       BsTargets_Ended(table.targets, subject,
                                       BS_TARGET_UNREACHED, 0, 0, kStartMs);
                   },
                   BS_TARGET_BUSY},
        ReasonCase{BS_TARGET_PROBED,
                   [](Table &table, BsTarget *subject, BsTargetQuery *query) {
                       FillSlots(table, subject, query, 2);
                       BsTargets_Ended(table.targets, subject,
                                       BS_TARGET_UNREACHED, 0, 0,
                                       kStartMs - 60000);
                   },
                   BS_TARGET_BUSY},
        ReasonCase{BS_TARGET_FULL,
                   [](Table &table, BsTarget *subject, BsTargetQuery *query) {
                       FillSlots(table, subject, query, 4);
                   },
                   BS_TARGET_BUSY},
        ReasonCase{BS_TARGET_RESERVED,
                   [](Table &table, BsTarget *subject, BsTargetQuery *query) {
                       FillSlots(table, subject, query, 3);
                       query->reserved_slots = 2;
                   },
                   BS_TARGET_BUSY},
        ReasonCase{BS_TARGET_COLD_LIMITED,
                   [](Table &table, BsTarget *subject, BsTargetQuery *query) {
                       table.service.cold_per_s = 1;
                       BsTargets_SetCold(subject, 5000, kStartMs);
                       FillSlots(table, subject, query, 1);
                   },
                   BS_TARGET_COLD},
        ReasonCase{BS_TARGET_NAMED_LIMITED,
                   [](Table &, BsTarget *subject, BsTargetQuery *) {
                       BsTargets_NoteLimit(subject, 2, kStartMs, kStartMs);
                   },
                   BS_TARGET_COLD}),
    [](const auto &info) {
        return std::string(BsTargetReason_Name(info.param.reason));
    });

// Where loads elsewhere are estimates, they are looked at only if nothing near
// is free; the explanation says that, and not that they were too expensive.
TEST(TargetExplainTest, AnotherDataCentreThatIsNotNeeded)
{
    Table table;
    BsTarget *near = table.Add("near");
    BsTarget *far = table.Add("far", "dc1");
    BsTargets_SetRemoteAge(table.targets, 300);
    BsTargetExplanation explanation = table.Explain(table.Query());
    ASSERT_EQ(explanation.count, 2u);
    EXPECT_EQ(explanation.chosen, near);
    EXPECT_EQ(explanation.candidates[1].target, far);
    EXPECT_TRUE(explanation.candidates[1].estimated);
    EXPECT_EQ(explanation.candidates[1].judgement.reason,
              BS_TARGET_OTHER_PASS);
    EXPECT_EQ(explanation.remote_age_ms, 300);
}

// An upstream elsewhere that is draining is shown as such, not as unneeded.
TEST(TargetExplainTest, AnUnneededUpstreamKeepsItsOwnReason)
{
    Table table;
    table.Add("near");
    BsTargets_SetLeaving(table.targets, table.Add("far", "dc1"));
    BsTargets_SetRemoteAge(table.targets, 300);
    EXPECT_EQ(table.Explain(table.Query()).candidates[1].judgement.reason,
              BS_TARGET_LEAVING);
}

// The own part of an upstream elsewhere, and the allowance of its data centre.
TEST(TargetExplainTest, LimitsOnEstimatedLoads)
{
    Table table;
    BsTargetQuery query = table.Query();
    BsTarget *used = table.Add("used", "dc1");
    table.Add("free", "dc1");
    BsTargets_SetRemoteAge(table.targets, 300);
    BsTargets_Sent(table.targets, used, &query, kStartMs);
    BsTargetExplanation explanation = table.Explain(query);
    EXPECT_EQ(explanation.by_reason[BS_TARGET_OWN_ENOUGH], 1u);
    BsTargetVerdict verdict;
    BsTarget *chosen = table.Choose(query, &verdict);
    ASSERT_NE(chosen, nullptr);
    EXPECT_EQ(explanation.chosen, chosen);
    for (int i = 0; i < 100; i++) {
        BsTargets_UseAllowance(table.targets, chosen);
    }
    EXPECT_EQ(table.Explain(query).by_reason[BS_TARGET_NO_ALLOWANCE], 1u);
}

// In a large fleet only a sample is considered; the rest is counted as that.
TEST(TargetExplainTest, TheSampleOfALargeFleet)
{
    Table table;
    for (int i = 0; i < 60; i++) {
        table.Add("u" + std::to_string(i));
    }
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    BsTargets_SetFleet(table.targets, loads, kStartMs);
    g_array_free(loads, TRUE);
    BsTargetExplanation explanation = table.Explain(table.Query());
    BsTargetVerdict verdict;
    EXPECT_EQ(explanation.judged, 60u);
    EXPECT_EQ(explanation.count, (unsigned)BS_TARGET_CANDIDATES_MAX);
    EXPECT_GT(explanation.by_reason[BS_TARGET_NOT_SAMPLED], 0u);
    EXPECT_GT(explanation.by_reason[BS_TARGET_ELIGIBLE], 0u);
    EXPECT_EQ(explanation.chosen, table.Choose(table.Query(), &verdict));
}

// A service without upstreams.
TEST(TargetExplainTest, NoUpstreams)
{
    Table table;
    BsTargetExplanation explanation = table.Explain(table.Query());
    EXPECT_EQ(explanation.verdict, BS_TARGET_NONE);
    EXPECT_EQ(explanation.judged, 0u);
}

// Guards against a component that is left out of the printed cost.
TEST(TargetExplainTest, CostsAreTheSumOfTheirParts)
{
    Table table;
    BsTarget *far = table.Add("far", "dc5", "south");
    BsTargets_SetCold(far, 5000, kStartMs);
    BsTargets_NoteLimit(far, 100, kStartMs - 5000, kStartMs - 5000);
    BsTargetExplanation explanation = table.Explain(table.Query());
    const BsTargetCost &cost = explanation.candidates[0].judgement.cost;
    EXPECT_EQ(cost.work_ms, 900 / 45.0 + 5.0 * 40 / 4);
    EXPECT_EQ(cost.load_ms, 0);
    EXPECT_EQ(cost.distance_ms, 60);
    EXPECT_EQ(cost.cold_ms, 400);
    EXPECT_EQ(cost.limit_check_ms, -200);
    EXPECT_EQ(BsTargetCost_Sum(&cost), 20 + 50 + 60 + 400 - 200);
}

TEST(TargetExplainTest, EachReasonHasItsOwnName)
{
    std::vector<std::string> names;
    for (int i = 0; i < BS_TARGET_REASONS; i++) {
        const char *name = BsTargetReason_Name((BsTargetReason)i);
        ASSERT_NE(name, nullptr) << i;
        for (const std::string &other : names) {
            EXPECT_NE(other, name);
        }
        names.push_back(name);
    }
}

// ---------------------------------------------------------- random runs --

// Two tables get the same random events; one also explains before each choice.
class WalkTest : public testing::TestWithParam<unsigned> {
  protected:
    static constexpr int kUpstreams = 30;

    void SetUp() override
    {
        random_.seed(GetParam());
        bool engine = Draw(2) == 0;
        for (Table *table : {&explained_, &plain_}) {
            table->service.engine = engine;
            table->service.cold_per_s = 8;
            for (int i = 0; i < kUpstreams; i++) {
                std::string data_centre = "dc" + std::to_string(i % 4);
                table->Add("u" + std::to_string(i), data_centre.c_str(),
                           i % 4 < 2 ? "north" : "south");
            }
            BsTargets_SetInstances(table->targets, 3);
        }
    }
    unsigned Draw(unsigned below)
    {
        return (unsigned)random_() % below;
    }
    BsTarget *Find(Table *table, unsigned index)
    {
        return BsTargets_Find(table->targets,
                              ("u" + std::to_string(index)).c_str());
    }
    void Event()
    {
        unsigned kind = Draw(12);
        unsigned index = Draw(kUpstreams);
        unsigned value = Draw(1000);
        for (Table *table : {&explained_, &plain_}) {
            Apply(table, kind, Find(table, index), value);
        }
    }
    void Apply(Table *table, unsigned kind, BsTarget *target, unsigned value)
    {
        switch (kind) {
        case 0:
            BsTargets_SetCold(target, value * 2, now_ms_);
            break;
        case 1:
            BsTargets_NoteLimit(target, value % 2 ? value / 20.0 : 0, now_ms_,
                                now_ms_);
            break;
        case 2:
            BsTargets_SetRequestedPause(target, value, now_ms_);
            break;
        case 3:
            BsTargets_SetRemoteAge(table->targets, value % 2 ? 300 : 0);
            break;
        case 4:
            BsTargets_SetShare(table->targets, 0.2 + value / 2000.0);
            break;
        case 5:
            Report(table, target, value);
            break;
        case 6:
            BsTargets_SetClosed(table->targets, target->data_centre,
                                value % 3 == 0);
            break;
        default:
            if (target->own > 0) {
                auto end = (BsTargetEnd)(value % 10 < 7 ? 0 : value % 7);
                BsTargets_Ended(table->targets, target, end, value, 0,
                                now_ms_);
            }
        }
    }
    // A peer's loads, or a hub's sums.
    void Report(Table *table, const BsTarget *target, unsigned value)
    {
        GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
        BsTargetLoad load = {target->hash, value % 4, value / 10};
        g_array_append_val(loads, load);
        if (value % 2) {
            BsTargets_SetPeer(table->targets, 1 + value % 3, loads, now_ms_);
        }
        else {
            BsTargets_SetFleet(table->targets, loads, now_ms_);
        }
        g_array_free(loads, TRUE);
    }
    BsTargetQuery Query(const Table &table, unsigned seed)
    {
        static const char *const excluded[] = {"u0", "u5"};
        BsTargetQuery query = table.Query();
        query.reserved_slots = seed % 3;
        query.session = seed % 5;
        query.excluded = excluded;
        query.excluded_count = seed % 7 == 0 ? 2 : 0;
        query.spoke_since_ms = seed % 11 == 0 ? now_ms_ - 400 : 0;
        query.prompt_tokens = seed % 4000;
        return query;
    }
    // Explains and chooses; the request is sent if there is an upstream.
    void Step()
    {
        unsigned seed = Draw(10000);
        BsTargetQuery query = Query(explained_, seed);
        BsTargetQuery same = Query(plain_, seed);
        std::string before = explained_.Bytes();
        BsTargetExplanation explanation = explained_.Explain(query, now_ms_);
        ASSERT_EQ(before, explained_.Bytes());
        BsTargetVerdict verdict;
        BsTargetVerdict plain_verdict;
        BsTarget *chosen = explained_.Choose(query, &verdict, now_ms_);
        BsTarget *plain = plain_.Choose(same, &plain_verdict, now_ms_);
        ASSERT_EQ(verdict, plain_verdict);
        ASSERT_EQ(verdict, explanation.verdict);
        ASSERT_EQ(chosen, explanation.chosen);
        ASSERT_EQ(chosen == nullptr, plain == nullptr);
        bool eligible =
            explanation.candidates[0].judgement.reason == BS_TARGET_ELIGIBLE;
        ASSERT_EQ(eligible, chosen != nullptr);
        (chosen == nullptr ? unplaced_ : placed_)++;
        if (chosen != nullptr) {
            ASSERT_STREQ(chosen->id, plain->id);
            ASSERT_EQ(explanation.candidates[0].target, chosen);
            BsTargets_Sent(explained_.targets, chosen, &query, now_ms_);
            BsTargets_Sent(plain_.targets, plain, &same, now_ms_);
        }
    }

    Table explained_;
    Table plain_;
    std::mt19937 random_;
    int64_t now_ms_ = kStartMs;
    int placed_ = 0;
    int unplaced_ = 0;
};

// Guards against an explanation that differs from the choice after it, and
// against one that uses up a limit, an allowance or a sample.
TEST_P(WalkTest, TheFirstEligibleCandidateIsChosenAndNothingChanges)
{
    for (int i = 0; i < 4000; i++) {
        now_ms_ += Draw(20);
        Event();
        Step();
        if (HasFatalFailure()) {
            FAIL() << "step " << i;
        }
    }
    EXPECT_GT(placed_, 100);
    EXPECT_GT(unplaced_, 100);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WalkTest, testing::Range(1u, 9u));

} // namespace
