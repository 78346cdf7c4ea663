// What instances tell and ask each other about the versions of streams, in
// fleets on a logical clock.
#include "fleet_world.h"

extern "C" {
#include "gossipreport.h"
#include "streamcodec.h"
}

namespace {

const char *const kService = "desk";
const int64_t kLifeMs = 60000;

// Time within which a stream that has begun must be known, and within which a
// question must be answered.
const int64_t kKnownMs = 250;

uint64_t
Version(const char *text)
{
    return BsStreamVersions_Hash(kService, text);
}

class StreamFleet : public FleetTest {
  protected:
    // The fleet after a life with one version.
    void Start(const FleetSize &size, int64_t life_ms = kLifeMs)
    {
        world_.stream_life_ms = life_ms;
        world_.versions = {Version("v1")};
        Build(size.data_centres, size.per_data_centre);
        // Instances are known to each other before the life starts.
        world_.Run(3000);
        for (auto &node : world_.nodes) {
            BsStreamVersions_Destroy(node->stream_versions);
            node->stream_versions =
                BsStreamVersions_Create(world_.now_ms - life_ms - 1);
            BsStreamVersions_SetLife(node->stream_versions, life_ms,
                                     world_.now_ms - life_ms);
            for (int64_t ms = life_ms; ms >= 0; ms -= 1000) {
                BsStreamVersions_NoteCurrent(node->stream_versions,
                                             world_.now_ms - ms);
            }
        }
        world_.Run(100);
        world_.ResetTraffic();
    }
    Node *At(size_t index)
    {
        return world_.nodes[index].get();
    }
    Node *RandomNode()
    {
        return At(world_.random() % world_.nodes.size());
    }
    // A stream begins at NODE with VERSION; returns its key.
    uint64_t Begin(Node *node, const char *version)
    {
        BsStreamRecord record = {++key_ * 0x9e3779b97f4a7c15ULL,
                                 Version(version), 1};
        BsStreamVersions_Note(node->stream_versions, &record, world_.now_ms);
        return record.key;
    }
    // What NODE finds for KEY; 0 if it is unknown.
    uint64_t Find(Node *node, uint64_t key)
    {
        uint64_t version = 0;
        BsStreamVersions_Find(node->stream_versions, key,
                              BsStreamVersions_HashService(kService),
                              world_.now_ms, &version);
        return version;
    }
    void Ask(Node *node, uint64_t key)
    {
        BsStreamQuestion question = {
            key, BsStreamVersions_HashService(kService), 0};
        g_array_append_val(node->questions, question);
    }
    // NODE takes up KEY: it asks if it has to, and again after a while.
    uint64_t TakeUp(Node *node, uint64_t key)
    {
        for (int i = 0; i < 3 && Find(node, key) == 0; i++) {
            Ask(node, key);
            world_.Run(kKnownMs);
        }
        return Find(node, key);
    }
    // How many running instances do not find VERSION for KEY, each asking as
    // a take-up there would.
    int CountWrong(uint64_t key, const char *version)
    {
        int wrong = 0;
        for (auto &node : world_.nodes) {
            if (node->alive && Find(node.get(), key) == 0) {
                Ask(node.get(), key);
            }
        }
        world_.Run(kKnownMs);
        for (auto &node : world_.nodes) {
            wrong += node->alive && Find(node.get(), key) != Version(version);
        }
        return wrong;
    }
    void StartVersion(const char *version)
    {
        world_.versions.push_back(Version(version));
        world_.Run(kKnownMs);
    }
    void Kill(Node *node)
    {
        node->alive = false;
    }

    uint64_t key_ = 0;
};

class StreamFleetTest : public StreamFleet,
                        public testing::WithParamInterface<FleetSize> {
  protected:
    void SetUp() override
    {
        Start(GetParam());
    }
};

// Guards against a stream that another instance takes for unknown, or for one
// of another version, also if its first instance has died meanwhile.
TEST_P(StreamFleetTest, AStreamIsKnownAtEveryOtherInstance)
{
    StartVersion("v2");
    Node *first = RandomNode();
    uint64_t old_key = Begin(first, "v1");
    uint64_t new_key = Begin(first, "v2");
    world_.Run(kKnownMs);
    Kill(first);
    EXPECT_EQ(CountWrong(old_key, "v1"), 0);
    EXPECT_EQ(CountWrong(new_key, "v2"), 0);
}

// The same with a network that loses one datagram of twenty.
TEST_P(StreamFleetTest, AStreamIsKnownDespiteLostDatagrams)
{
    world_.loss = 0.05;
    StartVersion("v2");
    int wrong = 0;
    for (int i = 0; i < 40; i++) {
        uint64_t key = Begin(RandomNode(), i % 2 == 0 ? "v1" : "v2");
        world_.Run(kKnownMs);
        Node *next = RandomNode();
        wrong += TakeUp(next, key) != Version(i % 2 == 0 ? "v1" : "v2");
    }
    EXPECT_EQ(wrong, 0);
}

// Guards against streams from before a release whose instance dies in it.
TEST_P(StreamFleetTest, StreamsFromBeforeAReleaseAreToldWhenItStarts)
{
    Node *first = RandomNode();
    uint64_t key = Begin(first, "v1");
    world_.Run(1000);
    StartVersion("v2");
    Kill(first);
    EXPECT_EQ(CountWrong(key, "v1"), 0);
}

// Guards against an instance that has started again and guesses, or refuses
// what others know.
TEST_P(StreamFleetTest, ARestartedInstanceLearnsByAQuestion)
{
    StartVersion("v2");
    Node *first = RandomNode();
    uint64_t key = Begin(first, "v1");
    world_.Run(kKnownMs);
    Node *next = RandomNode();
    while (next == first) {
        next = RandomNode();
    }
    world_.Start(next);
    EXPECT_EQ(Find(next, key), 0U);
    world_.Run(1000);
    EXPECT_EQ(TakeUp(next, key), Version("v1"));
}

// The same while one version serves: the others know that it does.
TEST_P(StreamFleetTest, ARestartedInstanceLearnsOfTheOnlyVersion)
{
    Node *first = At(0);
    uint64_t key = Begin(first, "v1");
    Node *next = At(world_.nodes.size() - 1);
    world_.Start(next);
    world_.Run(1000);
    EXPECT_EQ(TakeUp(next, key), Version("v1"));
}

// Guards against joined versions after the loss of all instances: the version
// that began a stream has just left.
TEST_P(StreamFleetTest, AfterTheLossOfAllInstancesNobodyGuesses)
{
    uint64_t key = Begin(RandomNode(), "v1");
    world_.versions = {Version("v2")};
    for (auto &node : world_.nodes) {
        world_.Start(node.get());
    }
    int64_t started_ms = world_.now_ms;
    while (world_.now_ms < started_ms + kLifeMs - 2000) {
        EXPECT_EQ(TakeUp(RandomNode(), key), 0U);
        world_.Run(8000);
    }
    // New streams are known meanwhile.
    uint64_t new_key = Begin(RandomNode(), "v2");
    world_.Run(kKnownMs);
    EXPECT_EQ(CountWrong(new_key, "v2"), 0);
    // After a life with one version, that one answers for all streams.
    world_.Run(started_ms + kLifeMs + 2000 - world_.now_ms);
    EXPECT_EQ(Find(RandomNode(), key_ + 1000), Version("v2"));
}

// Guards against a stream that begins at a version which the store has not
// shown to all instances yet.
TEST_P(StreamFleetTest, AVersionThatOneInstanceSeesFirstIsKnownToAll)
{
    Node *first = RandomNode();
    BsStreamVersions_NoteServing(first->stream_versions, Version("v2"),
                                 world_.now_ms);
    uint64_t key = Begin(first, "v2");
    world_.Run(kKnownMs);
    for (auto &node : world_.nodes) {
        EXPECT_NE(Find(node.get(), key), Version("v1"));
    }
    EXPECT_EQ(CountWrong(key, "v2"), 0);
}

// Guards against an instance that takes the version it last saw for the only
// one while it is cut off from the store.
TEST_P(StreamFleetTest, AnInstanceWithAnOldListDoesNotGuess)
{
    Node *node = At(1);
    node->list_current = false;
    world_.disconnected = {node->address};
    world_.Run(2100);
    EXPECT_EQ(Find(node, 12345), 0U);
    EXPECT_EQ(TakeUp(node, 12345), 0U);
}

// Guards against an instance that stalls and, before it has noticed that, goes
// by the list from before.
TEST_P(StreamFleetTest, AnInstanceThatHasStalledDoesNotGuess)
{
    Node *node = At(1);
    EXPECT_EQ(Find(node, 12345), Version("v1"));
    node->next_tick_ms = INT64_MAX;
    world_.Run(5000);
    EXPECT_EQ(Find(node, 12345), 0U);
    node->next_tick_ms = world_.now_ms;
    world_.Run(1000);
    EXPECT_EQ(Find(node, 12345), 0U);
    EXPECT_EQ(TakeUp(node, 12345), Version("v1"));
}

// Guards against messages that nobody needs.
TEST_P(StreamFleetTest, NothingIsSentWhileOneVersionServes)
{
    for (int i = 0; i < 200; i++) {
        Begin(RandomNode(), "v1");
        world_.Run(10);
    }
    for (auto &node : world_.nodes) {
        EXPECT_EQ(node->stream_sent, 0U);
        EXPECT_EQ(Find(node.get(), 12345), Version("v1"));
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, StreamFleetTest,
                         testing::Values(FleetSize{1, 3}, FleetSize{3, 3},
                                         FleetSize{3, 30}, FleetSize{5, 59}),
                         [](const auto &info) {
                             return std::to_string(info.param.data_centres *
                                                   info.param.per_data_centre);
                         });

// Guards against records that are lost with a hub.
TEST_F(StreamFleet, StreamsAreKnownAfterTheLossOfAHub)
{
    Start({3, 30});
    StartVersion("v2");
    Node *first = At(20);
    uint64_t key = Begin(first, "v1");
    world_.Run(kKnownMs);
    Kill(HubOf(1));
    Kill(first);
    EXPECT_EQ(CountWrong(key, "v1"), 0);
    // Streams that begin before the next hub is chosen.
    uint64_t later_key = Begin(At(21), "v1");
    world_.Run(1500);
    EXPECT_EQ(CountWrong(later_key, "v1"), 0);
}

// Guards against records that are lost with all hubs of a data centre.
TEST_F(StreamFleet, StreamsAreKnownAfterTheLossOfAllHubsOfADataCentre)
{
    Start({3, 30});
    StartVersion("v2");
    uint64_t own_key = Begin(At(20), "v1");
    uint64_t remote_key = Begin(At(50), "v1");
    world_.Run(kKnownMs);
    Kill(At(0));
    Kill(At(1));
    Kill(At(2));
    Kill(At(50));
    world_.Run(2500);
    EXPECT_EQ(CountWrong(own_key, "v1"), 0);
    EXPECT_EQ(CountWrong(remote_key, "v1"), 0);
}

// Guards against a guess on either side of a cut between data centres, and
// against streams from the time of the cut that stay unknown after it.
class StreamCutTest : public StreamFleet,
                      public testing::WithParamInterface<FleetSize> {
  protected:
    void SetLocalListCurrent(bool current)
    {
        for (auto &node : world_.nodes) {
            node->list_current = current || node->data_centre != 1;
        }
    }
};

TEST_P(StreamCutTest, ADataCentreThatIsCutOffDoesNotGuess)
{
    Start(GetParam());
    Node *other = At(GetParam().per_data_centre);
    world_.isolated_data_centres = {1};
    SetLocalListCurrent(false);
    world_.Run(2000);
    uint64_t key = Begin(At(1), "v1");
    world_.versions.push_back(Version("v2"));
    world_.Run(10000);
    world_.versions = {Version("v2")};
    world_.Run(10000);
    // The old version may still begin streams where the change is not known.
    EXPECT_EQ(TakeUp(other, key), 0U);
    EXPECT_EQ(TakeUp(At(0), key), Version("v1"));
    EXPECT_EQ(TakeUp(At(0), 12345), 0U);
    world_.isolated_data_centres.clear();
    SetLocalListCurrent(true);
    world_.Run(3000);
    EXPECT_EQ(TakeUp(other, key), Version("v1"));
}

INSTANTIATE_TEST_SUITE_P(Sizes, StreamCutTest,
                         testing::Values(FleetSize{3, 3}, FleetSize{3, 30},
                                         FleetSize{5, 59}),
                         [](const auto &info) {
                             return std::to_string(info.param.data_centres *
                                                   info.param.per_data_centre);
                         });

// Guards against an instance that takes the only version it knows for the only
// one that can have begun a stream, while a data centre that it cannot reach
// serves another one.
class StreamPartitionTest : public StreamFleet,
                            public testing::WithParamInterface<FleetSize> {
  protected:
    // The longest time-out of a resumable route, 15 s, and 10 s.
    static constexpr int64_t kPartitionLifeMs = 25000;
    static constexpr uint32_t kCutOff = 1;

    void SetUp() override
    {
        Start(GetParam(), kPartitionLifeMs);
        // Until all instances have been in touch for longer than a start
        // takes.
        world_.Run(12000);
    }
    // Cuts a data centre off: it goes on with v1.  In the others, which read
    // the store, v2 replaces v1 within 6 s.
    void CutAndRelease()
    {
        world_.isolated_data_centres = {kCutOff};
        world_.versions_of[kCutOff] = {Version("v1")};
        for (auto &node : world_.nodes) {
            node->list_current = node->data_centre != kCutOff;
        }
        world_.Run(2000);
        world_.versions.push_back(Version("v2"));
        world_.Run(4000);
        world_.versions = {Version("v2")};
    }
    void EndPartition()
    {
        world_.isolated_data_centres.clear();
        world_.versions_of.clear();
        for (auto &node : world_.nodes) {
            node->list_current = true;
        }
    }
    // Ends all instances of the data centre that is cut off.
    void LosePower()
    {
        for (auto &node : world_.nodes) {
            node->alive &= node->data_centre != kCutOff;
        }
    }
    Node *OfOthers(size_t index)
    {
        return At(GetParam().per_data_centre + index);
    }
    // How many running instances outside take KEY up, each on its own.
    int CountTakenUp(uint64_t key)
    {
        int taken_up = 0;
        for (auto &node : world_.nodes) {
            if (node->alive && node->data_centre != kCutOff &&
                Find(node.get(), key) == 0) {
                Ask(node.get(), key);
            }
        }
        world_.Run(kKnownMs);
        for (auto &node : world_.nodes) {
            taken_up += node->alive && node->data_centre != kCutOff &&
                        Find(node.get(), key) != 0;
        }
        return taken_up;
    }
};

// The data centre is forgotten 60 s after it was last heard, and its version
// would expire a life later (review/6).
TEST_P(StreamPartitionTest, AVersionIsNotForgottenDuringALongPartition)
{
    CutAndRelease();
    world_.Run(84000);
    uint64_t key = Begin(At(0), "v1");
    uint64_t known = Begin(OfOthers(0), "v2");
    world_.Run(2000);
    LosePower();
    EXPECT_EQ(CountTakenUp(key), 0);
    // Streams of the instances that are in touch go on.
    EXPECT_EQ(CountWrong(known, "v2"), 0);
}

// A process that starts has never heard the data centre that is cut off, and
// must neither assume a version nor tell one to those that know better
// (review/8).
TEST_P(StreamPartitionTest, AProcessStartedDuringAPartitionDoesNotGuess)
{
    CutAndRelease();
    world_.Run(8000);
    world_.Start(OfOthers(1));
    world_.Run(40000);
    uint64_t key = Begin(At(0), "v1");
    uint64_t known = Begin(OfOthers(1), "v2");
    world_.Run(2000);
    LosePower();
    EXPECT_EQ(Find(OfOthers(1), key), 0U);
    EXPECT_EQ(CountTakenUp(key), 0);
    EXPECT_EQ(CountWrong(known, "v2"), 0);
}

// The same for processes that start one after the other until none is left
// that has heard the data centre.
TEST_P(StreamPartitionTest, ProcessesStartedInSuccessionDoNotGuess)
{
    CutAndRelease();
    world_.Run(1000);
    for (auto &node : world_.nodes) {
        if (node->data_centre != kCutOff) {
            world_.Start(node.get());
            world_.Run(GetParam().per_data_centre > 9 ? 60 : 2000);
        }
    }
    world_.Run(30000);
    uint64_t key = Begin(At(0), "v1");
    world_.Run(2000);
    LosePower();
    EXPECT_EQ(CountTakenUp(key), 0);
}

// Processes that are paused during the partition for longer than a life must
// not forget the versions that they knew before, also if no other process is
// left to tell them.
TEST_P(StreamPartitionTest, ProcessesPausedDuringAPartitionDoNotGuess)
{
    CutAndRelease();
    world_.Run(1000);
    for (auto &node : world_.nodes) {
        if (node->data_centre != kCutOff) {
            node->next_tick_ms = INT64_MAX;
        }
    }
    world_.Run(kPartitionLifeMs + 5000);
    for (auto &node : world_.nodes) {
        node->next_tick_ms = std::min(node->next_tick_ms, world_.now_ms);
    }
    world_.Run(kPartitionLifeMs + 1000);
    uint64_t key = Begin(At(0), "v1");
    world_.Run(1000);
    LosePower();
    EXPECT_EQ(CountTakenUp(key), 0);
}

// Guards against a process that has seen nobody and takes what is listed for
// all there is.
TEST_P(StreamPartitionTest, AProcessThatStartsCutOffDoesNotGuess)
{
    Node *node = OfOthers(0);
    world_.disconnected = {node->address};
    world_.versions_of[node->data_centre] = {Version("v2")};
    world_.Start(node);
    world_.Run(kPartitionLifeMs + 5000);
    EXPECT_EQ(Find(node, 12345), 0U);
}

// Guards against streams that stay rejected when the partition is over, and
// against an end of it that is taken for complete knowledge of the time
// before.
TEST_P(StreamPartitionTest, TheOnlyVersionIsAssumedALifeAfterThePartition)
{
    CutAndRelease();
    world_.Run(8000);
    world_.Start(OfOthers(1));
    world_.Run(76000);
    uint64_t key = Begin(At(0), "v1");
    EndPartition();
    world_.Run(3000);
    EXPECT_EQ(CountWrong(key, "v1"), 0);
    EXPECT_EQ(Find(OfOthers(1), 12345), 0U);
    world_.Run(kPartitionLifeMs + 1000);
    EXPECT_EQ(CountWrong(12345, "v2"), 0);
}

// Guards against needless rejections: nothing was cut, so a process that
// starts answers by others at once, and a life later by itself.
TEST_P(StreamPartitionTest, WithoutAPartitionAStartedProcessAssumesTheVersion)
{
    Node *node = OfOthers(1);
    world_.Start(node);
    world_.Run(2000);
    EXPECT_EQ(TakeUp(node, 12345), Version("v1"));
    world_.Run(kPartitionLifeMs - 1000);
    EXPECT_EQ(Find(node, 54321), Version("v1"));
}

// The same for a fleet that starts as a whole.
TEST_P(StreamPartitionTest, AFleetThatStartsAssumesTheVersionALifeLater)
{
    for (auto &node : world_.nodes) {
        world_.Start(node.get());
    }
    world_.Run(kPartitionLifeMs + 500);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Find(node.get(), 12345), Version("v1"));
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, StreamPartitionTest,
                         testing::Values(FleetSize{3, 1}, FleetSize{3, 3},
                                         FleetSize{5, 59}),
                         [](const auto &info) {
                             return std::to_string(info.param.data_centres *
                                                   info.param.per_data_centre);
                         });

// Guards against needless load: datagrams about streams while two versions
// serve, with the streams of a large site; two hundredths of them are taken
// up.
class StreamTrafficTest : public StreamFleet,
                          public testing::WithParamInterface<FleetSize> {};

TEST_P(StreamTrafficTest, RecordsCostLittle)
{
    Start(GetParam());
    StartVersion("v2");
    world_.ResetTraffic();
    const int seconds = 4;
    const double per_s = 1500.0 * (double)world_.nodes.size() / 295;
    double due = 0;
    uint64_t begun = 0;
    std::vector<uint64_t> keys;
    world_.Run(seconds * 1000, [&] {
        for (due += per_s / 1000; due >= 1; due -= 1) {
            keys.push_back(Begin(RandomNode(), begun % 2 == 0 ? "v1" : "v2"));
            if (++begun % 50 == 0) {
                Ask(RandomNode(), keys[keys.size() / 2]);
            }
        }
    });
    uint64_t sent = 0;
    uint64_t bytes = 0;
    uint64_t most = 0;
    uint64_t most_bytes = 0;
    for (auto &node : world_.nodes) {
        sent += node->stream_sent;
        bytes += node->stream_bytes;
        most = std::max(most, node->stream_sent);
        most_bytes = std::max(most_bytes, node->stream_bytes);
    }
    uint64_t count = world_.nodes.size();
    std::string figures =
        std::to_string(begun / seconds) + " streams/s; mean " +
        std::to_string(sent / seconds / count) + " messages/s, " +
        std::to_string(bytes / seconds / count) + " bytes/s; most " +
        std::to_string(most / seconds) + " messages/s, " +
        std::to_string(most_bytes / seconds) + " bytes/s";
    RecordProperty("figures", figures);
    std::cout << count << " instances, " << figures << "\n";
    // A tenth of what an instance may send about loads, and of a link between
    // data centres.
    EXPECT_LT(bytes / seconds / count, 30U * 1024 / 10);
    EXPECT_LT(most_bytes / seconds, 2U * 1000 * 1000 / 10);
}

INSTANTIATE_TEST_SUITE_P(Sizes, StreamTrafficTest,
                         testing::Values(FleetSize{3, 3}, FleetSize{5, 59}),
                         [](const auto &info) {
                             return std::to_string(info.param.data_centres *
                                                   info.param.per_data_centre);
                         });

// Guards against hubs that are busy with questions which nobody can answer,
// when all instances have started again and all callers take up what broke
// off.
TEST_F(StreamFleet, QuestionsAfterTheLossOfAllInstancesCostLittle)
{
    Start({5, 59});
    for (auto &node : world_.nodes) {
        world_.Start(node.get());
    }
    world_.Run(3000);
    world_.ResetTraffic();
    const int seconds = 2;
    const int per_ms = 5;
    world_.Run(seconds * 1000, [&] {
        for (int i = 0; i < per_ms; i++) {
            Ask(RandomNode(), ++key_);
        }
    });
    uint64_t most = 0;
    uint64_t most_bytes = 0;
    for (auto &node : world_.nodes) {
        most = std::max(most, node->stream_sent);
        most_bytes = std::max(most_bytes, node->stream_bytes);
    }
    std::cout << "most " << most / seconds << " messages/s, "
              << most_bytes / seconds << " bytes/s\n";
    // A hub sends 40 summaries a second to each instance of its data centre.
    EXPECT_LT(most / seconds, 40U * 59);
}

// Guards against a datagram that reads beyond its end, or that is not counted
// as broken.
TEST(StreamCodecTest, MalformedDatagramsAreRejected)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    GArray *questions = g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    for (uint64_t i = 1; i <= 200; i++) {
        BsStreamRecord record = {i, Version("v1"), (uint32_t)i};
        BsStreamQuestion question = {i, (uint32_t)i + 7, (uint32_t)i + 90};
        g_array_append_val(records, record);
        g_array_append_val(questions, question);
    }
    GString *data = g_string_new(NULL);
    GArray *read = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    BsStreamCodec_EncodeRecords(records, 10, 500, data);
    ASSERT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    for (size_t size = 0; size <= data->len; size++) {
        // A copy of exactly this size shows reads beyond the end to the
        // sanitizer.
        std::vector<char> part(data->str, data->str + size);
        g_array_set_size(read, 0);
        bool whole = size > 1 && (size - 1) % 20 == 0;
        EXPECT_EQ(BsStreamCodec_DecodeRecords(part.data(), size, read), whole)
            << size;
        EXPECT_EQ(read->len, whole ? (size - 1) / 20 : 0);
    }
    EXPECT_EQ(g_array_index(read, BsStreamRecord, 0).key, 11U);
    EXPECT_EQ(g_array_index(read, BsStreamRecord, 0).version, Version("v1"));
    EXPECT_EQ(g_array_index(read, BsStreamRecord, 0).generation, 11U);
    // More than a datagram holds.
    std::string more(data->str, data->len);
    more.append(data->str + 1, 20);
    EXPECT_FALSE(BsStreamCodec_DecodeRecords(more.data(), more.size(), read));
    // A version of no service, and another first byte.
    std::string none(data->str, 21);
    std::fill(none.begin() + 9, none.begin() + 17, '\0');
    EXPECT_FALSE(BsStreamCodec_DecodeRecords(none.data(), none.size(), read));
    none = std::string(data->str, 21);
    none[0] = '\x92';
    EXPECT_FALSE(BsStreamCodec_DecodeRecords(none.data(), none.size(), read));

    g_string_truncate(data, 0);
    g_array_set_size(read, 0);
    GArray *asked = g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    BsStreamCodec_EncodeQuestions(questions, 0, 3, data);
    for (size_t size = 0; size <= data->len; size++) {
        std::vector<char> part(data->str, data->str + size);
        g_array_set_size(asked, 0);
        bool whole = size > 1 && (size - 1) % 16 == 0;
        EXPECT_EQ(BsStreamCodec_DecodeQuestions(part.data(), size, asked),
                  whole)
            << size;
    }
    ASSERT_EQ(asked->len, 3U);
    EXPECT_EQ(g_array_index(asked, BsStreamQuestion, 2).key, 3U);
    EXPECT_EQ(g_array_index(asked, BsStreamQuestion, 2).service, 10U);
    EXPECT_EQ(g_array_index(asked, BsStreamQuestion, 2).origin, 93U);
    // More than a datagram holds.
    g_string_truncate(data, 0);
    BsStreamCodec_EncodeQuestions(questions, 0, 200, data);
    EXPECT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    more = std::string(data->str, data->len) + std::string(16, 'x');
    EXPECT_FALSE(
        BsStreamCodec_DecodeQuestions(more.data(), more.size(), asked));
    g_string_free(data, TRUE);
    g_array_unref(read);
    g_array_unref(asked);
    g_array_unref(records);
    g_array_unref(questions);
}

// Guards against a datagram about streams that an instance without them takes
// for a report.
TEST(StreamCodecTest, AReportDecoderRejectsRecords)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    BsStreamRecord record = {1, Version("v1"), 1};
    g_array_append_val(records, record);
    GString *data = g_string_new(NULL);
    BsStreamCodec_EncodeRecords(records, 0, 1, data);
    BsGossipReport report;
    BsGossipReport_Init(&report);
    EXPECT_FALSE(BsGossipReport_Decode(data->str, data->len, &report));
    BsGossipReport_Clear(&report);
    g_string_free(data, TRUE);
    g_array_unref(records);
}

} // namespace
