// The command that explains where a request would go, with a real gateway.
#include "gateway_fixture.h"

#include <jansson.h>
#include <sstream>
#include <thread>

namespace {

using Json = std::unique_ptr<json_t, void (*)(json_t *)>;

Json
Parse(const std::string &text)
{
    return Json(json_loads(text.c_str(), 0, nullptr), json_decref);
}

std::string
TextOf(const Json &json, const char *key)
{
    const char *text = json_string_value(json_object_get(json.get(), key));
    return text == nullptr ? "" : text;
}

class ExplainTest : public GatewayTest {
  protected:
    struct Result {
        int code;
        std::string output; // and errors
    };
    // Runs the command; waits while another explanation is too recent.
    Result Run(const std::string &options)
    {
        Result result;
        Eventually([&] {
            result.code =
                RunProgram({"/bin/sh", "-c",
                            std::string(BORAGESPUR) + " explain --admin " +
                                gateway_->admin() + " " + options + " 2>&1"},
                           &result.output);
            return result.output.find("another explanation") ==
                   std::string::npos;
        });
        return result;
    }
    Json Explain(const std::string &options)
    {
        return Parse(Run("--json --host shop.example " + options).output);
    }
    // The metrics, without those that move by themselves or with each call of
    // the admin address.
    std::string SteadyMetrics()
    {
        std::istringstream lines(gateway_->Metrics());
        std::string steady;
        for (std::string line; std::getline(lines, line);) {
            bool moves = false;
            for (const char *name : {"uptime", "store_", "explanations_"}) {
                moves |= line.find(name) != std::string::npos;
            }
            steady += moves ? "" : line + "\n";
        }
        size_t body = steady.find("\r\n\r\n");
        return body == std::string::npos ? steady : steady.substr(body);
    }
    // Sends COUNT requests with KEY that the scripts hold until go_.
    void Hold(int count, const std::string &key = "key")
    {
        int arrived = Arrivals();
        for (int i = 0; i < count; i++) {
            std::string call =
                Call("/calm/1", "held-" + std::to_string(arrived + i));
            call.replace(call.find("Api-Key: key"), 12, "Api-Key: " + key);
            callers_.emplace_back([this, call] { gateway_->Ask(call); });
        }
        ASSERT_TRUE(Eventually([&] { return Arrivals() == arrived + count; }));
    }
    void TearDown() override
    {
        go_ = true;
        for (std::thread &caller : callers_) {
            caller.join();
        }
    }
    Runner::Script Holds()
    {
        return [this](Socket &socket, const ReceivedRequest &got) {
            Eventually([this] { return go_.load(); });
            return Answers(socket, got);
        };
    }
    std::vector<std::thread> callers_;
};

// The explanation names the upstream that gets the request, and nothing
// arrives anywhere or is counted because of it.
TEST_F(ExplainTest, NamesTheUpstreamThatGetsTheRequestAndSendsNothing)
{
    Start({Answers, Answers, Answers});
    gateway_->Ask(Call("/look/1", "first"));
    std::string before = SteadyMetrics();
    int arrived = Arrivals();
    Json json = Explain("--path /look/2 --account acme");
    ASSERT_NE(json.get(), nullptr);
    Explain("--path /look/2 --account acme");
    EXPECT_EQ(Arrivals(), arrived);
    EXPECT_EQ(SteadyMetrics(), before);
    EXPECT_EQ(TextOf(json, "decision"), "sent");
    EXPECT_EQ(TextOf(json, "route"), "look");
    EXPECT_EQ(TextOf(json, "service"), "desk");
    EXPECT_EQ(TextOf(json, "account"), "acme");
    json_t *candidates = json_object_get(json.get(), "candidates");
    ASSERT_EQ(json_array_size(candidates), 3u);
    std::string named = TextOf(json, "upstream");
    EXPECT_EQ(named, json_string_value(json_object_get(
                         json_array_get(candidates, 0), "upstream")));
    gateway_->Ask(Call("/look/2", "second"));
    std::string served;
    for (size_t i = 0; i < runners_.size(); i++) {
        int count = runners_[i]->count();
        if (count > 0 && runners_[i]->request(count - 1).id == "second") {
            served = Name(i);
        }
    }
    EXPECT_EQ(served, named);
}

// In overload the explanation still comes, and tells that a request would be
// queued, or be rejected by its account's limit.
TEST_F(ExplainTest, AnswersWhileAllSlotsAreTaken)
{
    Start({Holds()});
    Hold(6);
    Json json = Explain("--path /calm/2 --account acme");
    ASSERT_NE(json.get(), nullptr);
    EXPECT_EQ(TextOf(json, "decision"), "queued");
    EXPECT_EQ(TextOf(json, "rule"), "no_free_slot");
    EXPECT_GT(json_integer_value(json_object_get(json.get(), "queue_ms")), 0);
    json_t *candidate =
        json_array_get(json_object_get(json.get(), "candidates"), 0);
    EXPECT_STREQ(json_string_value(json_object_get(candidate, "reason")),
                 "no_free_slot");
    EXPECT_EQ(json_integer_value(json_object_get(candidate, "own")), 6);
    std::string text =
        Run("--host shop.example --path /calm/2 --account acme").output;
    EXPECT_NE(text.find("queued for at most "), std::string::npos) << text;
    EXPECT_NE(text.find("i-0  no_free_slot"), std::string::npos) << text;
}

// The limit of an account is looked at, and not used up.
TEST_F(ExplainTest, TellsThatAnAccountIsOverItsLimit)
{
    Start({Holds()});
    Hold(5); // no spare slots: the limit binds
    for (int i = 0; i < 3; i++) {
        Json json = Explain("--path /calm/1 --account small");
        ASSERT_EQ(TextOf(json, "decision"), "sent") << i;
    }
    Hold(1, "small-key"); // costs twice its burst
    Json json = Explain("--path /calm/1 --account small");
    EXPECT_EQ(TextOf(json, "decision"), "rejected");
    EXPECT_EQ(TextOf(json, "rule"), "account_limit");
    EXPECT_EQ(json_integer_value(json_object_get(json.get(), "status")), 429);
    EXPECT_GT(
        json_integer_value(json_object_get(json.get(), "account_wait_ms")), 0);
}

TEST_F(ExplainTest, ErrorsSayWhatIsUnknown)
{
    Start({Answers});
    store_.Put("op/config",
               Config(2, ",{\"name\":\"lost\",\"host\":\"shop.example\","
                         "\"prefix\":\"/lost/\",\"route-type\":\"safe\","
                         "\"target-latency-ms\":500,\"priority\":1,"
                         "\"service\":\"ghost\",\"max-attempts\":1,"
                         "\"timeout-ms\":4000}"));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 2"));
    struct {
        const char *options;
        int code;
        const char *error;
    } rows[] = {
        {"--host other.example --path /look/1", 1, "no route"},
        {"--host shop.example --path /none/1", 1, "no route"},
        {"--host shop.example --path /lost/1", 1, "unknown service 'ghost'"},
        {"--host shop.example --path /look/1 --account nobody", 1,
         "unknown account 'nobody'"},
        {"--host shop.example --path look", 1, "the path begins with '/'"},
        {"--host shop.example --path /look/1 --prompt-tokens 4294967296", 1,
         "token count '4294967296' is not a number from 0 to 4294967295"},
        {"--host shop.example", 2, "needs both --host and --path"},
    };
    for (const auto &row : rows) {
        Result result = Run(row.options);
        EXPECT_EQ(result.code, row.code) << row.options;
        EXPECT_NE(result.output.find(row.error), std::string::npos)
            << row.options << ": " << result.output;
    }
    EXPECT_EQ(Run("--host SHOP.example --path /look/1 --account acme").code,
              0);
}

// A request without an account is rejected, except on public routes.
TEST_F(ExplainTest, NeedsAnAccountUnlessTheRouteIsPublic)
{
    Start({Answers});
    Json json = Explain("--path /look/1");
    EXPECT_EQ(TextOf(json, "decision"), "rejected");
    EXPECT_EQ(TextOf(json, "rule"), "unknown_key");
    EXPECT_EQ(json_integer_value(json_object_get(json.get(), "status")), 401);
    EXPECT_EQ(TextOf(Explain("--path /open/1"), "decision"), "sent");
}

// The rejections that follow from the upstreams are those of real requests.
TEST_F(ExplainTest, RejectionsByTheUpstreamsAreThoseOfRequests)
{
    Start({[](Socket &socket, const ReceivedRequest &got) {
        std::string answer = SignedAnswer(got, "body of " + got.id);
        return socket.Write(
            answer.insert(answer.find("\r\n") + 2, "Server-Limit: 0.01\r\n"));
    }});
    const std::string options = "--path /look/1 --account acme";
    gateway_->Ask(Call("/look/1", "first"));
    Json json = Explain(options);
    EXPECT_EQ(TextOf(json, "decision"), "rejected");
    EXPECT_EQ(TextOf(json, "rule"), "limited");
    json_t *candidate =
        json_array_get(json_object_get(json.get(), "candidates"), 0);
    EXPECT_STREQ(json_string_value(json_object_get(candidate, "reason")),
                 "named_limit");
    EXPECT_STREQ(json_string_value(
                     json_array_get(json_object_get(candidate, "states"), 0)),
                 "limited");
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "second"))), 503);
    // The line is written after the answer.
    EXPECT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"limited\"") != std::string::npos;
    }));

    store_.Put("servers/" + Name(0),
               Listed("desk", runners_[0]->port(), "z1", "draining"));
    ASSERT_TRUE(Eventually([&] {
        json = Explain(options);
        return TextOf(json, "rule") == "no_upstream";
    }));
    EXPECT_EQ(json_integer_value(json_object_get(
                  json_object_get(json.get(), "reasons"), "draining")),
              1);
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "third"))), 503);
    ASSERT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"no_upstream\"") != std::string::npos;
    }));
}

// Guards against answers that grow with the number of upstreams.
TEST_F(ExplainTest, ListsTwentyCandidatesAndCountsTheRest)
{
    Start(std::vector<Runner::Script>(25, Answers));
    Result result = Run("--json --host shop.example --path /open/1");
    Json json = Parse(result.output);
    RecordProperty("bytes", (int)result.output.size());
    EXPECT_EQ(json_array_size(json_object_get(json.get(), "candidates")), 20u);
    EXPECT_EQ(json_integer_value(json_object_get(json.get(), "upstreams")),
              25);
    EXPECT_EQ(json_integer_value(json_object_get(
                  json_object_get(json.get(), "reasons"), "eligible")),
              25);
    EXPECT_LT(result.output.size(), 16384u);
}

// Guards against explanations that take the time of requests: of many calls at
// once, some are denied, and each gets an answer.
TEST_F(ExplainTest, ManyCallsAtOnceAreBounded)
{
    Start({Answers});
    constexpr int kCalls = 20;
    std::string calls;
    for (int i = 0; i < kCalls; i++) {
        calls += "GET /explain?host=shop.example&path=/open/1 HTTP/1.1\r\n"
                 "Host: x\r\n" +
                 std::string(i + 1 == kCalls ? "Connection: close\r\n" : "") +
                 "\r\n";
    }
    std::unique_ptr<Socket> socket = gateway_->OpenAdmin();
    ASSERT_TRUE(socket->Write(calls));
    std::string answers = socket->ReadAll();
    int explained = 0;
    int denied = 0;
    for (size_t at = 0;
         (at = answers.find("HTTP/1.1 ", at)) != std::string::npos; at++) {
        explained += answers.compare(at + 9, 3, "200") == 0;
        denied += answers.compare(at + 9, 3, "503") == 0;
    }
    EXPECT_EQ(explained + denied, kCalls) << answers;
    EXPECT_GE(explained, 1);
    EXPECT_GE(denied, 1);
}

} // namespace
