// Troubles that operators of similar systems reported: odd entries in the list
// of upstreams, refusals that belong to other requests, and errors in the
// middle of a stream.
#include "gateway_fixture.h"

#include <atomic>

namespace {

// An entry with FIELD instead of the one of the same name, or added.
std::string
With(int port, const std::string &name, const std::string &value)
{
    std::string entry = Listed("desk", port);
    size_t at = entry.find("\"" + name + "\":");
    if (at == std::string::npos) {
        entry.insert(entry.size() - 1, ",\"" + name + "\":" + value);
        return entry;
    }
    size_t from = at + name.size() + 3;
    size_t to = entry[from] == '"' ? entry.find('"', from + 1) + 1
                                   : entry.find_first_of(",}", from);
    return entry.replace(from, to - from, value);
}

std::string
Nested(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

struct OddEntry {
    const char *name;
    std::function<std::string(int port)> make;
};

const OddEntry kOddEntries[] = {
    {"DeeplyNested", [](int) { return Nested(400000); }},
    {"DeeplyNestedObjects",
     [](int) {
         std::string text;
         for (int i = 0; i < 100000; i++) {
             text += "{\"a\":";
         }
         return text;
     }},
    {"NestedField",
     [](int port) { return With(port, "slots", Nested(1000)); }},
    {"NestedExtraField",
     [](int port) { return With(port, "extra", Nested(100000)); }},
    {"SlotsBeyondAnyInteger",
     [](int port) {
         return With(port, "slots", "99999999999999999999999999");
     }},
    {"SlotsBeyond32Bits",
     [](int port) { return With(port, "slots", "4294967297"); }},
    {"SlotsFarTooMany",
     [](int port) { return With(port, "slots", "4000000000"); }},
    {"SlotsNegative", [](int port) { return With(port, "slots", "-4"); }},
    {"BornBeyondAnyInteger",
     [](int port) { return With(port, "born", "1e300"); }},
    {"BornBeyondAnyNumber",
     [](int port) { return With(port, "born", "1e999"); }},
    {"BornNegative", [](int port) { return With(port, "born", "-1e300"); }},
    {"BornText", [](int port) { return With(port, "born", "\"soon\""); }},
    {"SequenceBeyondAnyInteger",
     [](int port) { return With(port, "sequence", "1e300"); }},
    {"ColdBeyondAnyInteger",
     [](int port) { return With(port, "cold-remaining-ms", "1e300"); }},
    {"ColdText",
     [](int port) { return With(port, "cold-remaining-ms", "true"); }},
    {"PortOutOfRange",
     [](int port) {
         return With(port, "address",
                     "\"127.0.0.1:" + std::to_string(65536 + port) + "\"");
     }},
    {"PortFarOutOfRange",
     [](int port) {
         return With(port, "address",
                     "\"127.0.0.1:" + std::to_string(4294967296 + port) +
                         "\"");
     }},
    {"PortNegative",
     [](int port) {
         return With(port, "address",
                     "\"127.0.0.1:-" + std::to_string(65536 - port) + "\"");
     }},
    {"PortZero",
     [](int port) { return With(port, "address", "\"127.0.0.1:0\""); }},
    {"PortWithMore",
     [](int port) {
         return With(port, "address",
                     "\"127.0.0.1:" + std::to_string(port) + ":1\"");
     }},
    {"NoHost",
     [](int port) {
         return With(port, "address", "\":" + std::to_string(port) + "\"");
     }},
    {"AddressOfAnotherType",
     [](int port) { return With(port, "address", "[1]"); }},
    {"UnknownState", [](int port) { return With(port, "state", "\"odd\""); }},
    {"NoText", [](int) { return std::string("\xff\xfe\x00{", 4); }},
    {"Empty", [](int) { return std::string(); }},
};

class OddEntryTest : public GatewayTest,
                     public testing::WithParamInterface<OddEntry> {};

} // namespace

// Guards against an odd entry that ends the process, stops it from following
// the list, or names an upstream to use.
TEST_P(OddEntryTest, IsLeftOutAndTheOthersHold)
{
    auto odd = [](Socket &socket, const ReceivedRequest &got) {
        return socket.Write(SignedAnswer(got, "odd"));
    };
    Start({Answers});
    Runner named(odd);
    Runner later(Answers);
    store_.Put("servers/a-odd", GetParam().make(named.port()));
    store_.Put("servers/z-later", Listed("desk", later.port()));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 2"));
    for (int i = 0; i < 12; i++) {
        std::string id = "n" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", id)), id));
    }
    EXPECT_EQ(named.count(), 0);
    store_.Put("servers/a-odd", Listed("desk", named.port()));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstreams 3"));
    store_.Put("servers/a-odd", GetParam().make(named.port()));
    store_.Remove("servers/z-later");
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_broken_items_total 2"));
    EXPECT_TRUE(gateway_->Ready());
    // An instance that starts with the odd entry in the list.
    Gateway started(store_.port(), "127.0.0.2");
    EXPECT_TRUE(started.WaitReady());
    EXPECT_TRUE(IsHealthy(started.Ask(Call("/look/1", "s")), "s"));
}

INSTANTIATE_TEST_SUITE_P(Entries, OddEntryTest, testing::ValuesIn(kOddEntries),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

namespace {

// A refusal as its upstream writes it; "ID" is the request's id.
struct RefusalCase {
    const char *name;
    const char *refusal;
};

const RefusalCase kRefusals[] = {
    {"WithId", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
               "Content-Length: 0\r\n\r\n"},
    {"WithoutId", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n"},
    {"MisdirectedWithId", "HTTP/1.1 421 X\r\nServed-By: other\r\n"
                          "Request-Id: ID\r\nContent-Length: 0\r\n\r\n"},
    {"MisdirectedWithoutId", "HTTP/1.1 421 X\r\nServed-By: other\r\n"
                             "Content-Length: 0\r\n\r\n"},
    {"OverLimitWithoutId", "HTTP/1.1 429 X\r\nNot-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n"},
};

class RefusalCopyTest : public GatewayTest,
                        public testing::WithParamInterface<RefusalCase> {
  protected:
    // Refuses requests "refused..."; runs all others, on a connection that
    // has had a refusal after one more copy of it.
    bool Answer(Socket &socket, const ReceivedRequest &got)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (got.id.compare(0, 7, "refused") == 0) {
            refused_[&socket] = WithId(GetParam().refusal, got);
            return socket.Write(refused_[&socket]);
        }
        runs_[got.id]++;
        auto refusal = refused_.find(&socket);
        if (refusal != refused_.end()) {
            socket.Write(refusal->second);
        }
        return Answers(socket, got);
    }
    void StartTwo()
    {
        auto script = [this](Socket &socket, const ReceivedRequest &got) {
            return Answer(socket, got);
        };
        Start({script, script});
        for (int i = 0; i < 4; i++) {
            EXPECT_NE(StatusOf(gateway_->Ask(
                          Call("/look/1", "refused" + std::to_string(i)))),
                      200);
        }
    }
    int Runs(const std::string &id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_[id];
    }

    std::mutex mutex_;
    std::map<Socket *, std::string> refused_;
    std::map<std::string, int> runs_;
};

} // namespace

// Guards against a copy of an earlier refusal that is taken for the answer to
// the next request on the connection, which runs, and then runs again or is
// reported as not run.
TEST_P(RefusalCopyTest, IsNotTakenForTheNextAnswer)
{
    StartTwo();
    for (int i = 0; i < 6; i++) {
        std::string id = "once-" + std::to_string(i);
        int status = StatusOf(gateway_->Ask(Call("/book/1", id)));
        bool told_not_run = status == 503 || status == 429;
        EXPECT_TRUE(told_not_run || status == 200 || status == 502) << status;
        EXPECT_LE(Runs(id), told_not_run ? 0 : 1) << id << ": " << status;
    }
}

INSTANTIATE_TEST_SUITE_P(Refusals, RefusalCopyTest,
                         testing::ValuesIn(kRefusals), [](const auto &info) {
                             return std::string(info.param.name);
                         });

// Guards against a copy of a refusal that is taken for a second one: the
// request has been sent again and runs, and would be sent once more.
TEST_P(RefusalCopyTest, IsNotTakenForAnAnswerToTheSameRequest)
{
    std::mutex mutex;
    std::map<Socket *, std::string> refused;
    int arrived = 0;
    int runs = 0;
    Start({[&](Socket &socket, const ReceivedRequest &got) {
        std::lock_guard<std::mutex> lock(mutex);
        if (arrived++ == 0) {
            refused[&socket] = WithId(GetParam().refusal, got);
            return socket.Write(refused[&socket]);
        }
        runs++;
        return refused.count(&socket) > 0 ? socket.Write(refused[&socket])
                                          : Answers(socket, got);
    }});
    gateway_->Ask(Call("/book/1", "once"));
    std::lock_guard<std::mutex> lock(mutex);
    EXPECT_LE(runs, 1);
}

namespace {

// What the second upstream answers when a stream has broken off; "ID" is the
// request's id.
struct ResumeCase {
    const char *name;
    const char *answer;
};

const ResumeCase kResumes[] = {
    {"Error", "HTTP/1.1 500 X\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
              "Content-Length: 14\r\n\r\nerror: broken\n"},
    {"ErrorOfEvents",
     "HTTP/1.1 500 X\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
     "data: broken\n\n\n"},
    {"ErrorToTheEnd", "HTTP/1.1 500 X\r\n\r\nerror: broken\n\n"},
    {"NotFound",
     "HTTP/1.1 404 X\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Content-Length: 8\r\n\r\nbroken\n\n"},
    {"Redirect", "HTTP/1.1 302 X\r\nRequest-Id: ID\r\nLocation: /broken\r\n"
                 "Content-Length: 0\r\n\r\n"},
    {"FalsePromise", "HTTP/1.1 503 X\r\nRequest-Id: ID\r\n"
                     "Content-Length: 8\r\n\r\nbroken\n\n"},
    {"Refusal", "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
                "Content-Length: 8\r\n\r\nbroken\n\n"},
    {"ErrorWithStatusOk",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Content-Type: application/json\r\nContent-Length: 20\r\n\r\n"
     "{\"error\":\"broken\"}\n\n"},
    {"NoContent",
     "HTTP/1.1 204 X\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n"},
    {"OkWithoutSignature",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 15\r\n\r\n"
     "data: broken\n\n\n"},
    {"OkOfAnother",
     "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
     "Content-Length: 15\r\n\r\ndata: broken\n\n\n"},
    {"Garbage", "broken\r\n\r\nbroken\n\n"},
    {"CutHead", "HTTP/1.1 500 broken\r\nContent-Le"},
};

class ResumeErrorTest : public GatewayTest,
                        public testing::WithParamInterface<ResumeCase> {};

} // namespace

// Guards against the text or the head of an error in the middle of a stream
// that has begun, and against a stream that ends with it as if it were
// complete.
TEST_P(ResumeErrorTest, StaysOutOfTheStream)
{
    std::atomic<int> runs{0};
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        if (runs++ == 0) {
            socket.Write(StreamHead(got) + Chunk(Event(0) + Event(1)) +
                         "8\r\nid: 2\nda");
            return false;
        }
        socket.Write(WithId(GetParam().answer, got));
        return false;
    };
    Start({script, script, script});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a", "Connection: close\r\n"));
    std::string answer = caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), Event(0) + Event(1)) << answer;
    EXPECT_FALSE(complete) << answer;
    EXPECT_EQ(answer.find("broken"), std::string::npos) << answer;
    EXPECT_GT(runs, 1);
}

INSTANTIATE_TEST_SUITE_P(Answers, ResumeErrorTest, testing::ValuesIn(kResumes),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });
