// Declared sizes are checked against the input before anything is allocated.
#include "boragespur.h"
extern "C" {
#include "codecguard.h"
}

#include <gtest/gtest.h>

namespace {

bool
IsBounded(const std::string &bytes)
{
    return BsCodecGuard_IsBounded(bytes.data(), bytes.size());
}

TEST(CodecGuard, AcceptsEncodedMessages)
{
    BsMessage *message = BsMessage_Create(BS_FORWARD);
    message->u.request.request_id = g_strdup("a-1");
    std::string body(70000, 'x');
    message->u.request.body = g_bytes_new(body.data(), body.size());
    message->u.request.deadline_ms = -70000;
    GBytes *bytes = BsMessage_Encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    EXPECT_TRUE(BsCodecGuard_IsBounded(data, size));
    EXPECT_FALSE(BsCodecGuard_IsBounded(data, size - 1));
    g_bytes_unref(bytes);
    BsMessage_Destroy(message);
}

TEST(CodecGuard, RejectsDeclaredSizesBeyondTheInput)
{
    EXPECT_FALSE(IsBounded(""));
    EXPECT_FALSE(IsBounded("\xdd\xff\xff\xff\xff"));
    EXPECT_FALSE(IsBounded("\xdf\xff\xff\xff\xff"));
    EXPECT_FALSE(IsBounded("\xdb\xff\xff\xff\xff"));
    EXPECT_FALSE(IsBounded("\x92\x92\x01"));
    EXPECT_FALSE(IsBounded("\x01\x01"));
    EXPECT_TRUE(IsBounded("\x92\x01\xa1x"));
    EXPECT_EQ(BsMessage_Decode("\xdd\xff\xff\xff\xff", 5, nullptr), nullptr);
}

} // namespace
