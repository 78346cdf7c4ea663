// Wire format of peer messages: round trips, truncation and corrupted bytes.
#include "boragespur.h"
extern "C" {
#include "schema.h"
}

#include <gtest/gtest.h>

namespace {

std::string
Format(const BsMessage *message)
{
    char *text = BsMessage_Format(message);
    std::string result(text);
    g_free(text);
    return result;
}

BsMessage *
CreateForward()
{
    BsMessage *message = BsMessage_Create(BS_FORWARD);
    message->from = g_strdup("a");
    message->from_incarnation = 7;
    message->to_incarnation = 9;
    message->u.request.request_id = g_strdup("a-1");
    message->u.request.token = g_strdup("secret");
    message->u.request.body = g_bytes_new("{}", 2);
    message->u.request.deadline_ms = -5;
    message->u.request.idempotent = true;
    return message;
}

BsMessage *
Recode(const BsMessage *message)
{
    GBytes *bytes = BsMessage_Encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    BsMessage *decoded = BsMessage_Decode(data, size, nullptr);
    g_bytes_unref(bytes);
    return decoded;
}

TEST(Codec, KeepsFieldsButNeverTheToken)
{
    BsMessage *message = CreateForward();
    BsMessage *decoded = Recode(message);
    ASSERT_NE(decoded, nullptr);
    EXPECT_EQ(Format(decoded), "forward from=a request_id=a-1 body={} "
                               "deadline_ms=-5 idempotent");
    EXPECT_EQ(decoded->to_incarnation, 9u);
    BsMessage_Destroy(decoded);
    BsMessage_Destroy(message);
}

TEST(Codec, KeepsLists)
{
    BsMessage *message = BsMessage_Create(BS_DIGEST);
    message->from = g_strdup("a");
    message->u.digest.loads = BsSchema_NewList(&bs_schema_load);
    BsLoad *load = g_new0(BsLoad, 1);
    load->serves = g_strdup("m");
    load->free_tokens = 12;
    g_ptr_array_add(message->u.digest.loads, load);
    BsMessage *decoded = Recode(message);
    ASSERT_NE(decoded, nullptr);
    EXPECT_EQ(Format(decoded),
              "digest from=a loads=[{serves=m free_tokens=12}]");
    BsMessage_Destroy(decoded);
    BsMessage_Destroy(message);
}

TEST(Codec, RejectsEveryTruncationAndSurvivesByteChanges)
{
    BsMessage *message = CreateForward();
    GBytes *bytes = BsMessage_Encode(message);
    gsize size;
    const char *data =
        static_cast<const char *>(g_bytes_get_data(bytes, &size));
    for (gsize length = 0; length < size; length++) {
        GError *error = nullptr;
        EXPECT_EQ(BsMessage_Decode(data, length, &error), nullptr);
        ASSERT_NE(error, nullptr);
        EXPECT_EQ(error->code, BS_ERR_MESSAGE);
        g_error_free(error);
    }
    for (gsize i = 0; i < size; i++) {
        std::string changed(data, size);
        changed[i] = static_cast<char>(changed[i] ^ 0x55);
        BsMessage_Destroy(
            BsMessage_Decode(changed.data(), changed.size(), nullptr));
    }
    g_bytes_unref(bytes);
    BsMessage_Destroy(message);
}

} // namespace
