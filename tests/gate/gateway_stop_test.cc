// Requests that come late in the grace period of a planned stop, in calm.
#include "gateway_fixture.h"

#include <chrono>
#include <csignal>
#include <thread>

namespace {

using std::chrono::milliseconds;

const milliseconds kWork(2000);
const milliseconds kPause(250);

// As many as come before the process may end.
const int kAsked = 9;

struct StopCase {
    const char *name;
    const char *path;
    bool known; // answers on the route have been seen before the stop
};

void
PrintTo(const StopCase &row, std::ostream *out)
{
    *out << row.name;
}

class LateStopTest : public GatewayTest,
                     public testing::WithParamInterface<StopCase> {
  protected:
    // Starts an upstream whose answers take kWork, and shortens the grace
    // period.
    void StartSlow()
    {
        Start({[](Socket &socket, const ReceivedRequest &got) {
            std::this_thread::sleep_for(kWork);
            return got.text.find(" /once/") != std::string::npos
                       ? socket.Write(StreamHead(got) + Chunk(Event(0)) +
                                      LastChunk())
                       : Answers(socket, got);
        }});
        gateway_->ReplaceSettings("grace_s: 8", "grace_s: 4");
        ASSERT_TRUE(Eventually([&] {
            return gateway_->Log().find("\"outcome\":\"in force\"") !=
                   std::string::npos;
        }));
    }
    int Ran(const std::string &id)
    {
        int ran = 0;
        for (int i = 0; i < runners_[0]->count(); i++) {
            ran += runners_[0]->request((size_t)i).id == id;
        }
        return ran;
    }
};

} // namespace

// Guards against requests that are taken late in the grace period, sent on and
// cut at its end, and against such that are refused though there is time.
TEST_P(LateStopTest, EachRequestIsAnsweredOrRefusedBeforeItIsSent)
{
    StartSlow();
    if (GetParam().known) {
        EXPECT_EQ(StatusOf(gateway_->Ask(Call(GetParam().path, "w"))), 200);
    }
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    std::vector<std::unique_ptr<Socket>> callers;
    for (int i = 0; i < kAsked; i++) {
        callers.push_back(gateway_->Open());
        callers.back()->Write(Call(GetParam().path, "s" + std::to_string(i)));
        std::this_thread::sleep_for(kPause);
    }
    int served = 0;
    for (int i = 0; i < kAsked; i++) {
        std::string id = "s" + std::to_string(i);
        std::string answer = callers[(size_t)i]->ReadAll();
        served += StatusOf(answer) == 200;
        EXPECT_TRUE(StatusOf(answer) == 200 || StatusOf(answer) == 503)
            << id << ": " << answer;
        EXPECT_EQ(Ran(id), StatusOf(answer) == 200) << id;
    }
    EXPECT_GE(served, GetParam().known ? 2 : 0);
    EXPECT_EQ(gateway_->Wait(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Routes, LateStopTest,
    testing::Values(StopCase{"Book", "/book/1", true},
                    StopCase{"BookUnknown", "/book/1", false},
                    StopCase{"Once", "/once/1", true},
                    StopCase{"Look", "/look/1", true}),
    [](const auto &info) { return std::string(info.param.name); });
