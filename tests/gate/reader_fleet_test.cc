// Which instances read the store for their data centres while some that do are
// cut off from it, on a logical clock.
#include "fleet_world.h"

namespace {

// Time within which changes must be in force everywhere, and what the way of a
// change takes after another instance has read it: a slow answer of the store
// (300 ms), and the pause, spread and call of a fetch from a peer.
const int64_t kInForceMs = 2500;
const int64_t kAfterReadMs = 300 + 150 + 250 + 100;

// Time between two answers to a reader while nothing changes.
const int64_t kAnswerPauseMs = 800;

struct ReaderCase {
    const char *name;
    FleetSize size;
    unsigned cut; // readers of each data centre that are cut off
};

class ReaderFleetTest : public FleetTest,
                        public testing::WithParamInterface<ReaderCase> {
  protected:
    // Lets the instances read the store as their roles say, for MS.
    void Read(int64_t ms)
    {
        for (int64_t end = world_.now_ms + ms; world_.now_ms < end;) {
            for (auto &node : world_.nodes) {
                Step(node.get());
            }
            world_.Run(10);
        }
    }
    void Step(Node *node)
    {
        BsGossip *gossip = BsFleetAgent_Gossip(node->agent);
        int64_t now_ms = world_.now_ms;
        int64_t age_ms =
            node->answered_ms < 0 ? -1 : now_ms - node->answered_ms;
        BsGossip_NoteStoreAnswer(gossip, node->data_centre, age_ms, now_ms);
        BsGossipReaderRole role = BsGossip_ReaderRole(gossip, now_ms);
        node->reading =
            role == BS_GOSSIP_READER ? BS_GOSSIP_READS : BS_GOSSIP_IDLE;
        bool waits = age_ms >= 0 && age_ms < kAnswerPauseMs &&
                     node->newest == store_newest_;
        if (role == BS_GOSSIP_NO_READER || waits ||
            cut_.count(node->address) > 0) {
            return;
        }
        answers_++;
        node->answered_ms = now_ms;
        node->newest = store_newest_;
        world_.Change(node, Upstream(0), 0);
    }
    // The instances of a data centre that read first.
    std::vector<Node *> First(uint32_t data_centre, unsigned count)
    {
        std::vector<Node *> all;
        for (auto &node : world_.nodes) {
            if (node->data_centre == data_centre) {
                all.push_back(node.get());
            }
        }
        std::sort(all.begin(), all.end(), [](Node *a, Node *b) {
            return a->answered_ms > b->answered_ms;
        });
        std::partial_sort(all.begin() + 1, all.begin() + count, all.end(),
                          [](Node *a, Node *b) {
                              return a->weight != b->weight
                                         ? a->weight > b->weight
                                         : Rank(a) < Rank(b);
                          });
        all.resize(count);
        return all;
    }
    static uint32_t Rank(const Node *node)
    {
        return node->address * UINT32_C(2654435761);
    }
    // Instances that neither hold the newest item nor know who does.
    int Uninformed()
    {
        return (int)std::count_if(
            world_.nodes.begin(), world_.nodes.end(), [&](const auto &node) {
                return node->newest < store_newest_ &&
                       BsGossip_Newer(BsFleetAgent_Gossip(node->agent),
                                      node->newest, node->newest,
                                      world_.now_ms) == nullptr;
            });
    }

    uint64_t store_newest_ = 5;
    uint64_t answers_ = 0;
    std::set<uint32_t> cut_;
};

// Guards against changes that come into force late, as the instances of a data
// centre rely on one that gets no answers from the store and does not know it
// yet.
TEST_P(ReaderFleetTest, ChangesArriveWhileReadersAreCutOff)
{
    FleetSize size = GetParam().size;
    Build(size.data_centres, size.per_data_centre);
    Read(8000);
    answers_ = 0;
    Read(8000);
    // One instance of each data centre reads while all is well.
    EXPECT_LE(answers_, size.data_centres * 8000 / kAnswerPauseMs + 1);
    for (uint32_t dc = 1; dc <= size.data_centres; dc++) {
        for (Node *node : First(dc, GetParam().cut)) {
            cut_.insert(node->address);
        }
    }
    store_newest_++;
    Read(kInForceMs - kAfterReadMs);
    EXPECT_EQ(Uninformed(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, ReaderFleetTest,
    testing::Values(ReaderCase{"OneOfThree", {1, 3}, 1},
                    ReaderCase{"OneOfNine", {3, 3}, 1},
                    ReaderCase{"OneOfFortyNine", {6, 49}, 1},
                    ReaderCase{"TwoOfThree", {1, 3}, 2}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
