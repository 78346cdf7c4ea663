// An engine is silent in the middle of a stream: another one takes over, but
// no two engines work on the stream for longer than a moment.
#include "gateway_fixture.h"

#include <atomic>
#include <thread>

namespace {

// Events of upstream NAME from FIRST to the fourth, and the end of the stream.
std::string
RestFrom(const std::string &name, int first)
{
    std::string text;
    for (int id = first; id < 4; id++) {
        text += Chunk("id: " + std::to_string(id) + "\ndata: " + name + " " +
                      std::to_string(id) + "\n\n");
    }
    return text + LastChunk();
}

// The first upstream sends two events of a stream and is silent until
// first_goes_on_ is set; the second one does with it what its argument says.
class EngineSilenceTest : public GatewayTest {
  protected:
    enum class Second { kStarts, kStartsLate, kRefuses };

    void StartEngines(Second second)
    {
        std::string text = Config(2);
        const std::string service = "\"health-path\":\"/h\",";
        text.replace(text.find(service), service.size(),
                     service + "\"engine\":{},");
        Start({[this](Socket &socket, const ReceivedRequest &got) {
                   return AnswerFirst(socket, got);
               },
               [this, second](Socket &socket, const ReceivedRequest &got) {
                   return AnswerSecond(socket, got, second);
               }});
        store_.Put("op/config", text);
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 2"));
        // All requests go to the first upstream until the second is back.
        store_.Remove("servers/" + Name(1));
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
        caller_ = gateway_->Open();
        caller_->Write(Call("/chat/1", "subject", "Connection: close\r\n"));
        ReadUntil(*caller_, "first 1\n\n");
        store_.Put("servers/" + Name(1), Listed("desk", runners_[1]->port()));
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 2"));
    }
    // Lets the second upstream answer another request.
    void LetSecondSpeak()
    {
        int before = runners_[1]->count();
        for (int i = 0; runners_[1]->count() == before; i++) {
            gateway_->Ask(Call("/look/1", "other-" + std::to_string(i)));
        }
    }
    bool AnswerFirst(Socket &socket, const ReceivedRequest &got)
    {
        if (got.id != "subject") {
            return Answers(socket, got);
        }
        std::string rest = RestFrom("first", 0);
        size_t begun = rest.find("first 1\n\n\r\n") + 11;
        socket.Write(StreamHead(got) + rest.substr(0, begun));
        Eventually([&] { return first_goes_on_.load(); });
        socket.Write(rest.substr(begun, rest.size() - begun - 5));
        first_sent_ = true;
        if (!whole_first_) {
            socket.WaitClosed();
            first_closed_ = true;
            return false;
        }
        return socket.Write(LastChunk());
    }
    bool AnswerSecond(Socket &socket, const ReceivedRequest &got,
                      Second second)
    {
        if (got.id != "subject") {
            return Answers(socket, got);
        }
        EXPECT_EQ(got.Header("Last-Event-Id"), "1");
        second_has_it_ = true;
        // It acts once the gateway has what the first one sends.
        Eventually([&] { return first_sent_.load(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (second == Second::kRefuses) {
            return Refuses(socket, got);
        }
        if (second == Second::kStartsLate) {
            Eventually([&] { return first_closed_.load(); });
        }
        return socket.Write(StreamHead(got) + RestFrom("second", 2));
    }
    void TearDown() override
    {
        first_goes_on_ = true;
        gateway_.reset();
        runners_.clear();
    }

    std::atomic<bool> first_goes_on_{false};
    std::atomic<bool> first_sent_{false};
    std::atomic<bool> first_closed_{false};
    std::atomic<bool> second_has_it_{false};
    std::atomic<bool> whole_first_{true}; // else it leaves out the end
    std::unique_ptr<Socket> caller_;
};

// Guards against a stream that goes on at the silent engine while the other
// one is about to start it, so that both work on it.
TEST_F(EngineSilenceTest, TheOtherOneStartsWhileTheSilentOneGoesOn)
{
    StartEngines(Second::kStarts);
    LetSecondSpeak();
    ASSERT_TRUE(Eventually([&] { return second_has_it_.load(); }));
    first_goes_on_ = true;
    std::string rest = caller_->ReadAll();
    EXPECT_NE(rest.find("second 2"), std::string::npos) << rest;
    EXPECT_NE(rest.find("second 3\n\n\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(rest.find("first"), std::string::npos);
}

// Guards against a silent engine that works on for long while the other one
// has the stream, because that one is slow to start.
TEST_F(EngineSilenceTest, TheSilentOneIsCancelledWhereTheOtherHasTheStream)
{
    whole_first_ = false;
    StartEngines(Second::kStartsLate);
    LetSecondSpeak();
    ASSERT_TRUE(Eventually([&] { return second_has_it_.load(); }));
    first_goes_on_ = true;
    std::string rest = caller_->ReadAll();
    EXPECT_TRUE(first_closed_);
    EXPECT_NE(rest.find("second 3\n\n\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(rest.find("first"), std::string::npos) << rest;
}

// Guards against a stream that is cut off because the other engine refuses it.
TEST_F(EngineSilenceTest, TheSilentOneGoesOnWhereTheOtherRefuses)
{
    StartEngines(Second::kRefuses);
    LetSecondSpeak();
    ASSERT_TRUE(Eventually([&] { return second_has_it_.load(); }));
    first_goes_on_ = true;
    std::string rest = caller_->ReadAll();
    EXPECT_NE(rest.find("first 2"), std::string::npos) << rest;
    EXPECT_NE(rest.find("first 3\n\n\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against a second run at an engine that may be silent as well.
TEST_F(EngineSilenceTest, AnEngineThatHasSentNothingMeanwhileIsNotTried)
{
    StartEngines(Second::kStarts);
    std::this_thread::sleep_for(std::chrono::milliseconds(1400));
    first_goes_on_ = true;
    std::string rest = caller_->ReadAll();
    EXPECT_NE(rest.find("first 3\n\n\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(second_has_it_);
}

} // namespace
