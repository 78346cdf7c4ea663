// A long queue in an overload: after one request found no free slot, requests
// that could only use the same slots are skipped.
#include <gtest/gtest.h>

extern "C" {
#include "queuepass.h"
}

namespace {

class QueuePassTest : public testing::Test {
  protected:
    QueuePassTest()
    {
        BsQueuePass_Begin(&pass_);
        route_ = BsCatalogRoute_Create();
        other_ = BsCatalogRoute_Create();
        free_.regions = g_ptr_array_new();
        bound_.regions = g_ptr_array_new();
        also_bound_.regions = g_ptr_array_new();
        g_ptr_array_add(bound_.regions, route_);
        g_ptr_array_add(also_bound_.regions, route_);
    }
    ~QueuePassTest() override
    {
        BsCatalogRoute_Destroy(route_);
        BsCatalogRoute_Destroy(other_);
        g_ptr_array_unref(free_.regions);
        g_ptr_array_unref(bound_.regions);
        g_ptr_array_unref(also_bound_.regions);
    }
    bool MayFind(const BsCatalogRoute *route, const BsCatalogAccount *account,
                 uint32_t left, bool excludes = false)
    {
        BsQueuePassKind kind = {route, &service_, account, left, excludes};
        return BsQueuePass_MayFindSlot(&pass_, &kind);
    }
    void None(const BsCatalogRoute *route, const BsCatalogAccount *account,
              uint32_t left, bool excludes = false)
    {
        BsQueuePassKind kind = {route, &service_, account, left, excludes};
        BsQueuePass_NoteNoSlot(&pass_, &kind);
    }
    BsQueuePass pass_;
    BsCatalogRoute *route_;
    BsCatalogRoute *other_;
    BsCatalogService service_ = {};
    BsCatalogService second_ = {};
    BsCatalogAccount free_ = {};
    BsCatalogAccount bound_ = {};
    BsCatalogAccount also_bound_ = {};
};

TEST_F(QueuePassTest, LongQueueInAnOverload)
{
    EXPECT_TRUE(MayFind(route_, &free_, 0));
    None(route_, &free_, 0);
    for (int i = 0; i < 1000; i++) {
        EXPECT_FALSE(MayFind(route_, &free_, 0));
    }
    EXPECT_FALSE(MayFind(route_, &free_, 2));
    EXPECT_FALSE(MayFind(route_, &bound_, 0));
    EXPECT_FALSE(MayFind(route_, nullptr, 0, true));
    EXPECT_TRUE(MayFind(other_, &free_, 0));
}

TEST_F(QueuePassTest, ARequestThatLeavesFewerSlotsIsTried)
{
    None(route_, &free_, 2);
    EXPECT_FALSE(MayFind(route_, &free_, 2));
    EXPECT_TRUE(MayFind(route_, &free_, 0));
}

TEST_F(QueuePassTest, ABoundAccountDoesNotSkipOthers)
{
    None(route_, &bound_, 0);
    EXPECT_FALSE(MayFind(route_, &bound_, 0));
    EXPECT_TRUE(MayFind(route_, &also_bound_, 0));
    EXPECT_TRUE(MayFind(route_, &free_, 0));
}

TEST_F(QueuePassTest, ARequestThatExcludesUpstreamsDoesNotSkipOthers)
{
    None(route_, &free_, 0, true);
    EXPECT_TRUE(MayFind(route_, &free_, 0));
}

TEST_F(QueuePassTest, ARouteToTwoServicesIsTwoKinds)
{
    None(route_, &free_, 0);
    BsQueuePassKind kind = {route_, &second_, &free_, 0, false};
    EXPECT_TRUE(BsQueuePass_MayFindSlot(&pass_, &kind));
}

TEST_F(QueuePassTest, MoreKindsThanRemembered)
{
    for (uint32_t left = 100; left > 0; left--) {
        None(route_, &free_, left);
    }
    EXPECT_TRUE(MayFind(route_, &free_, 1));
    EXPECT_FALSE(MayFind(route_, &free_, 100));
}

} // namespace
