// Upstreams that name how many requests a second they take from all instances
// together.
#include "gateway_fixture.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace {

using Clock = std::chrono::steady_clock;

// Time from the first answer that names a limit until it binds, and length of
// the windows that count.
const std::chrono::milliseconds kStableMs(4000);
const std::chrono::milliseconds kWindowMs(4000);
const std::chrono::milliseconds kLoadMs(10000);

// Pause between two requests of a caller; each instance has one caller.
const std::chrono::milliseconds kPauseMs(20);

// The most requests that a window may hold at a limit of PER_S.
int
Allowed(double per_s)
{
    return (int)(1.5 * per_s * 4 + 5);
}

class LimitTest : public ThreeGatewaysTest {
  protected:
    struct Arrival {
        Clock::time_point time;
        bool named;
    };
    struct Answer {
        int status;
        bool retry_after;
        std::chrono::milliseconds took_ms;
    };
    // A script that names the limit PER_S while limited_ is set; arrivals are
    // kept under INDEX.
    Runner::Script Names(size_t index, const std::string &per_s)
    {
        return
            [this, index, per_s](Socket &socket, const ReceivedRequest &got) {
                std::string answer = SignedAnswer(got, "body of " + got.id);
                bool named = limited_ && !per_s.empty();
                {
                    std::lock_guard<std::mutex> lock(mutex_);
                    arrivals_[index].push_back({Clock::now(), named});
                }
                if (named) {
                    answer.insert(answer.find("\r\n") + 2,
                                  "Server-Limit: " + per_s + "\r\n");
                }
                return socket.Write(answer);
            };
    }
    void StartLimited(const std::vector<std::string> &limits)
    {
        std::vector<Runner::Script> scripts;
        for (size_t i = 0; i < limits.size(); i++) {
            scripts.push_back(Names(i, limits[i]));
        }
        Start(scripts);
        instances_.push_back(gateway_.get());
        second_ = Join("127.0.0.2");
        third_ = Join("127.0.0.3");
        for (Gateway *instance : instances_) {
            ASSERT_TRUE(instance->WaitMetric("boragespur_instances 3"));
        }
    }
    // Sends requests to all instances for TIME_MS.
    void Load(std::chrono::milliseconds time_ms)
    {
        std::vector<std::thread> callers;
        Clock::time_point end = Clock::now() + time_ms;
        for (size_t i = 0; i < instances_.size(); i++) {
            callers.emplace_back([this, i, end] {
                for (int n = 0; Clock::now() < end; n++) {
                    SendOne(*instances_[i],
                            "q" + std::to_string(i) + "-" + std::to_string(n));
                    std::this_thread::sleep_for(kPauseMs);
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    void SendOne(Gateway &instance, const std::string &id)
    {
        Clock::time_point sent = Clock::now();
        std::string answer =
            instance.Ask(Call("/look/1", id, "Connection: close\r\n"));
        auto took_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            Clock::now() - sent);
        std::lock_guard<std::mutex> lock(mutex_);
        answers_.push_back({StatusOf(answer),
                            answer.find("Retry-After: ") != answer.npos,
                            took_ms});
    }
    // The most arrivals at upstream INDEX in a window that counts.
    int MostInWindow(size_t index)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        const std::vector<Arrival> &all = arrivals_[index];
        size_t most = 0;
        if (all.empty()) {
            return 0;
        }
        Clock::time_point from = all.front().time + kStableMs;
        for (size_t i = 0, first = 0; i < all.size(); i++) {
            while (all[i].time - all[first].time >= kWindowMs ||
                   (first < i && all[first].time < from)) {
                first++;
            }
            most = std::max(most, all[i].time < from ? 0 : i - first + 1);
        }
        return (int)most;
    }
    int Arrived(size_t index, Clock::time_point since)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return (int)std::count_if(
            arrivals_[index].begin(), arrivals_[index].end(),
            [&](const Arrival &arrival) { return arrival.time >= since; });
    }
    int Served()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return (int)std::count_if(
            answers_.begin(), answers_.end(),
            [](const Answer &answer) { return answer.status == 200; });
    }

    std::atomic<bool> limited_{true};
    std::mutex mutex_;
    std::map<size_t, std::vector<Arrival>> arrivals_;
    std::vector<Answer> answers_;
};

// Guards against an upstream that gets more requests than the limit that it
// names, while the other upstreams of its service could take them.
TEST_F(LimitTest, TheFleetTogetherKeepsToANamedLimit)
{
    StartLimited({"3", "", "0.25", ""});
    Load(kLoadMs);
    EXPECT_LE(MostInWindow(0), Allowed(3));
    EXPECT_LE(MostInWindow(2), Allowed(0.25));
    EXPECT_EQ(Served(), (int)answers_.size());
}

// Guards against limits that are exceeded, or hardly used, when all upstreams
// of a service name one; and against callers that wait for a refusal.
TEST_F(LimitTest, LimitsOfAllUpstreamsAreKeptAndUsed)
{
    StartLimited({"6", "6", "6"});
    Load(kLoadMs);
    for (size_t i = 0; i < 3; i++) {
        EXPECT_LE(MostInWindow(i), Allowed(6)) << "upstream " << i;
    }
    EXPECT_GE(Served(), 3 * 6 * 10 / 2);
    for (const Answer &answer : answers_) {
        EXPECT_TRUE(answer.status == 200 ||
                    (answer.status == 503 && answer.retry_after))
            << answer.status;
    }
}

// Guards against an upstream that gets no requests any more after its limit
// has ended, at instances that its answers do not reach.
TEST_F(LimitTest, RequestsAreBackAfterALimitHasEnded)
{
    StartLimited({"2", "2"});
    Load(kStableMs);
    limited_ = false;
    Load(std::chrono::milliseconds(2000));
    Clock::time_point ended = Clock::now();
    size_t before = answers_.size();
    int served = Served();
    Load(std::chrono::milliseconds(2000));
    EXPECT_EQ(Served() - served, (int)(answers_.size() - before));
    EXPECT_GE(Arrived(0, ended) + Arrived(1, ended),
              (int)(answers_.size() - before));
    for (Gateway *instance : instances_) {
        EXPECT_TRUE(instance->WaitMetric("boragespur_upstream_limits 0"));
    }
}

// Guards against an instance that starts, or is told by no answer, and sends
// as if there were no limit.
TEST_F(LimitTest, AllInstancesLearnALimitThatOneWasTold)
{
    StartLimited({"2"});
    SendOne(*instances_[0], "a");
    for (Gateway *instance : instances_) {
        EXPECT_TRUE(instance->WaitMetric("boragespur_upstream_limits 1"));
    }
    std::unique_ptr<Gateway> late = Join("127.0.0.4");
    EXPECT_TRUE(late->WaitMetric("boragespur_upstream_limits 1"));
    EXPECT_NE(late->Log().find("\"source\":\"others\""), std::string::npos);
}

} // namespace
