// Each kind of mistake in a settings file is reported with one line of output
// and exit code 2.
#include "harness.h"
extern "C" {
#include "settings_keys.h"
}

#include <algorithm>
#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace {

const char kGood[] = "name: i\n"
                     "data_centre: d\n"
                     "region: r\n"
                     "callers: 127.0.0.1:1001\n"
                     "admin: 127.0.0.1:1002\n"
                     "peers: 127.0.0.1:1003\n"
                     "platform: [http://127.0.0.1:1]\n"
                     "secret: 0123456789abcdef\n";

struct SettingsCase {
    const char *remove; // line to remove from the valid settings, or ""
    const char *add;
    const char *key;
    const char *allowed; // substring of the reported line
};

const SettingsCase kCases[] = {
    {"", "bogus: 1\n", "bogus", "allowed here: name, data_centre"},
    {"", "limits: {bogus: 1}\n", "limits.bogus", "header_bytes"},
    {"", "limits: {records: 1, bogus: 1}\n", "limits.bogus", "header_bytes"},
    {"name: i\n", "", "name", "1 to 63"},
    {"", "name: j\n", "name", "already"},
    {"name: i\n", "name: \"a b\"\n", "name", "letters"},
    {"", "lease_ms: soon\n", "lease_ms", "100 to 60000"},
    {"", "lease_ms: -1\n", "lease_ms", "100 to 60000"},
    {"", "lease_ms: 1\n", "lease_ms", "100 to 60000"},
    {"", "lease_ms: [1]\n", "lease_ms", "100 to 60000"},
    {"", "limits: {body_bytes: 99999999999}\n", "limits.body_bytes", "1024"},
    {"", "limits: 5\n", "limits", "queue_bytes"},
    {"", "insecure: maybe\n", "insecure", "true or false"},
    {"", "policy: best\n", "policy", "affinity"},
    {"", "tls: {certificate: none}\n", "tls.key", "PEM"},
    {"", "tls: {certificate: none, key: none}\n", "tls.certificate", "PEM"},
    {"", "curve: {public: x, secret: y}\n", "curve.public", "Z85"},
    {"", "tracing: {url: ftp://x}\n", "tracing.url", "http://"},
    {"peers: 127.0.0.1:1003\n", "peers: 0.0.0.0:1003\n", "peers", "loopback"},
    {"peers: 127.0.0.1:1003\n", "peers: here\n", "peers", "IP:port"},
    {"platform: [http://127.0.0.1:1]\n", "platform: []\n", "platform", "1 to"},
    {"secret: 0123456789abcdef\n", "", "secret", "16 to 1024"},
    {"secret: 0123456789abcdef\n", "secret_file: /nowhere\n", "secret_file",
     "readable"},
    {"secret: 0123456789abcdef\n", "secret: short\n", "secret", "16 to 1024"},
    {"", "\t- : {\n", "", "allowed"},
};

class SettingsFile : public testing::Test {
  protected:
    void SetUp() override
    {
        char path[] = "/tmp/boragespur-settings-XXXXXX";
        close(mkstemp(path));
        path_ = path;
    }
    void TearDown() override
    {
        unlink(path_.c_str());
    }
    int Check(const std::string &text, std::string *output)
    {
        std::ofstream(path_, std::ios::trunc) << text;
        return RunProgram({BORAGESPUR, "check", path_}, output);
    }
    std::string path_;
};

TEST_F(SettingsFile, GoodOneIsAccepted)
{
    std::string output;
    EXPECT_EQ(Check(kGood, &output), 0) << output;
    EXPECT_EQ(Check(std::string(kGood) + "insecure: true\n", &output), 0);
}

TEST_F(SettingsFile, MistakesNameFileKeyAndAllowedValues)
{
    for (const SettingsCase &mistake : kCases) {
        SCOPED_TRACE(std::string(mistake.remove) + mistake.add);
        std::string text(kGood);
        std::string output;
        text.erase(text.find(mistake.remove), strlen(mistake.remove));
        EXPECT_EQ(Check(text + mistake.add, &output), 2);
        EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1);
        EXPECT_NE(output.find(path_ + ": " + mistake.key), std::string::npos)
            << output;
        EXPECT_NE(output.find(mistake.allowed), std::string::npos) << output;
    }
}

TEST_F(SettingsFile, ExamplesAreValidAndNameEveryKey)
{
    std::string output;
    std::string file(EXAMPLES "/settings.yaml");
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    EXPECT_EQ(RunProgram({BORAGESPUR, "check", file}, &output), 0) << output;
    for (size_t i = 0; i < bs_settings_keys.count; i++) {
        std::string key(bs_settings_keys.rows[i].key);
        key = key.substr(key.find('.') + 1) + ":";
        EXPECT_NE(text.str().find(key), std::string::npos) << key;
    }
    EXPECT_EQ(
        RunProgram({BORAGESPUR, "check", EXAMPLES "/sheet.yaml"}, &output), 0)
        << output;
}

TEST_F(SettingsFile, MissingAndEmptyFilesAreNamed)
{
    std::string output;
    EXPECT_EQ(Check("", &output), 2);
    EXPECT_NE(output.find("empty"), std::string::npos) << output;
    EXPECT_EQ(RunProgram({BORAGESPURD, "/nowhere.yaml"}, &output), 2);
    EXPECT_NE(output.find("/nowhere.yaml: no such file"), std::string::npos);
}

} // namespace
