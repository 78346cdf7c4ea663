// Bearer tokens: listed by hash in the sheet, or signed with the secret that
// all instances share.
#include "boragespur.h"

extern "C" {
#include "sheet.h"
#include "token.h"
}

#include <gtest/gtest.h>

namespace {

const char kSheet[] =
    "format: 1\n"
    "tiers: [{name: urgent, rank: 1, deadline_ms: 1000}]\n"
    "accounts: [{name: vans, token_sha256: "
    "[13d5a9c8aeb5d2a8c4b1b5e1a7d1d3a1fa9d5bd7f8cd1b1c1d7a3a1b2c3d4e5f]}]\n"
    "account_classes: [{name: farm, weight: 3}]\n"
    "revoked: [\"farm:eve\"]\n"
    "data_centres: [{name: n1, open: true}]\n";

class Token : public ::testing::Test {
  protected:
    Token()
    {
        GError *error = nullptr;
        sheet_ = BsSheet_Parse(kSheet, sizeof(kSheet) - 1, &error);
        EXPECT_EQ(error, nullptr) << error->message;
    }

    ~Token() override
    {
        BsSheet_Destroy(sheet_);
    }

    std::string Resolve(const std::string &token,
                        const char *secret = "s3cret")
    {
        char *account = BsToken_Resolve(sheet_, secret, token.c_str());
        std::string result = account == nullptr ? "" : account;
        g_free(account);
        return result;
    }

    std::string Sign(const char *account, const char *secret = "s3cret")
    {
        char *token = BsToken_Sign(secret, account, nullptr);
        std::string result = token == nullptr ? "" : token;
        g_free(token);
        return result;
    }

    BsSheet *sheet_;
};

TEST_F(Token, SignedTokenNeedsNoEntryOfItsOwn)
{
    EXPECT_EQ(Resolve(Sign("farm:anna")), "farm:anna");
    EXPECT_EQ(BsSheet_FindAccount(sheet_, "farm:anna")->weight, 3u);
}

TEST_F(Token, EveryChangedByteIsRefused)
{
    std::string token = Sign("farm:anna");
    for (size_t i = 0; i < token.size(); i++) {
        std::string changed = token;
        changed[i] = changed[i] == 'a' ? 'b' : 'a';
        EXPECT_EQ(Resolve(changed), "") << changed;
    }
}

TEST_F(Token, OtherSecretUnknownClassAndRevokedAreRefused)
{
    EXPECT_EQ(Resolve(Sign("farm:anna", "other")), "");
    EXPECT_EQ(Resolve(Sign("shop:anna")), "");
    EXPECT_EQ(Resolve(Sign("farm:eve")), "");
    EXPECT_EQ(Resolve(Sign("farm:anna"), ""), "");
}

TEST_F(Token, NamesThatCannotBeSignedAreRefused)
{
    for (const char *name : {"", "anna", ":anna", "farm:", "a:b:c", "a b:c"}) {
        EXPECT_EQ(Sign(name), "") << name;
    }
}

} // namespace
