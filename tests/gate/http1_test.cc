// HTTP/1.1 parser: messages that it must accept and messages that it must
// reject.
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "http1.h"
}

namespace {

struct HeadCase {
    const char *name;
    std::string text;
    bool valid;
};

std::string
Request(const std::string &lines)
{
    return "POST /a/b HTTP/1.1\r\n" + lines + "\r\n";
}

const HeadCase kHeadCases[] = {
    {"Plain", Request("Host: a\r\n"), true},
    {"Length", Request("Host: a\r\nContent-Length: 5\r\n"), true},
    {"Chunks", Request("Host: a\r\nTransfer-Encoding: chunked\r\n"), true},
    {"AbsoluteForm", "GET http://a.b/c HTTP/1.1\r\nHost: a.b\r\n\r\n", true},
    {"TabInValue", Request("Host: a\r\nX: a\tb\r\n"), true},
    // Guards against a body that is read as a request of its own.
    {"Connect", "CONNECT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n",
     false},
    {"ConnectToAuthority", "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n",
     false},
    {"TwoLengths",
     Request("Host: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n"), false},
    {"SameLengthTwice",
     Request("Host: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n"), false},
    {"LengthList", Request("Host: a\r\nContent-Length: 5, 5\r\n"), false},
    {"SignedLength", Request("Host: a\r\nContent-Length: +5\r\n"), false},
    {"NegativeLength", Request("Host: a\r\nContent-Length: -5\r\n"), false},
    {"HexLength", Request("Host: a\r\nContent-Length: 0x5\r\n"), false},
    {"LengthAndChunks",
     Request("Host: a\r\nContent-Length: 5\r\n"
             "Transfer-Encoding: chunked\r\n"),
     false},
    {"TwoCodings",
     Request("Host: a\r\nTransfer-Encoding: chunked\r\n"
             "Transfer-Encoding: chunked\r\n"),
     false},
    {"OtherCoding", Request("Host: a\r\nTransfer-Encoding: gzip, chunked\r\n"),
     false},
    {"SpaceBeforeColon", Request("Host: a\r\nContent-Length : 5\r\n"), false},
    {"SpaceInName", Request("Host: a\r\nX Y: 5\r\n"), false},
    {"EmptyName", Request("Host: a\r\n: 5\r\n"), false},
    {"NoColon", Request("Host: a\r\nnonsense\r\n"), false},
    {"FoldedLine", Request("Host: a\r\nX: a\r\n b\r\n"), false},
    {"FirstLineFolded", Request(" Host: a\r\n"), false},
    {"NulInValue", Request("Host: a\r\nX: a" + std::string(1, '\0') + "b\r\n"),
     false},
    {"CrInValue", Request("Host: a\r\nX: a\rb\r\n"), false},
    {"BareLf", "POST / HTTP/1.1\nHost: a\r\n\r\n", false},
    {"BareLfHeader", Request("Host: a\r\nX: 1\nY: 2\r\n"), false},
    {"NoHost", Request("X: 1\r\n"), false},
    {"TwoHosts", Request("Host: a\r\nHost: b\r\n"), false},
    {"EmptyHost", Request("Host:\r\n"), false},
    {"HostWithPath", Request("Host: a/b\r\n"), false},
    {"HostWithUser", Request("Host: u@a\r\n"), false},
    {"TwoSpaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"SpaceInTarget", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"NoVersion", "GET /\r\nHost: a\r\n\r\n", false},
    {"OtherVersion", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", false},
    {"EmptyFirstLine", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
    {"NotHttp", "hello\r\n\r\n", false},
};

class HeadTest : public testing::TestWithParam<HeadCase> {};

TEST_P(HeadTest, IsReadInOneWayOrRefused)
{
    BsHttpFault fault;
    const std::string &text = GetParam().text;
    BsHttpHead *head =
        BsHttpHead_Parse(BS_HTTP_REQUEST, text.data(), text.size(), &fault);
    EXPECT_EQ(head != nullptr, GetParam().valid);
    EXPECT_EQ(fault, GetParam().valid ? BS_HTTP_OK : BS_HTTP_MALFORMED);
    BsHttpHead_Destroy(head);
}

INSTANTIATE_TEST_SUITE_P(Heads, HeadTest, testing::ValuesIn(kHeadCases),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// What the callbacks of a reader received.
struct Seen {
    std::string body;
    int heads = 0;
};

void
OnHead(const BsHttpHead *, void *context)
{
    static_cast<Seen *>(context)->heads++;
}

void
OnBody(const char *data, size_t size, void *context)
{
    static_cast<Seen *>(context)->body.append(data, size);
}

const BsHttpEvents kEvents = {OnHead, OnBody, nullptr};

class Reader {
  public:
    explicit Reader(BsHttpKind kind, size_t head_max = 8192,
                    uint64_t body_max = 100)
        : reader_(
              BsHttpReader_Create(kind, &kEvents, &seen, head_max, body_max))
    {
    }
    ~Reader()
    {
        BsHttpReader_Destroy(reader_);
    }
    // Feeds TEXT in pieces of SIZE bytes; returns the bytes consumed.
    size_t Feed(const std::string &text, size_t size)
    {
        size_t taken = 0;
        while (taken < text.size()) {
            size_t piece = std::min(size, text.size() - taken);
            size_t got =
                BsHttpReader_Feed(reader_, text.data() + taken, piece);
            taken += got;
            if (got < piece) {
                break;
            }
        }
        return taken;
    }
    BsHttpReader *get()
    {
        return reader_;
    }
    Seen seen;

  private:
    BsHttpReader *reader_;
};

class PieceTest : public testing::TestWithParam<size_t> {};

TEST_P(PieceTest, StopsAtTheEndOfTheMessage)
{
    Reader reader(BS_HTTP_REQUEST);
    std::string first = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4"
                        "\r\n\r\nbody";
    std::string second = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_EQ(reader.Feed(first + second, GetParam()), first.size());
    EXPECT_TRUE(BsHttpReader_IsComplete(reader.get()));
    EXPECT_EQ(reader.seen.body, "body");
    BsHttpReader_Reset(reader.get());
    EXPECT_EQ(reader.Feed(second, GetParam()), second.size());
    EXPECT_TRUE(BsHttpReader_IsComplete(reader.get()));
    EXPECT_EQ(reader.seen.heads, 2);
}

TEST_P(PieceTest, ReadsChunks)
{
    Reader reader(BS_HTTP_RESPONSE);
    reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                GetParam());
    EXPECT_TRUE(BsHttpReader_IsComplete(reader.get()));
    EXPECT_EQ(reader.seen.body, "abcde");
}

TEST_P(PieceTest, SkipsInterimAnswers)
{
    Reader reader(BS_HTTP_RESPONSE);
    reader.Feed("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                GetParam());
    EXPECT_TRUE(BsHttpReader_IsComplete(reader.get()));
    EXPECT_EQ(reader.seen.heads, 1);
}

INSTANTIATE_TEST_SUITE_P(Sizes, PieceTest, testing::Values(1, 2, 7, 10000));

TEST(HttpReader, BodyWithoutLengthEndsWithItsConnection)
{
    Reader reader(BS_HTTP_RESPONSE);
    reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc", 100);
    EXPECT_FALSE(BsHttpReader_IsComplete(reader.get()));
    EXPECT_TRUE(BsHttpReader_Finish(reader.get()));
}

TEST(HttpReader, CutBodyIsNotComplete)
{
    Reader length(BS_HTTP_RESPONSE);
    length.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 100);
    EXPECT_FALSE(BsHttpReader_Finish(length.get()));
    Reader chunks(BS_HTTP_RESPONSE);
    chunks.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n",
                100);
    EXPECT_FALSE(BsHttpReader_Finish(chunks.get()));
    Reader head(BS_HTTP_RESPONSE);
    head.Feed("HTTP/1.1 200 OK\r\nContent-", 100);
    EXPECT_FALSE(BsHttpReader_Finish(head.get()));
}

TEST(HttpReader, BadChunkSizeIsAFault)
{
    for (const char *size : {"x", "-1", "5 5", "FFFFFFFFFFFFFFFFF"}) {
        Reader reader(BS_HTTP_REQUEST);
        reader.Feed("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n" +
                        std::string(size) + "\r\nabcde\r\n0\r\n\r\n",
                    1000);
        EXPECT_EQ(BsHttpReader_Fault(reader.get()), BS_HTTP_MALFORMED) << size;
    }
}

TEST(HttpReader, LimitsAreKept)
{
    Reader head(BS_HTTP_REQUEST, 64);
    head.Feed("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(100, 'x'), 10);
    EXPECT_EQ(BsHttpReader_Fault(head.get()), BS_HTTP_HEAD_TOO_LARGE);
    Reader declared(BS_HTTP_REQUEST);
    declared.Feed("POST / HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 101\r\n\r\n",
                  1000);
    EXPECT_EQ(BsHttpReader_Fault(declared.get()), BS_HTTP_BODY_TOO_LARGE);
    Reader chunks(BS_HTTP_REQUEST);
    chunks.Feed("POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
                    std::string(0x65, 'x') + "\r\n0\r\n\r\n",
                1000);
    EXPECT_EQ(BsHttpReader_Fault(chunks.get()), BS_HTTP_BODY_TOO_LARGE);
}

TEST(HttpHead, RecognisesHopByHopHeaders)
{
    std::string text = Request("Host: a\r\nConnection: close, X-Mine\r\n"
                               "X-Mine: 1\r\nX-Other: 2\r\n");
    BsHttpFault fault;
    BsHttpHead *head =
        BsHttpHead_Parse(BS_HTTP_REQUEST, text.data(), text.size(), &fault);
    ASSERT_NE(head, nullptr);
    EXPECT_TRUE(BsHttpHead_IsHopByHop(head, "x-mine"));
    EXPECT_TRUE(BsHttpHead_IsHopByHop(head, "Keep-Alive"));
    EXPECT_FALSE(BsHttpHead_IsHopByHop(head, "X-Other"));
    EXPECT_FALSE(head->keep_alive);
    BsHttpHead_Destroy(head);
}

// Guards against headers that are forwarded although one of several Connection
// headers lists them, in whatever form, and against empty tokens.
TEST(HttpHead, RecognisesHeadersThatSeveralConnectionHeadersList)
{
    std::string text =
        Request("Host: a\r\nConnection: ,, X-One ;q=1,\tx-two,\r\n"
                "Connection:\r\nCONNECTION: keep-alive,X-THREE\r\n");
    BsHttpFault fault;
    BsHttpHead *head =
        BsHttpHead_Parse(BS_HTTP_REQUEST, text.data(), text.size(), &fault);
    ASSERT_NE(head, nullptr);
    for (const char *name : {"X-One", "X-Two", "x-three"}) {
        EXPECT_TRUE(BsHttpHead_IsHopByHop(head, name)) << name;
    }
    for (const char *name : {"X", "X-", "q=1", "", "Host"}) {
        EXPECT_FALSE(BsHttpHead_IsHopByHop(head, name)) << name;
    }
    BsHttpHead_Destroy(head);
}

TEST(HttpHead, AbsoluteFormNamesTheHost)
{
    std::string text = "GET http://Shop.Example:80/a?b HTTP/1.1\r\n"
                       "Host: other\r\n\r\n";
    BsHttpFault fault;
    BsHttpHead *head =
        BsHttpHead_Parse(BS_HTTP_REQUEST, text.data(), text.size(), &fault);
    ASSERT_NE(head, nullptr);
    EXPECT_STREQ(head->host, "shop.example");
    EXPECT_STREQ(head->target, "/a?b");
    BsHttpHead_Destroy(head);
}

} // namespace
