// Upstreams that send a status that is none, or an interim one as the last.
#include "gateway_fixture.h"

namespace {

struct StatusCase {
    const char *name;
    const char *line;
};

const StatusCase kInvalid[] = {
    {"Zero", "HTTP/1.1 000 X"},
    {"One", "HTTP/1.1 001 X"},
    {"BelowTheLowest", "HTTP/1.1 099 X"},
    {"AboveTheHighest", "HTTP/1.1 600 X"},
    {"Highest", "HTTP/1.1 999 X"},
    {"TwoDigits", "HTTP/1.1 20 X"},
    {"TwoDigitsOnly", "HTTP/1.1 20"},
    {"FourDigits", "HTTP/1.1 2000 X"},
    {"LeadingZero", "HTTP/1.1 0200 X"},
    {"Signed", "HTTP/1.1 +20 X"},
    {"Negative", "HTTP/1.1 -20 X"},
    {"Letters", "HTTP/1.1 2OO X"},
    {"None", "HTTP/1.1 "},
    {"TwoSpaces", "HTTP/1.1  200 X"},
    {"Continue", "HTTP/1.1 100 X"},
    {"SwitchingProtocols", "HTTP/1.1 101 X"},
    {"EarlyHints", "HTTP/1.1 103 X"},
    {"HighestInterim", "HTTP/1.1 199 X"},
    {"ContinueOfAnOldVersion", "HTTP/1.0 100 X"},
};

class StatusTest : public GatewayTest {
  protected:
    static std::string Rest(const ReceivedRequest &got)
    {
        return "\r\nRequest-Id: " + got.id + "\r\nResponse-Signature: sig-" +
               got.id + "\r\nContent-Length: 4\r\n\r\nbody";
    }
};

class InvalidStatusTest : public StatusTest,
                          public testing::WithParamInterface<StatusCase> {};

// Guards against a status that is none and reaches its caller, as an answer or
// as one of another status.
TEST_P(InvalidStatusTest, IsNoAnswer)
{
    Start(std::vector<Runner::Script>(
        8, [](Socket &socket, const ReceivedRequest &got) {
            socket.Write(GetParam().line + Rest(got));
            return false;
        }));
    for (const char *path : {"/book/1", "/look/1", "/once/1"}) {
        std::string answer =
            gateway_->Ask(Call(path, std::string(path + 1, 4)));
        EXPECT_EQ(StatusOf(answer), 502) << path << "\n" << answer;
    }
}

// Guards against an answer with such a status that is skipped like an interim
// one, so that the one after it is taken for the answer.
class SkippedStatusTest : public InvalidStatusTest {};

TEST_P(SkippedStatusTest, IsNotSkipped)
{
    Start({[](Socket &socket, const ReceivedRequest &got) {
        socket.Write(std::string(GetParam().line) + "\r\n\r\n" +
                     SignedAnswer(got, "late"));
        return false;
    }});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "a"))), 502);
}

const StatusCase kLow[] = {
    {"Zero", "HTTP/1.1 000 X"},
    {"BelowTheLowest", "HTTP/1.1 099 X"},
};

INSTANTIATE_TEST_SUITE_P(Lines, InvalidStatusTest, testing::ValuesIn(kInvalid),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

INSTANTIATE_TEST_SUITE_P(Lines, SkippedStatusTest, testing::ValuesIn(kLow),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

class InterimStatusTest : public StatusTest,
                          public testing::WithParamInterface<StatusCase> {};

const StatusCase kInterim[] = {
    {"Continue", "HTTP/1.1 100 Continue"},
    {"Processing", "HTTP/1.1 102 X"},
    {"EarlyHints", "HTTP/1.1 103 Early Hints\r\nLink: x"},
    {"Several", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X"},
    {"HighestInterim", "HTTP/1.1 199 X"},
};

// Guards against an interim status that hides the final one.
TEST_P(InterimStatusTest, IsFollowedByTheFinalOne)
{
    Start({[](Socket &socket, const ReceivedRequest &got) {
        return socket.Write(std::string(GetParam().line) + "\r\n\r\n" +
                            SignedAnswer(got, "body of " + got.id));
    }});
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", "a")), "a"));
}

INSTANTIATE_TEST_SUITE_P(Lines, InterimStatusTest, testing::ValuesIn(kInterim),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// Guards against a valid status that is rejected.
TEST_F(StatusTest, TheBoundsAreAccepted)
{
    Start(std::vector<Runner::Script>(
        4, [](Socket &socket, const ReceivedRequest &got) {
            return socket.Write(
                SignedAnswer(got, "x", got.id == "low" ? 200 : 599));
        }));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "low"))), 200);
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "high"))), 599);
}

} // namespace
