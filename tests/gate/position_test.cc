// The order of points in the history of a store that may be restored.
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "itemcodec.h"
#include "replica.h"
}

namespace {

// Guards against a comparison of revisions of two eras.
TEST(Position, OrdersErasThenSettlingThenRevisions)
{
    const std::vector<uint64_t> ascending = {
        BsPosition_Make(0, false, 0),
        BsPosition_Make(1, false, 1),
        BsPosition_Make(1, false, BS_POSITION_REVISION_MAX),
        BsPosition_Make(1, true, 0),
        BsPosition_Make(2, false, 0),
        BsPosition_Make(2, false, 900),
        BsPosition_Make(2, true, 3),
        BsPosition_Make(3, false, 1),
        BsPosition_Make(BS_POSITION_ERA_MAX, true, 7),
    };
    for (size_t i = 1; i < ascending.size(); i++) {
        EXPECT_LT(ascending[i - 1], ascending[i]) << i;
    }
}

// Guards against a watch that begins at another revision than was read, and
// against parts of a position that run into each other.
TEST(Position, GivesItsParts)
{
    uint64_t position = BsPosition_Make(7, true, 1234);
    EXPECT_EQ(BsPosition_Era(position), 7U);
    EXPECT_TRUE(BsPosition_IsSettled(position));
    EXPECT_EQ(BsPosition_Revision(position), 1234U);
    EXPECT_EQ(BsPosition_WithRevision(position, 5),
              BsPosition_Make(7, true, 5));
    EXPECT_EQ(BsPosition_Make(1, false, 42), 42U);
    EXPECT_EQ(
        BsPosition_Make(UINT64_MAX, false, UINT64_MAX),
        BsPosition_Make(BS_POSITION_ERA_MAX, false, BS_POSITION_REVISION_MAX));
}

class ReplicaTest : public testing::Test {
  protected:
    struct Side {
        BsReplica *replica;
        int changes = 0;
        Side()
        {
            replica = BsReplica_Create(
                [](const BsItem *, void *context) {
                    static_cast<Side *>(context)->changes++;
                },
                this);
            BsReplica_AddPrefix(replica, "");
        }
        ~Side()
        {
            BsReplica_Destroy(replica);
        }
        void Apply(const char *key, const char *value, uint64_t position)
        {
            GBytes *bytes =
                value == nullptr ? nullptr : g_bytes_new(value, strlen(value));
            BsReplica_Apply(replica, key, bytes, position, position);
            if (bytes != nullptr) {
                g_bytes_unref(bytes);
            }
        }
        std::string Value(const char *key)
        {
            const BsItem *item = BsReplica_Find(replica, key);
            if (item == nullptr || item->value == nullptr) {
                return "-";
            }
            gsize size = 0;
            const void *data = g_bytes_get_data(item->value, &size);
            return std::string((const char *)data, size);
        }
    };
    // Sends what TO does not have yet.
    static void Send(const Side &from, const Side &to)
    {
        GString *data = g_string_new(nullptr);
        BsItemCodec_Encode(from.replica,
                           BsReplica_CompleteRevision(to.replica), data);
        EXPECT_TRUE(BsItemCodec_Apply(data->str, data->len, to.replica));
        g_string_free(data, TRUE);
    }
};

// Guards against items of the era before that replace newer ones, from a peer
// that has not heard of the restore, and against a full set that lacks them.
TEST_F(ReplicaTest, PeersOfTwoErasMeet)
{
    Side ahead;
    Side behind;
    for (Side *side : {&ahead, &behind}) {
        side->Apply("a", "1", BsPosition_Make(1, false, 30));
        side->Apply("b", "1", BsPosition_Make(1, false, 31));
        BsReplica_SetComplete(side->replica, "",
                              BsPosition_Make(1, false, 31));
    }
    behind.Apply("a", "lost", BsPosition_Make(1, false, 40));
    BsReplica_SetComplete(behind.replica, "", BsPosition_Make(1, false, 40));
    ahead.Apply("a", "2", BsPosition_Make(2, false, 12));
    BsReplica_SetComplete(ahead.replica, "", BsPosition_Make(2, false, 12));
    Send(behind, ahead);
    EXPECT_EQ(ahead.Value("a"), "2");
    EXPECT_EQ(ahead.Value("b"), "1");
    Send(ahead, behind);
    EXPECT_EQ(behind.Value("a"), "2");
    EXPECT_EQ(behind.Value("b"), "1");
}

// Guards against peers that keep what a settled era lacks, though its revision
// is the one that they have.
TEST_F(ReplicaTest, ASettledEraReachesPeersOfTheSameRevision)
{
    Side settled;
    Side other;
    for (Side *side : {&settled, &other}) {
        side->Apply("a", "1", BsPosition_Make(1, false, 30));
        side->Apply("b", "1", BsPosition_Make(2, false, 12));
        BsReplica_SetComplete(side->replica, "",
                              BsPosition_Make(2, false, 12));
    }
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(keys, (gpointer) "b");
    settled.Apply("b", "1", BsPosition_Make(2, true, 12));
    BsReplica_Retain(settled.replica, "", keys, BsPosition_Make(2, true, 12));
    BsReplica_SetComplete(settled.replica, "", BsPosition_Make(2, true, 12));
    g_hash_table_destroy(keys);
    int changes = other.changes;
    Send(settled, other);
    EXPECT_EQ(other.Value("a"), "-");
    EXPECT_EQ(other.Value("b"), "1");
    // Only the removal is a change: the value of b is the same.
    EXPECT_EQ(other.changes, changes + 1);
}

} // namespace
