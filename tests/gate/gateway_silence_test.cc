// Sound upstreams fall silent for a while and go on.  That is no failure: each
// caller gets one complete answer, in order, from one or several runs.
#include "gateway_fixture.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ostream>
#include <sstream>
#include <thread>

namespace {

const int kEvents = 4;
const char kBody[] = "flour";

// Where in its answer an upstream falls silent.
enum class Point {
    kBeforeHead,
    kInHead,
    kAfterHead, // of a stream: before its first event
    kBetweenEvents,
    kInEvent,
    kInBody, // of an answer with a length
};

// What the other upstream does with a request of the silent one.
enum class Other {
    kAnswers,
    kRefuses,
    kSilent, // as long as the first one, then answers
    kBreaksOff,
    kBreaksAfterHead,
    kFails, // answers 500
    kUnreachable,
    kHasNoSlot,
    kMissing, // there is no other upstream
};

// What limits the attempts at other upstreams.
enum class Limit {
    kUsual,
    kOneAttempt,
    kNoBudget, // no retry budget is left
    kExcluded, // the other upstream has failed the request before
};

struct SilenceCase {
    const char *name;
    const char *path;
    Point point;
    int silence_ms;
    Other other;
    Limit limit;
};

void
PrintTo(const SilenceCase &row, std::ostream *out)
{
    *out << row.name;
}

bool
IsStream(const std::string &path)
{
    return path == "/chat/1" || path == "/once/1";
}

// Requests that must reach upstreams exactly once.
bool
MustRunOnce(const std::string &path)
{
    return path == "/book/1" || path == "/once/1";
}

bool
IsStreamRequest(const ReceivedRequest &got)
{
    return got.text.find(" /chat/") != std::string::npos ||
           got.text.find(" /once/") != std::string::npos;
}

// The first event that GOT asks for.
int
FirstEvent(const ReceivedRequest &got)
{
    std::string last = got.Header("Last-Event-Id");
    return last.empty() ? 0 : std::stoi(last) + 1;
}

// The complete answer to GOT as an upstream sends it.
std::string
WholeAnswer(const ReceivedRequest &got)
{
    if (!IsStreamRequest(got)) {
        return SignedAnswer(got, "body of " + got.id);
    }
    std::string text = StreamHead(got);
    for (int i = FirstEvent(got); i < kEvents; i++) {
        text += Chunk(Event(i));
    }
    return text + LastChunk();
}

// The number of bytes of ANSWER that are sent before a silence at POINT.
size_t
BytesBefore(const std::string &answer, Point point)
{
    const std::string second = "piece 1\n\n\r\n";
    size_t head_bytes = answer.find("\r\n\r\n") + 4;
    size_t event_end = answer.find(second) + second.size();
    switch (point) {
    case Point::kBeforeHead:
        return 0;
    case Point::kInHead:
        return head_bytes / 2;
    case Point::kAfterHead:
        return head_bytes;
    case Point::kBetweenEvents:
        return event_end;
    case Point::kInEvent:
        return event_end + 8; // the chunk's size and a part of its event
    case Point::kInBody:
        return head_bytes + 4;
    }
    return 0;
}

void
Sleep(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Sends the answer to GOT with a silence at POINT.
bool
AnswersAfterSilence(Socket &socket, const ReceivedRequest &got, Point point,
                    int silence_ms)
{
    std::string answer = WholeAnswer(got);
    size_t before_bytes = BytesBefore(answer, point);
    if (!socket.Write(answer.substr(0, before_bytes))) {
        return false;
    }
    Sleep(silence_ms);
    return socket.Write(answer.substr(before_bytes));
}

bool
AnswersAtOnce(Socket &socket, const ReceivedRequest &got)
{
    return socket.Write(WholeAnswer(got));
}

// Returns the body of a chunked answer as far as it was received, and in
// COMPLETE whether its end was.
std::string
Dechunk(const std::string &answer, bool *complete)
{
    std::string body;
    size_t at = answer.find("\r\n\r\n") + 4;
    *complete = false;
    for (size_t end; (end = answer.find("\r\n", at)) != std::string::npos;) {
        size_t size = strtoul(&answer[at], nullptr, 16);
        if (size == 0) {
            *complete = answer.substr(end) == "\r\n\r\n";
            break;
        }
        body += answer.substr(end + 2, size);
        at = std::min(answer.size(), end + 2 + size + 2);
    }
    return body;
}

// Returns "" when ANSWER is the complete stream, with each event once and in
// order; else what is wrong.
std::string
FaultOfStream(const std::string &answer)
{
    if (StatusOf(answer) != 200) {
        return "status " + std::to_string(StatusOf(answer));
    }
    std::string events;
    for (int i = 0; i < kEvents; i++) {
        events += Event(i);
    }
    bool complete;
    std::string body = Dechunk(answer, &complete);
    if (body != events) {
        return "events differ";
    }
    return complete ? "" : "the end is missing";
}

std::string
FaultOf(const std::string &path, const std::string &id,
        const std::string &answer)
{
    if (IsStream(path)) {
        return FaultOfStream(answer);
    }
    return IsHealthy(answer, id)
               ? ""
               : "status " + std::to_string(StatusOf(answer));
}

// Scripts are called for each arrival of the tested request, which has the id
// "subject"; ARRIVAL counts from 0 over all upstreams.
class SilenceTest : public GatewayTest {
  protected:
    using ArrivalScript = std::function<bool(
        Socket &socket, const ReceivedRequest &got, int arrival)>;

    // Starts one upstream; AddOther() adds more with the same script.
    void StartWith(const ArrivalScript &script)
    {
        script_ = [this, script](Socket &socket, const ReceivedRequest &got) {
            if (got.id == "hold") {
                Eventually([&] { return released_.load(); });
                return AnswersAtOnce(socket, got);
            }
            if (got.id != "subject") {
                return AnswersAtOnce(socket, got);
            }
            int arrival = arrivals_++;
            // The first arrival waits until the other upstreams are listed.
            Eventually([&] { return go_.load(); });
            return script(socket, got, arrival);
        };
        Start({script_});
    }
    ~SilenceTest() override
    {
        released_ = true;
        go_ = true;
        gateway_.reset();
        runners_.clear();
    }
    void AddOther()
    {
        runners_.push_back(std::make_unique<Runner>(script_));
        List(runners_.size() - 1, runners_.back()->port());
    }
    void AddUnreachable()
    {
        List(runners_.size(), FreePort());
    }
    void List(size_t index, int port)
    {
        store_.Put("servers/" + Name(index), Listed("desk", port));
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams " +
                                         std::to_string(index + 1)));
    }
    static std::string WithOneSlot(int port)
    {
        const std::string slots = "\"slots\":6";
        std::string entry =
            Listed("desk", port, "z1", "ready", ",\"sequence\":5");
        return entry.replace(entry.find(slots), slots.size(), "\"slots\":1");
    }
    // Adds an upstream whose only slot is taken by another request.
    void AddFull()
    {
        store_.Put("servers/" + Name(0), WithOneSlot(runners_[0]->port()));
        runners_.push_back(std::make_unique<Runner>(script_));
        store_.Put("servers/" + Name(1), WithOneSlot(runners_[1]->port()));
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 2"));
        holder_ = gateway_->Open();
        holder_->Write(Call("/book/1", "hold"));
        ASSERT_TRUE(runners_[1]->WaitCount(1));
    }
    // Puts a configuration in force with ATTEMPTS per request.
    void SetAttempts(int attempts)
    {
        const std::string usual = "\"max-attempts\":2";
        std::string text = Config(2);
        for (size_t at; (at = text.find(usual)) != std::string::npos;) {
            text.replace(at, usual.size(),
                         "\"max-attempts\":" + std::to_string(attempts));
        }
        store_.Put("op/config", text);
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 2"));
    }
    void UseUpBudget()
    {
        gateway_->ReplaceSettings("retry_ratio: 0.2, retry_slack: 58",
                                  "retry_ratio: 0, retry_slack: 0");
        gateway_->Signal(SIGHUP);
        ASSERT_TRUE(Eventually([&] {
            return gateway_->Log().find("\"outcome\":\"in force\"") !=
                   std::string::npos;
        }));
    }
    // Sends the tested request.
    std::unique_ptr<Socket> Send(const std::string &path)
    {
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call(path, "subject", "Connection: close\r\n", kBody));
        return caller;
    }
    // Checks the answer to the tested request.
    void Expect(const std::string &path, const std::string &answer)
    {
        std::string fault = FaultOf(path, "subject", answer);
        if (!fault.empty()) {
            ADD_FAILURE() << fault << "; the caller got:\n"
                          << answer << "\nthe gateway logged:\n"
                          << StoryOf("subject");
        }
        if (MustRunOnce(path)) {
            EXPECT_EQ(arrivals_, 1);
        }
    }
    // Returns the log lines about the answered or refused request ID.
    std::string StoryOf(const std::string &id)
    {
        Eventually([&] {
            std::string story = LogOf(id);
            return story.find("\"refused\"") != std::string::npos ||
                   story.find("\"answered\"") != std::string::npos;
        });
        return LogOf(id);
    }
    // Returns the gateway's log lines about request ID.
    std::string LogOf(const std::string &id)
    {
        std::string found;
        std::istringstream lines(gateway_->Log());
        for (std::string line; std::getline(lines, line);) {
            if (line.find("\"" + id + "\"") != std::string::npos) {
                found += line + "\n";
            }
        }
        return found;
    }

    Runner::Script script_;
    std::atomic<int> arrivals_{0};
    std::atomic<bool> released_{false};
    std::unique_ptr<Socket> holder_;
};

// -------------------------------------------------------- silence of one --

class OneSilenceTest : public SilenceTest,
                       public testing::WithParamInterface<SilenceCase> {
  protected:
    // Answers as the other upstream.
    static bool AnswerAsOther(Socket &socket, const ReceivedRequest &got)
    {
        const SilenceCase &row = GetParam();
        switch (row.other) {
        case Other::kRefuses:
            return Refuses(socket, got);
        case Other::kSilent:
            return AnswersAfterSilence(socket, got, Point::kBeforeHead,
                                       row.silence_ms);
        case Other::kBreaksOff:
            return false;
        case Other::kBreaksAfterHead:
            socket.Write(StreamHead(got));
            return false;
        case Other::kFails:
            return socket.Write(SignedAnswer(got, "broken", 500));
        default:
            return AnswersAtOnce(socket, got);
        }
    }
    void AddOthers()
    {
        switch (GetParam().other) {
        case Other::kUnreachable:
            AddUnreachable();
            return;
        case Other::kHasNoSlot:
            AddFull();
            return;
        case Other::kMissing:
            return;
        default:
            AddOther();
        }
    }
    void SetLimit()
    {
        switch (GetParam().limit) {
        case Limit::kOneAttempt:
            SetAttempts(1);
            return;
        case Limit::kNoBudget:
            UseUpBudget();
            return;
        case Limit::kExcluded:
            SetAttempts(3);
            AddOther();
            return;
        case Limit::kUsual:
            return;
        }
    }
};

// Guards against answers that are cut off, doubled or refused because a sound
// upstream was silent for a while, whatever an attempt elsewhere comes to.
TEST_P(OneSilenceTest, TheCallerGetsOneCompleteAnswer)
{
    const SilenceCase &row = GetParam();
    // Where the other upstream is excluded, it breaks off the first arrival.
    const int silent = row.limit == Limit::kExcluded ? 1 : 0;
    StartWith([&row, silent](Socket &socket, const ReceivedRequest &got,
                             int arrival) {
        if (arrival < silent) {
            return false;
        }
        return arrival == silent ? AnswersAfterSilence(socket, got, row.point,
                                                       row.silence_ms)
                                 : AnswerAsOther(socket, got);
    });
    SetLimit();
    std::unique_ptr<Socket> caller = Send(row.path);
    ASSERT_TRUE(Eventually([&] { return arrivals_ > 0; }));
    if (row.limit != Limit::kExcluded) {
        AddOthers();
    }
    go_ = true;
    Expect(row.path, caller->ReadAll());
}

const SilenceCase kStreams[] = {
    {"Free", "/chat/1", Point::kBetweenEvents, 1400, Other::kAnswers,
     Limit::kUsual},
    {"Full", "/chat/1", Point::kBetweenEvents, 1400, Other::kRefuses,
     Limit::kUsual},
    {"AlsoSilent", "/chat/1", Point::kBetweenEvents, 1400, Other::kSilent,
     Limit::kUsual},
    {"BreaksOff", "/chat/1", Point::kBetweenEvents, 1400, Other::kBreaksOff,
     Limit::kUsual},
    {"BreaksAfterHead", "/chat/1", Point::kBetweenEvents, 1400,
     Other::kBreaksAfterHead, Limit::kUsual},
    {"ResumesWithAnError", "/chat/1", Point::kBetweenEvents, 1400,
     Other::kFails, Limit::kUsual},
    {"Unreachable", "/chat/1", Point::kBetweenEvents, 1400,
     Other::kUnreachable, Limit::kUsual},
    {"NoSlot", "/chat/1", Point::kBetweenEvents, 1400, Other::kHasNoSlot,
     Limit::kUsual},
    {"NoSlotFor2300Ms", "/chat/1", Point::kBetweenEvents, 2300,
     Other::kHasNoSlot, Limit::kUsual},
    {"Missing", "/chat/1", Point::kBetweenEvents, 1400, Other::kMissing,
     Limit::kUsual},
    {"MissingFor2300Ms", "/chat/1", Point::kBetweenEvents, 2300,
     Other::kMissing, Limit::kUsual},
    {"OneAttempt", "/chat/1", Point::kBetweenEvents, 1400, Other::kAnswers,
     Limit::kOneAttempt},
    {"OneAttemptFor2300Ms", "/chat/1", Point::kBetweenEvents, 2300,
     Other::kAnswers, Limit::kOneAttempt},
    {"NoBudget", "/chat/1", Point::kBetweenEvents, 1400, Other::kAnswers,
     Limit::kNoBudget},
    {"Excluded", "/chat/1", Point::kBetweenEvents, 1400, Other::kAnswers,
     Limit::kExcluded},
    {"AlsoSilentFor600Ms", "/chat/1", Point::kBetweenEvents, 600,
     Other::kSilent, Limit::kUsual},
    {"AlsoSilentFor2000Ms", "/chat/1", Point::kBetweenEvents, 2000,
     Other::kSilent, Limit::kUsual},
    {"BeforeHeadFree", "/chat/1", Point::kBeforeHead, 1400, Other::kAnswers,
     Limit::kUsual},
    {"BeforeHeadFull", "/chat/1", Point::kBeforeHead, 1400, Other::kRefuses,
     Limit::kUsual},
    {"BeforeHeadBreaksOff", "/chat/1", Point::kBeforeHead, 1400,
     Other::kBreaksOff, Limit::kUsual},
    {"InHeadNoBudget", "/chat/1", Point::kInHead, 1400, Other::kAnswers,
     Limit::kNoBudget},
    {"AfterHeadFull", "/chat/1", Point::kAfterHead, 1400, Other::kRefuses,
     Limit::kUsual},
    {"AfterHeadFree", "/chat/1", Point::kAfterHead, 1400, Other::kAnswers,
     Limit::kUsual},
    {"InEventFree", "/chat/1", Point::kInEvent, 1400, Other::kAnswers,
     Limit::kUsual},
    {"InEventFull", "/chat/1", Point::kInEvent, 1400, Other::kRefuses,
     Limit::kUsual},
    {"InEventNoBudget", "/chat/1", Point::kInEvent, 1400, Other::kAnswers,
     Limit::kNoBudget},
};

// A stream that may not be repeated is waited for.
const SilenceCase kStreamsOnce[] = {
    {"BeforeHead", "/once/1", Point::kBeforeHead, 2000, Other::kAnswers,
     Limit::kUsual},
    {"AfterHead", "/once/1", Point::kAfterHead, 2300, Other::kAnswers,
     Limit::kUsual},
    {"BetweenEvents", "/once/1", Point::kBetweenEvents, 1400, Other::kAnswers,
     Limit::kUsual},
    {"BetweenEventsFor2300Ms", "/once/1", Point::kBetweenEvents, 2300,
     Other::kAnswers, Limit::kUsual},
    {"InEventFor2300Ms", "/once/1", Point::kInEvent, 2300, Other::kAnswers,
     Limit::kUsual},
    {"MissingFor2300Ms", "/once/1", Point::kBetweenEvents, 2300,
     Other::kMissing, Limit::kUsual},
};

const SilenceCase kPlain[] = {
    {"SafeFree", "/look/1", Point::kBeforeHead, 1400, Other::kAnswers,
     Limit::kUsual},
    {"SafeFull", "/look/1", Point::kBeforeHead, 1400, Other::kRefuses,
     Limit::kUsual},
    {"SafeAlsoSilent", "/look/1", Point::kBeforeHead, 1400, Other::kSilent,
     Limit::kUsual},
    {"SafeBreaksOff", "/look/1", Point::kBeforeHead, 1400, Other::kBreaksOff,
     Limit::kUsual},
    {"SafeError", "/look/1", Point::kBeforeHead, 1400, Other::kFails,
     Limit::kUsual},
    {"SafeUnreachable", "/look/1", Point::kBeforeHead, 1400,
     Other::kUnreachable, Limit::kUsual},
    {"SafeNoSlot", "/look/1", Point::kBeforeHead, 1400, Other::kHasNoSlot,
     Limit::kUsual},
    {"SafeMissing", "/look/1", Point::kBeforeHead, 2000, Other::kMissing,
     Limit::kUsual},
    {"SafeOneAttempt", "/look/1", Point::kBeforeHead, 1400, Other::kAnswers,
     Limit::kOneAttempt},
    {"SafeNoBudget", "/look/1", Point::kBeforeHead, 1400, Other::kAnswers,
     Limit::kNoBudget},
    {"SafeExcluded", "/look/1", Point::kBeforeHead, 1400, Other::kAnswers,
     Limit::kExcluded},
    {"SafeInHeadNoBudget", "/look/1", Point::kInHead, 1400, Other::kAnswers,
     Limit::kNoBudget},
    {"SafeInBodyFree", "/look/1", Point::kInBody, 1400, Other::kAnswers,
     Limit::kUsual},
    {"SafeInBodyFull", "/look/1", Point::kInBody, 1400, Other::kRefuses,
     Limit::kUsual},
    {"SafeInBodyNoBudget", "/look/1", Point::kInBody, 1400, Other::kAnswers,
     Limit::kNoBudget},
    {"UnsafeBeforeHead", "/book/1", Point::kBeforeHead, 2000, Other::kAnswers,
     Limit::kUsual},
    {"UnsafeInHead", "/book/1", Point::kInHead, 2000, Other::kAnswers,
     Limit::kUsual},
    {"UnsafeInBody", "/book/1", Point::kInBody, 2000, Other::kAnswers,
     Limit::kUsual},
};

std::string
NameOf(const testing::TestParamInfo<SilenceCase> &info)
{
    return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Stream, OneSilenceTest, testing::ValuesIn(kStreams),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(StreamOnce, OneSilenceTest,
                         testing::ValuesIn(kStreamsOnce), NameOf);
INSTANTIATE_TEST_SUITE_P(Plain, OneSilenceTest, testing::ValuesIn(kPlain),
                         NameOf);

} // namespace
