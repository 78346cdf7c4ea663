// The platform's adapter: decoding of its documents and HTTP headers.
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "p_decode.h"
#include "p_heads.h"
}

namespace {

const char kConfig[] = R"({"version": 7, "unknown": {"x": 1},
 "routes": [
  {"name": "r1", "host": "A.example", "prefix": "/p/",
   "route-type": "streaming", "timeout-ms": 3000, "target-latency-ms": 500,
   "priority": 1, "service": "desk", "max-attempts": 2, "public": false,
   "sticky": true, "resumable": true, "gap-aim-ms": 200,
   "allowed-regions": ["north"]},
  {"name": "r2", "host": "a.example", "prefix": "/q/", "route-type": "safe",
   "backends": [{"service": "x", "weight": 0}, {"service": "y",
   "weight": 5}]},
  {"name": "broken", "host": "a.example", "prefix": "no-slash",
   "route-type": "safe", "service": "x"},
  {"name": "broken too", "host": "a.example", "prefix": "/z/",
   "route-type": "nonsense", "service": "x"}],
 "services": [{"name": "desk", "health-path": "/h", "max-connections": 370,
   "cold-start-s": 3.0, "cold-per-s": 13.0, "engine": {"slots": 6}},
   {"health-path": "/nameless"}],
 "limits": {"max-header-bytes": 100, "max-body-bytes": 200,
   "header-timeout-ms": 300, "idle-timeout-ms": 400},
 "tenants": [{"name": "acme", "api-keys": ["k1", "k2"], "priority": 1,
   "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 124089,
   "burst": 5, "allowed-regions": []}]})";

TEST(DecodeCatalog, ReadsRoutesServicesAccountsAndSkipsBrokenParts)
{
    unsigned skipped = 0;
    BsCatalog *catalog =
        PDecode_Catalog(kConfig, sizeof(kConfig) - 1, &skipped, nullptr);
    ASSERT_NE(catalog, nullptr);
    EXPECT_EQ(skipped, 3U);
    EXPECT_EQ(BsCatalog_Version(catalog), 7U);
    EXPECT_EQ(BsCatalog_Limits(catalog)->idle_timeout_ms, 400U);
    const BsCatalogRoute *route =
        BsCatalog_FindRoute(catalog, "a.example", "/p/1");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, BS_ROUTE_STREAM);
    EXPECT_TRUE(BsCatalogRoute_MayRepeat(route));
    EXPECT_EQ(route->target_ms, 500U);
    EXPECT_EQ(route->attempts_max, 2U);
    EXPECT_FALSE(BsCatalog_AllowsRegion(route, nullptr, "south"));
    const BsCatalogRoute *split =
        BsCatalog_FindRoute(catalog, "a.example", "/q/1");
    ASSERT_NE(split, nullptr);
    EXPECT_STREQ(BsCatalogRoute_PickService(split, 3), "y");
    const BsCatalogService *service = BsCatalog_FindService(catalog, "desk");
    ASSERT_NE(service, nullptr);
    EXPECT_TRUE(service->engine);
    EXPECT_EQ(service->cold_ms, 3000U);
    const BsCatalogAccount *account = BsCatalog_FindKey(catalog, "k2");
    ASSERT_NE(account, nullptr);
    EXPECT_STREQ(account->name, "acme");
    EXPECT_TRUE(account->counts_tokens);
    EXPECT_TRUE(account->has_rank);
    EXPECT_EQ(BsCatalog_FindKey(catalog, "k3"), nullptr);
    BsCatalog_Unref(catalog);
}

TEST(DecodeCatalog, RejectsInvalidDocuments)
{
    for (const std::string text :
         {"", "[]", "{}", "{\"version\":\"7\"}", "{\"version\":7"}) {
        unsigned skipped = 0;
        GError *error = nullptr;
        EXPECT_EQ(PDecode_Catalog(text.data(), text.size(), &skipped, &error),
                  nullptr);
        ASSERT_NE(error, nullptr) << text;
        EXPECT_NE(std::string(error->message).find("correct"),
                  std::string::npos);
        g_error_free(error);
    }
}

struct UpstreamCase {
    const char *name;
    const char *text;
    bool valid;
};

const UpstreamCase kUpstreamCases[] = {
    {"Ready",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
         "state":"ready","cold-remaining-ms":0,"sequence":4,"born":17})",
     true},
    {"Draining",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
         "state":"draining"})",
     true},
    {"OtherState",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
         "state":"sleeping"})",
     false},
    {"NoState",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6})", false},
    {"NoService",
     R"({"address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready"})",
     false},
    {"NoZone",
     R"({"service":"s","address":"10.0.0.1:80","slots":6,"state":"ready"})",
     false},
    {"SlotsAsText",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"6",
         "state":"ready"})",
     false},
    {"NoSlots",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":0,
         "state":"ready"})",
     false},
    {"NoPort",
     R"({"service":"s","address":"10.0.0.1","zone":"z","slots":6,
         "state":"ready"})",
     false},
    {"AddressAsNumber",
     R"({"service":"s","address":5,"zone":"z","slots":6,"state":"ready"})",
     false},
    {"Version",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
         "state":"ready","version":"v1.2"})",
     true},
    {"VersionAsNumber",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
         "state":"ready","version":1.2})",
     false},
    {"VersionNull",
     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
         "state":"ready","version":null})",
     false},
    {"NotAnObject", "[1]", false},
    {"NotJson", "\xff\xfe", false},
    {"Empty", "", false},
};

TEST(DecodeUpstream, RejectsInvalidEntries)
{
    for (const UpstreamCase &row : kUpstreamCases) {
        PDecodedUpstream upstream;
        GError *error = nullptr;
        bool valid = PDecode_Upstream("id", row.text, strlen(row.text),
                                      &upstream, &error);
        EXPECT_EQ(valid, row.valid) << row.name;
        EXPECT_EQ(error == nullptr, row.valid) << row.name;
        if (valid) {
            EXPECT_STREQ(upstream.entry.service, "s");
            PDecode_ClearUpstream(&upstream);
        }
        g_clear_error(&error);
    }
}

TEST(DecodePage, ReadsItemsAndRemovals)
{
    const std::string text =
        R"({"events":[{"key":"a","value":"eHk=","revision":5},
            {"key":"b","revision":6,"deleted":true}],"current-rev":9})";
    PDecodedPage page;
    ASSERT_TRUE(
        PDecode_Page("events", text.data(), text.size(), &page, nullptr));
    EXPECT_EQ(page.revision, 9U);
    ASSERT_EQ(page.items->len, 2U);
    const auto *first = &g_array_index(page.items, PDecodedItem, 0);
    gsize size = 0;
    EXPECT_EQ(std::string(static_cast<const char *>(
                              g_bytes_get_data(first->value, &size)),
                          2),
              "xy");
    EXPECT_EQ(g_array_index(page.items, PDecodedItem, 1).value, nullptr);
    PDecode_ClearPage(&page);
    for (const char *bad :
         {"{}", "[]", R"({"events":[]})", R"({"events":5,"current-rev":1})",
          R"({"events":[{"key":"a"}],"current-rev":1})",
          R"({"events":[{"key":"a","revision":1}],"current-rev":1})"}) {
        EXPECT_FALSE(PDecode_Page("events", bad, strlen(bad), &page, nullptr))
            << bad;
    }
}

class Head {
  public:
    Head(BsHttpKind kind, const std::string &text)
    {
        BsHttpFault fault;
        head = BsHttpHead_Parse(kind, text.data(), text.size(), &fault);
    }
    ~Head()
    {
        BsHttpHead_Destroy(head);
    }
    BsHttpHead *head;
};

TEST(Heads, GatewayHeadersAreStrippedAndSet)
{
    Head head(BS_HTTP_REQUEST,
              "POST /p/x?y HTTP/1.1\r\nHost: a.example\r\n"
              "Request-Id: abc\r\nApi-Key: secret\r\nTenant: forged\r\n"
              "Expect-Instance: forged\r\nKv-Hold: 1\r\nPin-Ms: 5\r\n"
              "Kv-From: 1.2.3.4:5/6\r\nKv-Backup: 1.2.3.4:5\r\n"
              "Kv-Fetch: 1.2.3.4:5\r\nServed-By: forged\r\n"
              "Deadline-Ms: 5000\r\nModel: m\r\nToken-Usage: 10,20\r\n"
              "Connection: keep-alive, X-Gone\r\nX-Gone: 1\r\n"
              "X-Kept: 2\r\nTransfer-Encoding: chunked\r\n\r\n");
    ASSERT_NE(head.head, nullptr);
    BsSendInfo info = {"i-1", "acme", 4200, -1, 3};
    GString *out = g_string_new(nullptr);
    p_heads_wire.write_request(head.head, &info, out);
    EXPECT_STREQ(out->str,
                 "POST /p/x?y HTTP/1.1\r\nHost: a.example\r\n"
                 "Request-Id: abc\r\nModel: m\r\nToken-Usage: 10,20\r\n"
                 "X-Kept: 2\r\nDeadline-Ms: 4200\r\n"
                 "Expect-Instance: i-1\r\nTenant: acme\r\n"
                 "Content-Length: 3\r\n\r\n");
    g_string_free(out, TRUE);
}

TEST(Heads, AResumedStreamReplacesTheCallersEventId)
{
    Head head(BS_HTTP_REQUEST, "GET / HTTP/1.1\r\nHost: a\r\n"
                               "Last-Event-Id: 3\r\n\r\n");
    BsSendInfo info = {"i-1", nullptr, 100, 12, 0};
    GString *out = g_string_new(nullptr);
    p_heads_wire.write_request(head.head, &info, out);
    EXPECT_STREQ(out->str, "GET / HTTP/1.1\r\nHost: a\r\nDeadline-Ms: 100\r\n"
                           "Expect-Instance: i-1\r\nLast-Event-Id: 12\r\n"
                           "\r\n");
    g_string_free(out, TRUE);
}

TEST(Heads, RequestInfoIsReadAndInvalidValuesAreIgnored)
{
    Head head(BS_HTTP_REQUEST,
              "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
              "Token-Usage: 1460,80\r\nDeadline-Ms: 5000\r\n"
              "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n\r\n");
    BsRequestInfo info = {};
    info.parts = g_array_new(FALSE, FALSE, sizeof(BsPromptPart));
    p_heads_wire.read_request(head.head, &info);
    EXPECT_EQ(info.prompt_tokens, 1460U);
    EXPECT_EQ(info.output_tokens, 80U);
    EXPECT_EQ(info.deadline_ms, 5000);
    ASSERT_EQ(info.parts->len, 2U);
    EXPECT_EQ(g_array_index(info.parts, BsPromptPart, 1).hash, 0x91bd3f06U);
    Head junk(BS_HTTP_REQUEST, "GET / HTTP/1.1\r\nHost: a\r\n"
                               "Token-Usage: many\r\nDeadline-Ms: soon\r\n"
                               "Prompt-Prefix: ;;\r\n\r\n");
    BsRequestInfo none = {};
    none.parts = g_array_new(FALSE, FALSE, sizeof(BsPromptPart));
    p_heads_wire.read_request(junk.head, &none);
    EXPECT_FALSE(none.has_tokens);
    EXPECT_EQ(none.deadline_ms, -1);
    EXPECT_EQ(none.parts->len, 0U);
    g_array_unref(info.parts);
    g_array_unref(none.parts);
}

TEST(Heads, OnlyTheSpecifiedAnswersSayNotRun)
{
    const struct {
        const char *text;
        bool refused;
        bool is_signed;
    } rows[] = {
        {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", true, false},
        {"HTTP/1.1 421 X\r\n\r\n", true, false},
        {"HTTP/1.1 503 X\r\n\r\n", false, false},
        {"HTTP/1.1 429 X\r\n\r\n", false, false},
        {"HTTP/1.1 500 X\r\nResponse-Signature: s\r\n\r\n", false, true},
        {"HTTP/1.1 200 X\r\nResponse-Signature: s\r\n\r\n", false, true},
    };
    for (const auto &row : rows) {
        Head head(BS_HTTP_RESPONSE, row.text);
        BsAnswerInfo info;
        p_heads_wire.read_answer(head.head, &info);
        EXPECT_EQ(info.refused, row.refused) << row.text;
        EXPECT_EQ(info.is_signed, row.is_signed) << row.text;
    }
}

// The Retry-After header counts only in an answer of status 503.
TEST(Heads, RequestedPausesAreParsed)
{
    struct Row {
        const char *status;
        const char *headers;
        int64_t requested_pause_ms;
    };
    const Row rows[] = {
        {"503", "Retry-After: 2\r\n", 2000},
        {"503", "Retry-After: 0.25\r\n", 250},
        {"503", "Retry-After: 0\r\n", 0},
        {"503", "Retry-After: -1\r\n", -1},
        {"503", "Retry-After: 1e300\r\n", 2147483647000},
        {"503", "Retry-After: nan\r\n", -1},
        {"503", "Retry-After: soon\r\n", -1},
        {"503", "Retry-After: 1 s\r\n", -1},
        {"503", "Retry-After:\r\n", -1},
        {"503", "Retry-After: 3\r\nRetry-After: 9\r\n", 3000},
        {"503", "", -1},
        {"429", "Retry-After: 2\r\n", -1},
        {"200", "Retry-After: 2\r\n", -1},
    };
    for (const Row &row : rows) {
        Head head(BS_HTTP_RESPONSE, std::string("HTTP/1.1 ") + row.status +
                                        " X\r\n" + row.headers + "\r\n");
        BsAnswerInfo info;
        p_heads_wire.read_answer(head.head, &info);
        EXPECT_EQ(info.requested_pause_ms, row.requested_pause_ms)
            << row.status << row.headers;
    }
}

// Guards against a limit that is taken from something else than one decimal
// number.
TEST(Heads, NamedLimitsAreParsed)
{
    struct Row {
        const char *headers;
        double per_s;
        bool named;
    };
    const Row rows[] = {
        {"Server-Limit: 3\r\n", 3, true},
        {"Server-Limit: 0.25\r\n", 0.25, true},
        {"server-limit: 2.4\r\n", 2.4, true},
        {"Server-Limit: 1000000\r\n", 1000000, true},
        {"Server-Limit: 3\r\nServer-Limit: 3\r\n", 3, true},
        {"Server-Limit: 3\r\nServer-Limit: 9\r\n", 0, true},
        {"Server-Limit: 3, 9\r\n", 0, true},
        {"Server-Limit: 0\r\n", 0, true},
        {"Server-Limit: -1\r\n", 0, true},
        {"Server-Limit: 1e3\r\n", 0, true},
        {"Server-Limit: 0x10\r\n", 0, true},
        {"Server-Limit: 1.2.3\r\n", 0, true},
        {"Server-Limit: nan\r\n", 0, true},
        {"Server-Limit: 1000001\r\n", 0, true},
        {"Server-Limit:\r\n", 0, true},
        {"", 0, false},
    };
    for (const char *status : {"200", "500", "503"}) {
        for (const Row &row : rows) {
            Head head(BS_HTTP_RESPONSE, std::string("HTTP/1.1 ") + status +
                                            " X\r\n" + row.headers + "\r\n");
            BsAnswerInfo info;
            p_heads_wire.read_answer(head.head, &info);
            EXPECT_EQ(info.limit_per_s, row.per_s) << row.headers;
            EXPECT_EQ(info.limit_text != nullptr, row.named) << row.headers;
        }
    }
}

TEST(Heads, LeavingIsSetByTheValueOneOnly)
{
    const std::pair<const char *, bool> rows[] = {
        {"Server-Leaving: 1\r\n", true},
        {"server-leaving:1\r\n", true},
        {"Server-Leaving: 0\r\n", false},
        {"Server-Leaving: yes\r\n", false},
        {"", false},
    };
    for (const auto &row : rows) {
        for (const char *status : {"200", "500", "503"}) {
            Head head(BS_HTTP_RESPONSE, std::string("HTTP/1.1 ") + status +
                                            " X\r\n" + row.first + "\r\n");
            BsAnswerInfo info;
            p_heads_wire.read_answer(head.head, &info);
            EXPECT_EQ(info.leaving, row.second) << status << row.first;
        }
    }
}

} // namespace
