// Unit tests of gateway modules: replica, codecs, SSE parts, catalog, log.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <vector>

extern "C" {
#include "catalog.h"
#include "eventlog.h"
#include "gossip.h"
#include "itemcodec.h"
#include "replica.h"
#include "ssesplitter.h"
}

namespace {

// ------------------------------------------------------------- replica --

struct Changes {
    std::vector<std::string> lines;
};

void
OnChange(const BsItem *item, void *context)
{
    gsize size = 0;
    const void *data = item->value == nullptr
                           ? nullptr
                           : g_bytes_get_data(item->value, &size);
    static_cast<Changes *>(context)->lines.push_back(
        std::string(item->key) + "=" +
        (data == nullptr
             ? "(removed)"
             : std::string(static_cast<const char *>(data), size)) +
        "@" + std::to_string(item->revision));
}

class Replica {
  public:
    Replica() : replica_(BsReplica_Create(OnChange, &changes))
    {
        BsReplica_AddPrefix(replica_, "a/");
        BsReplica_AddPrefix(replica_, "b/");
    }
    ~Replica()
    {
        BsReplica_Destroy(replica_);
    }
    bool Put(const char *key, const char *value, uint64_t revision,
             uint64_t as_of = UINT64_MAX)
    {
        GBytes *bytes = value == nullptr
                            ? nullptr
                            : g_bytes_new(value, std::string(value).size());
        bool taken = BsReplica_Apply(replica_, key, bytes, revision, as_of);
        if (bytes != nullptr) {
            g_bytes_unref(bytes);
        }
        return taken;
    }
    BsReplica *get()
    {
        return replica_;
    }
    Changes changes;

  private:
    BsReplica *replica_;
};

TEST(Replica, HighestRevisionWins)
{
    Replica replica;
    EXPECT_TRUE(replica.Put("a/1", "new", 7));
    EXPECT_FALSE(replica.Put("a/1", "stale", 6));
    EXPECT_FALSE(replica.Put("a/1", "again", 7));
    EXPECT_TRUE(replica.Put("a/1", nullptr, 8));
    EXPECT_FALSE(replica.Put("a/1", "back from the dead", 7));
    EXPECT_EQ(replica.changes.lines,
              (std::vector<std::string>{"a/1=new@7", "a/1=(removed)@8"}));
}

TEST(Replica, FullReadRemovesWhatIsMissingButNotWhatIsNewer)
{
    Replica replica;
    replica.Put("a/kept", "x", 1);
    replica.Put("a/gone", "x", 2);
    replica.Put("a/newer", "x", 9);
    replica.Put("b/other", "x", 3);
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(keys, const_cast<char *>("a/kept"));
    BsReplica_Retain(replica.get(), "a/", keys, 5);
    g_hash_table_destroy(keys);
    EXPECT_EQ(BsReplica_Find(replica.get(), "a/gone")->value, nullptr);
    EXPECT_NE(BsReplica_Find(replica.get(), "a/kept")->value, nullptr);
    EXPECT_NE(BsReplica_Find(replica.get(), "a/newer")->value, nullptr);
    EXPECT_NE(BsReplica_Find(replica.get(), "b/other")->value, nullptr);
}

// An answer of the store as of revision 6 arrives after a peer has sent all
// items up to revision 9; an item missing there was removed in between.
TEST(Replica, LateStoreAnswerDoesNotRestoreRemovedItem)
{
    Replica replica;
    BsReplica_SetAllComplete(replica.get(), 9);
    EXPECT_FALSE(replica.Put("a/gone", "x", 4, 6));
    EXPECT_EQ(BsReplica_Find(replica.get(), "a/gone"), nullptr);
    // An answer as of revision 9 adds an item that the replica missed.
    EXPECT_TRUE(replica.Put("a/missed", "x", 4, 9));
    EXPECT_TRUE(replica.Put("a/new", "x", 10, 10));
}

TEST(Replica, IsCompleteOnlyWhenEveryPrefixIs)
{
    Replica replica;
    BsReplica_SetComplete(replica.get(), "a/", 9);
    EXPECT_EQ(BsReplica_CompleteRevision(replica.get()), 0U);
    BsReplica_SetComplete(replica.get(), "b/", 4);
    EXPECT_EQ(BsReplica_CompleteRevision(replica.get()), 4U);
    BsReplica_SetComplete(replica.get(), "b/", 3);
    EXPECT_EQ(BsReplica_CompleteRevision(replica.get()), 4U);
}

TEST(ItemCodec, PassesOnNewerItemsAndRemovals)
{
    Replica from;
    Replica to;
    from.Put("a/old", "x", 1);
    from.Put("a/new", "y", 5);
    from.Put("b/1", nullptr, 6);
    BsReplica_SetAllComplete(from.get(), 6);
    GString *data = g_string_new(nullptr);
    BsItemCodec_Encode(from.get(), 1, data);
    EXPECT_TRUE(BsItemCodec_Apply(data->str, data->len, to.get()));
    EXPECT_EQ(to.changes.lines,
              (std::vector<std::string>{"a/new=y@5", "b/1=(removed)@6"}));
    EXPECT_EQ(BsReplica_CompleteRevision(to.get()), 6U);
    g_string_free(data, TRUE);
}

// Fills REPLICA by a full read as of REVISION, as at a start; PRESENT holds
// the keys of all items.
void
ReadInFull(Replica &replica, const std::vector<std::string> &present,
           uint64_t revision)
{
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (const std::string &key : present) {
        replica.Put(key.c_str(), "x", 1);
        g_hash_table_add(keys, const_cast<char *>(key.c_str()));
    }
    BsReplica_Retain(replica.get(), "", keys, revision);
    BsReplica_SetAllComplete(replica.get(), revision);
    g_hash_table_destroy(keys);
}

void
PassOn(Replica &from, Replica &to)
{
    GString *data = g_string_new(nullptr);
    BsItemCodec_Encode(from.get(), BsReplica_CompleteRevision(to.get()), data);
    EXPECT_TRUE(BsItemCodec_Apply(data->str, data->len, to.get()));
    g_string_free(data, TRUE);
}

// A started instance has read all present items, but saw none of the earlier
// removals.  What it sends must still remove those items elsewhere.
TEST(ItemCodec, StartedInstancePassesOnRemovalsItNeverSaw)
{
    Replica to;
    ReadInFull(to, {"a/gone", "a/kept"}, 5);
    Replica started;
    ReadInFull(started, {"a/kept"}, 9);
    PassOn(started, to);
    EXPECT_EQ(BsReplica_CompleteRevision(to.get()), 9U);
    EXPECT_EQ(BsReplica_Find(to.get(), "a/gone")->value, nullptr);
    EXPECT_NE(BsReplica_Find(to.get(), "a/kept")->value, nullptr);
    // The receiver passes the removal on in turn.
    Replica third;
    ReadInFull(third, {"a/gone", "a/kept"}, 7);
    PassOn(to, third);
    EXPECT_EQ(BsReplica_Find(third.get(), "a/gone")->value, nullptr);
}

// A started instance asks a peer and the store.  The peer's answer predates a
// removal and arrives last.
TEST(ItemCodec, StaleListDoesNotRestoreRemovedItem)
{
    Replica peer;
    ReadInFull(peer, {"a/gone", "a/kept"}, 5);
    GString *stale = g_string_new(nullptr);
    BsItemCodec_Encode(peer.get(), 0, stale);
    Replica started;
    ReadInFull(started, {"a/kept"}, 9);
    EXPECT_TRUE(BsItemCodec_Apply(stale->str, stale->len, started.get()));
    EXPECT_EQ(BsReplica_Find(started.get(), "a/gone"), nullptr);
    EXPECT_EQ(BsReplica_CompleteRevision(started.get()), 9U);
    g_string_free(stale, TRUE);
}

// A replica may hold single items newer than the revision up to which the
// sender's list is complete.
TEST(ItemCodec, ListDoesNotRemoveNewerItem)
{
    Replica to;
    ReadInFull(to, {"a/kept"}, 5);
    to.Put("a/newer", "x", 12);
    Replica started;
    ReadInFull(started, {"a/kept"}, 9);
    PassOn(started, to);
    EXPECT_NE(BsReplica_Find(to.get(), "a/newer")->value, nullptr);
}

// Removals that the sender dropped to save memory still take effect at the
// receiver, like removals it never saw.
TEST(ItemCodec, DroppedRemovalsArePassedOn)
{
    Replica from;
    Replica to;
    ReadInFull(from, {"a/gone", "a/kept"}, 5);
    ReadInFull(to, {"a/gone", "a/kept"}, 5);
    from.Put("a/gone", nullptr, 6);
    for (uint64_t revision = 7; revision < 10007; revision++) {
        std::string key = "b/" + std::to_string(revision);
        from.Put(key.c_str(), nullptr, revision);
    }
    BsReplica_SetAllComplete(from.get(), 10006);
    PassOn(from, to);
    EXPECT_EQ(BsReplica_Find(to.get(), "a/gone")->value, nullptr);
}

TEST(ItemCodec, LargeValuesAreCompressed)
{
    Replica from;
    Replica to;
    std::string routes;
    for (int i = 0; i < 1000; i++) {
        routes += "{\"name\":\"route-" + std::to_string(i) +
                  "\",\"route-type\":\"streaming\"},";
    }
    from.Put("a/config", routes.c_str(), 5);
    for (int round = 0; round < 2; round++) {
        GString *data = g_string_new(nullptr);
        BsItemCodec_Encode(from.get(), 0, data);
        EXPECT_LT(data->len, routes.size() / 5);
        EXPECT_TRUE(BsItemCodec_Apply(data->str, data->len, to.get()));
        g_string_free(data, TRUE);
    }
    gsize size = 0;
    const void *got =
        g_bytes_get_data(BsReplica_Find(to.get(), "a/config")->value, &size);
    EXPECT_EQ(std::string(static_cast<const char *>(got), size), routes);
}

TEST(ItemCodec, RefusesTruncatedOrForeignData)
{
    Replica from;
    from.Put("a/1", "value", 5);
    GString *data = g_string_new(nullptr);
    BsItemCodec_Encode(from.get(), 0, data);
    for (size_t size = 0; size < data->len; size++) {
        Replica to;
        EXPECT_FALSE(BsItemCodec_Apply(data->str, size, to.get())) << size;
        EXPECT_TRUE(to.changes.lines.empty());
    }
    Replica to;
    EXPECT_FALSE(BsItemCodec_Apply("\x92\x01\x91\x01", 4, to.get()));
    g_string_free(data, TRUE);
}

// -------------------------------------------------------------- gossip --

TEST(GossipReport, EncodingRoundTrips)
{
    BsGossipReport sent;
    BsGossipReport got;
    GString *data = g_string_new(nullptr);
    BsGossipReport_Init(&sent);
    BsGossipReport_Init(&got);
    sent.incarnation = UINT64_MAX;
    sent.sequence = 3;
    sent.revision = 1ULL << 40;
    sent.data_centre = 0xfeedbeef;
    sent.stopping = true;
    BsTargetLoad load = {0x1234567890abcdefULL, 5, 6};
    BsQuotaUse use = {7, 8};
    BsGossipMemberInfo member = {};
    member.address = 0x0a010203;
    member.data_centre = 0xfeedbee0;
    member.weight = 512;
    member.reachable = true;
    member.age_ms = 1500;
    member.reading = BS_GOSSIP_FAILS;
    member.revision = 1ULL << 33;
    member.newest = 9;
    sent.weight = 88;
    sent.fleet = 295;
    sent.age_ms = 700;
    g_array_append_val(sent.loads, load);
    g_array_append_val(sent.uses, use);
    g_array_append_val(sent.members, member);
    BsCrashRecord record = {UINT64_MAX - 1, 4, 5, 2, {6, UINT32_MAX}};
    g_array_append_val(sent.crash_records, record);
    BsGossipReport_Encode(&sent, data);
    ASSERT_TRUE(BsGossipReport_Decode(data->str, data->len, &got));
    EXPECT_EQ(got.incarnation, sent.incarnation);
    EXPECT_EQ(got.revision, sent.revision);
    EXPECT_EQ(got.data_centre, sent.data_centre);
    EXPECT_TRUE(got.stopping);
    ASSERT_EQ(got.loads->len, 1U);
    ASSERT_EQ(got.crash_records->len, 1U);
    const BsCrashRecord &decoded =
        g_array_index(got.crash_records, BsCrashRecord, 0);
    EXPECT_EQ(decoded.content, record.content);
    EXPECT_EQ(decoded.generation, 4U);
    EXPECT_EQ(decoded.age_ms, 5U);
    ASSERT_EQ(decoded.crashes, 2U);
    EXPECT_EQ(decoded.upstreams[0], 6U);
    EXPECT_EQ(decoded.upstreams[1], UINT32_MAX);
    EXPECT_EQ(g_array_index(got.loads, BsTargetLoad, 0).cold_sent, 6U);
    ASSERT_EQ(got.uses->len, 1U);
    EXPECT_EQ(g_array_index(got.uses, BsQuotaUse, 0).used, 8U);
    ASSERT_EQ(got.members->len, 1U);
    const BsGossipMemberInfo &named =
        g_array_index(got.members, BsGossipMemberInfo, 0);
    EXPECT_EQ(named.address, member.address);
    EXPECT_EQ(named.data_centre, member.data_centre);
    EXPECT_EQ(named.weight, member.weight);
    EXPECT_TRUE(named.reachable);
    EXPECT_FALSE(named.stopping);
    EXPECT_EQ(named.age_ms, 1500U);
    EXPECT_EQ(got.age_ms, 700U);
    EXPECT_EQ(named.reading, BS_GOSSIP_FAILS);
    EXPECT_EQ(named.revision, member.revision);
    EXPECT_EQ(named.newest, member.newest);
    EXPECT_EQ(got.weight, 88U);
    EXPECT_EQ(got.fleet, 295U);
    for (size_t size = 0; size < data->len; size++) {
        BsGossipReport cut;
        BsGossipReport_Init(&cut);
        EXPECT_FALSE(BsGossipReport_Decode(data->str, size, &cut)) << size;
        BsGossipReport_Clear(&cut);
    }
    BsGossipReport_Clear(&sent);
    BsGossipReport_Clear(&got);
    g_string_free(data, TRUE);
}

TEST(GossipReport, StaysWithinADatagram)
{
    BsGossipReport report;
    GString *data = g_string_new(nullptr);
    BsGossipReport_Init(&report);
    for (uint64_t i = 0; i < 5000; i++) {
        BsTargetLoad load = {UINT64_MAX - i, UINT32_MAX, UINT32_MAX};
        BsQuotaUse use = {UINT64_MAX - i, UINT64_MAX};
        BsGossipMemberInfo member = {};
        member.address = UINT32_MAX - (uint32_t)i;
        g_array_append_val(report.loads, load);
        if (i < 20) {
            g_array_append_val(report.uses, use);
        }
        g_array_append_val(report.members, member);
    }
    BsGossipReport_Encode(&report, data);
    EXPECT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    BsGossipReport_Clear(&report);
    g_string_free(data, TRUE);
}

// ----------------------------------------------------------- sse parts --

TEST(SseParts, PassesOnOnlyCompleteEvents)
{
    BsSseSplitter *parts = BsSseSplitter_Create();
    GString *out = g_string_new(nullptr);
    EXPECT_EQ(BsSseSplitter_Feed(parts, "id: 7\nda", 8, out), 0U);
    EXPECT_EQ(out->len, 0U);
    EXPECT_EQ(BsSseSplitter_Feed(parts, "ta: x\n\nid: 8\n", 13, out), 1U);
    EXPECT_STREQ(out->str, "id: 7\ndata: x\n\n");
    EXPECT_EQ(BsSseSplitter_LastId(parts), 7);
    BsSseSplitter_DropPartial(parts);
    EXPECT_EQ(BsSseSplitter_Feed(parts, "id: 8\r\n\r\nid: 9\n\n", 16, out),
              2U);
    EXPECT_EQ(BsSseSplitter_LastId(parts), 9);
    BsSseSplitter_Feed(parts, "tail", 4, out);
    BsSseSplitter_TakePartial(parts, out);
    EXPECT_TRUE(g_str_has_suffix(out->str, "\n\ntail"));
    BsSseSplitter_Destroy(parts);
    g_string_free(out, TRUE);
}

// ------------------------------------------------------------- catalog --

BsCatalogRoute *
Route(const char *host, const char *prefix, const char *service)
{
    BsCatalogRoute *route = BsCatalogRoute_Create();
    BsCatalogShare share = {g_strdup(service), 1};
    route->host = g_strdup(host);
    route->prefix = g_strdup(prefix);
    g_array_append_val(route->shares, share);
    return route;
}

TEST(Catalog, LongestPrefixOfTheHostWins)
{
    BsCatalogLimits limits = {};
    BsCatalog *catalog = BsCatalog_Create(1, &limits);
    BsCatalog_AddRoute(catalog, Route("a", "/x/", "short"));
    BsCatalog_AddRoute(catalog, Route("a", "/x/y/", "long"));
    BsCatalog_AddRoute(catalog, Route("b", "/", "root"));
    const struct {
        const char *host;
        const char *target;
        const char *service;
    } rows[] = {
        {"a", "/x/1", "short"}, {"a", "/x/y/1", "long"},
        {"a", "/x/y", "short"}, {"a", "/x", nullptr},
        {"a", "/z/", nullptr},  {"b", "/x/y/", "root"},
        {"c", "/x/", nullptr},  {"a", "/x/../y/", "short"},
        {"a", "*", nullptr},
    };
    for (const auto &row : rows) {
        const BsCatalogRoute *route =
            BsCatalog_FindRoute(catalog, row.host, row.target);
        EXPECT_STREQ(route == nullptr ? nullptr
                                      : BsCatalogRoute_PickService(route, 0),
                     row.service)
            << row.host << row.target;
    }
    BsCatalog_Unref(catalog);
}

TEST(Catalog, SharesFollowTheirWeights)
{
    BsCatalogRoute *route = Route("a", "/", "ninety");
    g_array_index(route->shares, BsCatalogShare, 0).weight = 90;
    BsCatalogShare ten = {g_strdup("ten"), 10};
    g_array_append_val(route->shares, ten);
    int to_ten = 0;
    for (uint64_t seed = 0; seed < 1000; seed++) {
        to_ten +=
            std::string(BsCatalogRoute_PickService(route, seed)) == "ten";
    }
    EXPECT_EQ(to_ten, 100);
    BsCatalogRoute_Destroy(route);
}

TEST(Catalog, RegionsOfRouteAndAccountBothApply)
{
    BsCatalogRoute *route = Route("a", "/", "s");
    BsCatalogAccount *account = BsCatalogAccount_Create();
    EXPECT_TRUE(BsCatalog_AllowsRegion(route, account, "north"));
    g_ptr_array_add(route->regions, g_strdup("north"));
    g_ptr_array_add(route->regions, g_strdup("south"));
    g_ptr_array_add(account->regions, g_strdup("south"));
    EXPECT_FALSE(BsCatalog_AllowsRegion(route, account, "north"));
    EXPECT_TRUE(BsCatalog_AllowsRegion(route, account, "south"));
    EXPECT_TRUE(BsCatalog_AllowsRegion(route, nullptr, "north"));
    BsCatalogAccount_Destroy(account);
    BsCatalogRoute_Destroy(route);
}

// ----------------------------------------------------------------- log --

struct timespec
ManualNow(void *context)
{
    struct timespec now = {};
    now.tv_sec = *static_cast<int *>(context);
    return now;
}

TEST(EventLog, NeverBlocksAndReportsDroppedLines)
{
    int seconds = 1;
    BsClock clock = {ManualNow, &seconds};
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    BsEventLog *log = BsEventLog_Create(ends[1], "gw-1", &clock, &clock);
    // The pipe is not read: the buffer fills up and dropped lines are counted.
    std::string filler(2000, 'x');
    for (seconds = 1; seconds < 200; seconds++) {
        if (BsEventLog_Begin(log, BS_EVENT_FAILURE, "refused")) {
            BsEventLog_Text(log, "cause", filler.c_str());
            BsEventLog_End(log);
        }
        BsEventLog_Flush(log);
    }
    EXPECT_GT(BsEventLog_Dropped(log), 0U);
    // The pipe is read: the count is logged and lines are written again.
    std::string text(4 * 1024 * 1024, '\0');
    ASSERT_EQ(fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
    size_t read_bytes = 0;
    for (int i = 0; i < 200; i++, seconds++) {
        ssize_t got = read(ends[0], &text[read_bytes], 65536);
        read_bytes += got > 0 ? (size_t)got : 0;
        if (BsEventLog_Begin(log, BS_EVENT_STATE, "tick")) {
            BsEventLog_End(log);
        }
        BsEventLog_Flush(log);
    }
    text.resize(read_bytes);
    EXPECT_NE(text.find("\"event\":\"log_lines_dropped\""), std::string::npos);
    EXPECT_NE(text.find("\"event\":\"tick\",\"instance\":\"gw-1\"}"),
              std::string::npos);
    BsEventLog_Destroy(log);
    close(ends[0]);
    close(ends[1]);
}

TEST(EventLog, EachClassHasABudgetPerSecond)
{
    int seconds = 1;
    BsClock clock = {ManualNow, &seconds};
    int fd = open("/dev/null", O_WRONLY);
    BsEventLog *log = BsEventLog_Create(fd, "gw-1", &clock, &clock);
    int details = 0;
    for (int i = 0; i < 1000; i++) {
        if (BsEventLog_Begin(log, BS_EVENT_DETAIL, "sent")) {
            BsEventLog_End(log);
            details++;
        }
    }
    EXPECT_LT(details, 1000);
    EXPECT_EQ(BsEventLog_Dropped(log), 1000U - (unsigned)details);
    EXPECT_TRUE(BsEventLog_Begin(log, BS_EVENT_FAILURE, "refused"));
    BsEventLog_End(log);
    seconds = 2;
    EXPECT_TRUE(BsEventLog_Begin(log, BS_EVENT_DETAIL, "sent"));
    BsEventLog_End(log);
    BsEventLog_Destroy(log);
    close(fd);
}

TEST(EventLog, EscapesText)
{
    int seconds = 1;
    BsClock clock = {ManualNow, &seconds};
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    BsEventLog *log = BsEventLog_Create(ends[1], "gw", &clock, &clock);
    ASSERT_TRUE(BsEventLog_Begin(log, BS_EVENT_STATE, "x"));
    BsEventLog_Text(log, "t", "a\"b\\c\n\x80");
    BsEventLog_Number(log, "n", -5);
    BsEventLog_End(log);
    BsEventLog_Destroy(log);
    char text[512] = {};
    ASSERT_GT(read(ends[0], text, sizeof(text) - 1), 0);
    EXPECT_STREQ(
        text,
        "{\"ms\":1000,\"wall_ms\":1000,\"event\":\"x\",\"instance\":\"gw\","
        "\"t\":\"a\\\"b\\\\c\\u000a\\u0080\",\"n\":-5}\n");
    close(ends[0]);
    close(ends[1]);
}

} // namespace
