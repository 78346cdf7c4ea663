// Summaries from hubs: their encoding, and how a receiver uses them.
#include <gtest/gtest.h>

extern "C" {
#include "fleetview.h"
#include "gossip.h"
#include "summary.h"
}

namespace {

// An instance subtracts its own load from the hub's sums.  The second summary
// acknowledges a newer report but holds no loads, so the older sums do not
// contain that report and must not be reduced by it.
TEST(FleetView, SubtractsOwnReportOnlyFromSumsThatContainIt)
{
    BsFleetView *view = BsFleetView_Create();
    BsGossipReport report;
    BsSummary summary;
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsGossipReport_Init(&report);
    BsSummary_Init(&summary);
    BsTargetLoad own = {9, 1, 0};
    BsTargetLoad total = {9, 3, 0};
    report.sequence = 1;
    g_array_append_val(report.loads, own);
    BsFleetView_NoteOwn(view, &report);
    g_array_append_val(summary.loads, total);
    BsFleetView_ApplySummary(view, &summary, 1, 0, loads, uses);
    ASSERT_GT(loads->len, 0U);
    EXPECT_EQ(g_array_index(loads, BsTargetLoad, loads->len - 1).in_flight,
              2U);
    report.sequence = 2;
    g_array_index(report.loads, BsTargetLoad, 0).in_flight = 3;
    BsFleetView_NoteOwn(view, &report);
    g_array_set_size(summary.loads, 0);
    g_array_set_size(loads, 0);
    BsFleetView_ApplySummary(view, &summary, 2, 10, loads, uses);
    EXPECT_EQ(loads->len, 0U);
    BsGossipReport_Clear(&report);
    BsSummary_Clear(&summary);
    g_array_unref(loads);
    g_array_unref(uses);
    BsFleetView_Destroy(view);
}

// A summary with a lower sequence number than the last one of the same
// incarnation is ignored; a new incarnation starts over.
TEST(Summary, OneThatArrivesOutOfOrderIsIgnored)
{
    BsGossip *gossip = BsGossip_Create(1, 7, 1, 0);
    BsSummary summary;
    BsSummary_Init(&summary);
    summary.incarnation = 5;
    summary.data_centre = 7;
    summary.weight = 100;
    summary.known = 100;
    summary.sequence = 10;
    BsGossip_ApplySummary(gossip, 2, &summary, 10);
    BsGossip_ChooseHub(gossip, 10);
    EXPECT_EQ(BsGossip_Hub(gossip), 2U);
    EXPECT_TRUE(BsGossip_ApplySummary(gossip, 2, &summary, 20));
    summary.sequence = 9;
    EXPECT_FALSE(BsGossip_ApplySummary(gossip, 2, &summary, 30));
    summary.incarnation = 6;
    summary.sequence = 1;
    EXPECT_TRUE(BsGossip_ApplySummary(gossip, 2, &summary, 40));
    BsSummary_Clear(&summary);
    BsGossip_Destroy(gossip);
}

TEST(Summary, EncodingRoundTrips)
{
    BsSummary sent;
    BsSummary got;
    GString *data = g_string_new(nullptr);
    BsSummary_Init(&sent);
    BsSummary_Init(&got);
    sent.incarnation = UINT64_MAX;
    sent.sequence = 7;
    sent.data_centre = 0xfeedbeef;
    sent.weight = 512;
    sent.age_ms = 30;
    sent.remote = true;
    sent.stopping = true;
    sent.reading = BS_GOSSIP_READS;
    sent.revision = 1ULL << 40;
    sent.newest = 3;
    sent.store_failed_ms = 0;
    sent.reachable = 49;
    sent.known = 50;
    BsTargetLoad load = {0xffffffff, 5, 6};
    BsQuotaUse use = {UINT64_MAX, 9};
    BsCrashRecord record = {UINT64_MAX, 2, 9, 1, {UINT32_MAX}};
    BsGossipMemberInfo named = {};
    named.stopping = true;
    g_array_append_val(sent.loads, load);
    g_array_append_val(sent.uses, use);
    g_array_append_val(sent.crash_records, record);
    g_array_append_val(sent.members, named);
    BsSummary_Encode(&sent, data);
    ASSERT_TRUE(BsSummary_Decode(data->str, data->len, &got));
    EXPECT_EQ(got.incarnation, sent.incarnation);
    EXPECT_EQ(got.sequence, 7U);
    EXPECT_EQ(got.data_centre, sent.data_centre);
    EXPECT_EQ(got.weight, 512U);
    EXPECT_EQ(got.age_ms, 30U);
    EXPECT_TRUE(got.remote);
    EXPECT_TRUE(got.stopping);
    EXPECT_EQ(got.reading, BS_GOSSIP_READS);
    EXPECT_EQ(got.revision, sent.revision);
    EXPECT_EQ(got.newest, 3U);
    EXPECT_EQ(got.store_failed_ms, 0);
    EXPECT_EQ(got.reachable, 49U);
    EXPECT_EQ(got.known, 50U);
    EXPECT_EQ(g_array_index(got.loads, BsTargetLoad, 0).cold_sent, 6U);
    EXPECT_EQ(g_array_index(got.uses, BsQuotaUse, 0).used, 9U);
    const BsCrashRecord &decoded =
        g_array_index(got.crash_records, BsCrashRecord, 0);
    EXPECT_EQ(decoded.content, UINT64_MAX);
    EXPECT_EQ(decoded.generation, 2U);
    EXPECT_EQ(decoded.age_ms, 9U);
    ASSERT_EQ(decoded.crashes, 1U);
    EXPECT_EQ(decoded.upstreams[0], UINT32_MAX);
    EXPECT_TRUE(g_array_index(got.members, BsGossipMemberInfo, 0).stopping);
    for (size_t size = 0; size < data->len; size++) {
        BsSummary cut;
        BsSummary_Init(&cut);
        EXPECT_FALSE(BsSummary_Decode(data->str, size, &cut)) << size;
        BsSummary_Clear(&cut);
    }
    BsSummary_Clear(&sent);
    BsSummary_Clear(&got);
    g_string_free(data, TRUE);
}

TEST(Summary, StaysWithinADatagram)
{
    BsSummary summary;
    GString *data = g_string_new(nullptr);
    BsSummary_Init(&summary);
    for (uint64_t i = 0; i < 2000; i++) {
        BsTargetLoad load = {UINT32_MAX - i, UINT32_MAX, UINT32_MAX};
        BsQuotaUse use = {UINT64_MAX - i, UINT64_MAX};
        g_array_append_val(summary.loads, load);
        g_array_append_val(summary.uses, use);
    }
    BsSummary_Encode(&summary, data);
    EXPECT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    BsSummary_Clear(&summary);
    g_string_free(data, TRUE);
}

} // namespace
