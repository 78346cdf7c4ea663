// Logs, metrics and the daily report show the cause of what callers saw.
#include "gateway_fixture.h"

#include <chrono>
#include <csignal>
#include <sstream>
#include <thread>

namespace {

// How an operator finds the cause of a failed request by its id, as described
// in docs/OPERATIONS.md.
struct StoryCase {
    const char *name;
    const char *path;
    Runner::Script script;
    int status;
    const char *expected; // found in the output of "explain"
};

class StoryTest : public GatewayTest,
                  public testing::WithParamInterface<StoryCase> {};

TEST_P(StoryTest, LogsLeadFromARequestToItsCause)
{
    const StoryCase &row = GetParam();
    Start({row.script});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call(row.path, "lost-one"))), row.status);
    std::string story;
    ASSERT_TRUE(Eventually([&] {
        RunProgram(
            {BORAGESPUR, "explain", "--log", gateway_->LogFile(), "lost-one"},
            &story);
        return story.find(row.expected) != std::string::npos;
    })) << story;
    EXPECT_NE(story.find("Look at:"), std::string::npos) << story;
}

INSTANTIATE_TEST_SUITE_P(
    Failures, StoryTest,
    testing::Values(StoryCase{"RefusedUnderLoad", "/book/1", Refuses, 503,
                              "Cause upstream_full:"},
                    StoryCase{"BrokenUpstream", "/book/1",
                              [](Socket &, const ReceivedRequest &) {
                                  return false;
                              },
                              502, "Cause broke_before_answer:"},
                    StoryCase{"StaleConfiguration", "/newer/1", Answers, 404,
                              "Cause no_route:"},
                    StoryCase{"SlowUpstream", "/brief/1",
                              [](Socket &socket, const ReceivedRequest &) {
                                  socket.WaitClosed();
                                  return false;
                              },
                              504, "Cause expired:"}),
    [](const auto &info) { return std::string(info.param.name); });

// Returns the values of the text field FIELD in the lines of LOG for EVENT.
std::vector<std::string>
ValuesOf(const std::string &log, const std::string &event,
         const std::string &field)
{
    std::vector<std::string> values;
    std::string mark = "\"" + field + "\":\"";
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        size_t at = line.find(mark);
        if (line.find("\"" + event + "\"") != std::string::npos &&
            at != std::string::npos) {
            at += mark.size();
            values.push_back(line.substr(at, line.find('"', at) - at));
        }
    }
    return values;
}

// Each attempt of a caller has another request id; only the content hash is
// the same.
TEST_F(GatewayTest, FailuresOfTheSameContentShareAHash)
{
    Start({[](Socket &, const ReceivedRequest &) { return false; }});
    gateway_->Ask(Call("/book/1", "first", "", "flour"));
    gateway_->Ask(Call("/book/1", "again", "", "flour"));
    gateway_->Ask(Call("/book/1", "third", "", "rye"));
    gateway_->Ask(Call("/book/2", "fourth", "", "flour"));
    std::vector<std::string> contents;
    ASSERT_TRUE(Eventually([&] {
        contents = ValuesOf(gateway_->Log(), "refused", "content");
        return contents.size() == 4;
    })) << gateway_->Log();
    EXPECT_EQ(contents[0], contents[1]);
    EXPECT_NE(contents[0], contents[2]);
    EXPECT_NE(contents[0], contents[3]);
}

// The content hash of a refused request leads to the caller's other attempts,
// with other request ids, that crashed their upstreams.
TEST_F(GatewayTest, ExplainFindsAllAttemptsByContentHash)
{
    Start({[](Socket &, const ReceivedRequest &) { return false; }});
    gateway_->Ask(Call("/book/1", "first", "", "flour"));
    gateway_->Ask(Call("/book/1", "again", "", "flour"));
    gateway_->Ask(Call("/book/1", "third", "", "rye"));
    std::vector<std::string> contents;
    ASSERT_TRUE(Eventually([&] {
        contents = ValuesOf(gateway_->Log(), "refused", "content");
        return contents.size() == 3;
    }));
    std::string story;
    RunProgram(
        {BORAGESPUR, "explain", "--log", gateway_->LogFile(), contents[0]},
        &story);
    EXPECT_NE(story.find("request=first"), std::string::npos) << story;
    EXPECT_NE(story.find("request=again"), std::string::npos) << story;
    EXPECT_EQ(story.find("request=third"), std::string::npos) << story;
}

// The reader of the log stops reading, then closes the pipe; requests are
// still answered and log lines are dropped.
TEST_F(GatewayTest, AnUnreadLogDropsLinesWithoutDelay)
{
    Start({Answers});
    Gateway unread(store_.port(), "127.0.0.2", 0, {}, LogTo::kUnreadPipe);
    ASSERT_TRUE(unread.WaitReady());
    auto ask = [&](const std::string &id) {
        return IsHealthy(unread.Ask(Call("/look/1", id)), id);
    };
    for (int i = 0; i < 200; i++) {
        ASSERT_TRUE(ask("full" + std::to_string(i)));
    }
    EXPECT_EQ(unread.Metrics().find("boragespur_log_lines_dropped 0\n"),
              std::string::npos);
    unread.CloseLog();
    for (int i = 0; i < 20; i++) {
        ASSERT_TRUE(ask("closed" + std::to_string(i)));
    }
    unread.Signal(SIGTERM);
    EXPECT_EQ(unread.Wait(), 0);
}

// A stream that starts in time and then pauses is late for its caller, so the
// log has its longest pause.
TEST_F(GatewayTest, TheLogHasTheLongestPauseOfAStream)
{
    const int pause_ms = 300;
    const std::string mark = "\"gap_ms\":";
    Start({[this, pause_ms](Socket &socket, const ReceivedRequest &got) {
        socket.Write(StreamHead(got) + Chunk(Event(0)) + Chunk(Event(1)));
        // The pause starts once the gateway has forwarded the events.
        Eventually([&] { return go_.load(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
        return socket.Write(Chunk(Event(2)) + Chunk(Event(3)) + LastChunk());
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a"));
    ReadUntil(*caller, "piece 1\n\n");
    go_ = true;
    ReadUntil(*caller, "0\r\n\r\n");
    std::string log;
    ASSERT_TRUE(Eventually([&] {
        log = gateway_->Log();
        return log.find(mark) != std::string::npos;
    })) << log;
    EXPECT_GE(std::stoi(log.substr(log.find(mark) + mark.size())), pause_ms);
}

// Guards against an answer that the gateway ends midway without a line that
// shows why, how long the upstream had been silent and how old the
// configuration was.
TEST_F(GatewayTest, AnAnswerThatIsCutIsLoggedAndCounted)
{
    Start({[](Socket &socket, const ReceivedRequest &got) {
        socket.Write(StreamHead(got) + Chunk(Event(0)));
        return false;
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/once/1", "a"));
    EXPECT_EQ(ReadUntil(*caller, "0\r\n\r\n").find("0\r\n\r\n"),
              std::string::npos);
    ASSERT_TRUE(gateway_->WaitMetric(
        "boragespur_answers_cut_total{cause=\"answer_cut_off\"} 1"));
    std::string line;
    ASSERT_TRUE(Eventually([&] {
        std::string log = gateway_->Log();
        size_t at = log.find("\"event\":\"answer_cut\"");
        line = at == std::string::npos ? "" : log.substr(at);
        line = line.substr(0, line.find('\n'));
        return !line.empty();
    })) << gateway_->Log();
    for (const char *field :
         {"\"cause\":\"answer_cut_off\"", "\"given_up\":\"answer_cut_off\"",
          "\"silent_ms\":", "\"catalog_age_ms\":"}) {
        EXPECT_NE(line.find(field), std::string::npos) << field << line;
    }
}

TEST_F(GatewayTest, MetricsHaveCountersAndHistograms)
{
    Start({Answers});
    gateway_->Ask(Call("/look/1", "a"));
    std::string text = gateway_->Metrics();
    for (const char *line :
         {"# TYPE boragespur_requests_total counter\n",
          "boragespur_requests_total{route=\"look\",outcome=\"answered\"} "
          "1\n",
          "# TYPE boragespur_request_duration_seconds histogram\n",
          "boragespur_request_duration_seconds_bucket{route=\"look\",le=\""
          "+Inf\"} 1\n",
          "boragespur_request_wait_seconds_count{route=\"look\"} 1\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

// The daily report is also written from the metrics of gateways.
TEST_F(GatewayTest, TheEveningPageTellsOfTheDay)
{
    std::string page;
    Start({Answers});
    gateway_->Ask(Call("/look/1", "a"));
    gateway_->Ask(Call("/book/1", "b"));
    EXPECT_EQ(RunProgram({BORAGESPUR, "evening", gateway_->admin()}, &page), 0)
        << page;
    for (const char *line :
         {"Today went well.", "1 answers said that it landed",
          "No instance saw a booking or charge run twice.",
          " has counted for 0 h 0 min."}) {
        EXPECT_NE(page.find(line), std::string::npos) << line << page;
    }
}

TEST_F(GatewayTest, TheEveningPageTellsOfUnknownBookings)
{
    std::string page;
    Start({[](Socket &, const ReceivedRequest &) { return false; }});
    gateway_->Ask(Call("/book/1", "b"));
    EXPECT_EQ(RunProgram({BORAGESPUR, "evening", gateway_->admin()}, &page), 1)
        << page;
    EXPECT_NE(page.find("1 answers about bookings or charges"),
              std::string::npos)
        << page;
}

// An unreachable gateway is named, and its requests are not reported as known.
TEST_F(GatewayTest, TheEveningPageNamesWhoCouldNotBeAsked)
{
    std::string page;
    Start({Refuses});
    gateway_->Ask(Call("/book/1", "b"));
    RunProgram({BORAGESPUR, "evening", gateway_->admin() + ",127.0.0.1:1"},
               &page);
    EXPECT_NE(page.find("127.0.0.1:1 could not be asked"), std::string::npos)
        << page;
    EXPECT_NE(page.find("1 said that it did not run"), std::string::npos)
        << page;
}

} // namespace
