// Only "true" and "false" are booleans in a sheet; an empty sheet is rejected.
#include "boragespur.h"
extern "C" {
#include "sheet.h"
}

#include <gtest/gtest.h>
#include <string>

namespace {

std::string
Sheet(const std::string &open, const std::string &idempotent)
{
    return "format: 1\n"
           "tiers: [{name: t, rank: 1, deadline_ms: 1000}]\n"
           "services: [{name: s, tier: t, routes: [{method: GET, prefix: /, "
           "idempotent: " +
           idempotent +
           "}]}]\n"
           "accounts: [{name: a, token_sha256: [" +
           std::string(64, 'a') +
           "]}]\n"
           "data_centres: [{name: d, open: " +
           open + "}]\n";
}

// Parses TEXT and returns the error message, "" when TEXT is accepted.
std::string
Refusal(const std::string &text)
{
    GError *error = nullptr;
    BsSheet *sheet = BsSheet_Parse(text.data(), text.size(), &error);
    bool accepted = sheet != nullptr;
    BsSheet_Destroy(sheet);
    std::string result;
    if (error != nullptr) {
        result = error->message;
        g_error_free(error);
    }
    EXPECT_EQ(accepted, result.empty());
    return result;
}

TEST(SheetWords, OnlyTrueAndFalseAreBooleans)
{
    EXPECT_EQ(Refusal(Sheet("true", "false")), "");
    EXPECT_EQ(Refusal(Sheet("false", "true")), "");
    EXPECT_NE(Refusal(Sheet("flase", "true")).find("flase"),
              std::string::npos);
    EXPECT_NE(Refusal(Sheet("true", "flase")).find("flase"),
              std::string::npos);
}

TEST(SheetWords, EmptySheetIsRefused)
{
    EXPECT_NE(Refusal(""), "");
    EXPECT_NE(Refusal("\n# nothing\n"), "");
}

} // namespace
