// A gateway's settings: invalid files are rejected with one line that names
// the setting and the allowed values.
#include "harness.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace {

const char kGood[] = "name: gw\n"
                     "data_centre: z1\n"
                     "region: north\n"
                     "data_centres:\n"
                     "  - { name: z1, region: north }\n"
                     "callers: \"127.0.0.1:1\"\n"
                     "ready: \"127.0.0.1:2\"\n"
                     "admin: \"127.0.0.1:3\"\n"
                     "peers: \"127.0.0.1:4\"\n"
                     "seeds:\n"
                     "  - \"127.0.0.1:5\"\n"
                     "store: \"127.0.0.1:6\"\n"
                     "machine: { memory_mb: 110, descriptors: 4100 }\n"
                     "bounds:\n"
                     "  drain_ms: 2500\n"
                     "  grace_s: 8\n"
                     "  retry_ratio: 0.2\n"
                     "  retry_slack: 58\n"
                     "  retry_window_s: 10\n"
                     "  quota_over: 0.25\n"
                     "  quota_slack: 110000\n";

struct SettingsCase {
    const char *name;
    const char *from; // replaced in kGood
    const char *to;
    const char *error; // part of the message; "" when the file is valid
};

const SettingsCase kCases[] = {
    {"Good", "", "", ""},
    {"UnknownKeyIsIgnored", "name: gw\n", "name: gw\nshape: round\n", ""},
    {"NoSeeds", "seeds:\n  - \"127.0.0.1:5\"\n", "", ""},
    {"EmptySeeds", "seeds:\n  - \"127.0.0.1:5\"\n", "seeds: [ ]\n", ""},
    {"MissingName", "name: gw\n", "", "name"},
    {"MissingStore", "store: \"127.0.0.1:6\"\n", "", "store"},
    {"BadAddress", "127.0.0.1:1\"", "somewhere\"", "callers"},
    {"BadPort", "127.0.0.1:2\"", "127.0.0.1:99999\"", "ready"},
    {"BadSeed", "127.0.0.1:5", "seed", "seeds"},
    {"UnknownDataCentre", "data_centre: z1", "data_centre: z9", "data_centre"},
    {"OtherRegion", "region: north\ndata", "region: south\ndata", "region"},
    {"TextForNumber", "grace_s: 8", "grace_s: long", "bounds.grace_s"},
    {"NoGrace", "grace_s: 8", "grace_s: 0", "bounds.grace_s"},
    {"LargeRatio", "retry_ratio: 0.2", "retry_ratio: 7", "bounds.retry_ratio"},
    {"LittleMemory", "memory_mb: 110", "memory_mb: 1", "machine.memory_mb"},
    {"Ejection", "bounds:\n", "ejection: { probe_per_s: 0.5 }\nbounds:\n", ""},
    {"LargeProbeRate", "bounds:\n",
     "ejection: { probe_per_s: 101 }\nbounds:\n", "ejection.probe_per_s"},
    {"NegativeProbeRate", "bounds:\n",
     "ejection: { probe_per_s: -1 }\nbounds:\n", "ejection.probe_per_s"},
    {"InboundLimits", "bounds:\n",
     "inbound: { memory_percent: 60, reserved_descriptors: 16, unsent_kib: "
     "65536 }\nbounds:\n",
     ""},
    {"OneInboundLimit", "bounds:\n",
     "inbound: { memory_percent: 1 }\nbounds:\n", ""},
    {"NoInboundMemory", "bounds:\n",
     "inbound: { memory_percent: 0 }\nbounds:\n",
     "inbound.memory_percent: '0' is not valid; allowed: a whole number from "
     "1 to 60"},
    {"LargeInboundMemory", "bounds:\n",
     "inbound: { memory_percent: 61 }\nbounds:\n",
     "inbound.memory_percent: '61'"},
    {"FewReservedDescriptors", "bounds:\n",
     "inbound: { reserved_descriptors: 15 }\nbounds:\n",
     "inbound.reserved_descriptors: '15'"},
    {"ManyReservedDescriptors", "bounds:\n",
     "inbound: { reserved_descriptors: 1000001 }\nbounds:\n",
     "inbound.reserved_descriptors: '1000001'"},
    {"NoUnsentBytes", "bounds:\n", "inbound: { unsent_kib: 0 }\nbounds:\n",
     "inbound.unsent_kib: '0'"},
    {"ManyUnsentBytes", "bounds:\n",
     "inbound: { unsent_kib: 65537 }\nbounds:\n",
     "inbound.unsent_kib: '65537'"},
    {"TextForInboundLimit", "bounds:\n",
     "inbound: { unsent_kib: many }\nbounds:\n", "inbound.unsent_kib"},
    {"MissingBound", "  drain_ms: 2500\n", "", "drain_ms"},
    {"EarlyRepeats", "name: gw\n",
     "name: gw\nearly_repeats:\n  percent: 20\n  occupancy_percent: 100\n"
     "  percentile: 99\n",
     ""},
    {"EarlyRepeatsOff", "name: gw\n",
     "name: gw\nearly_repeats: { percent: 0 }\n", ""},
    {"ManyEarlyRepeats", "name: gw\n",
     "name: gw\nearly_repeats: { percent: 21 }\n",
     "early_repeats.percent: '21' is not valid; allowed: a whole number from "
     "0 to 20;"},
    {"NegativeEarlyRepeats", "name: gw\n",
     "name: gw\nearly_repeats: { percent: -1 }\n", "early_repeats.percent"},
    {"TextForEarlyRepeats", "name: gw\n",
     "name: gw\nearly_repeats: { percent: few }\n",
     "early_repeats.percent: near line 2: Invalid uint64_t value: 'few'; "
     "allowed: a whole number from 0 to 20;"},
    {"EarlyRepeatsWithoutFreeSlots", "name: gw\n",
     "name: gw\nearly_repeats: { occupancy_percent: 101 }\n",
     "early_repeats.occupancy_percent: '101' is not valid; allowed: a whole "
     "number from 1 to 100;"},
    {"EarlyRepeatsWithoutASlot", "name: gw\n",
     "name: gw\nearly_repeats: { occupancy_percent: 0 }\n",
     "early_repeats.occupancy_percent: '0' is not valid"},
    {"EarlyRepeatsOfMost", "name: gw\n",
     "name: gw\nearly_repeats: { percentile: 49 }\n",
     "early_repeats.percentile: '49' is not valid; allowed: a whole number "
     "from 50 to 99;"},
    {"UrgentPart", "name: gw\n",
     "name: gw\naccount_order: { urgent_percent: 25 }\n", ""},
    {"LargeUrgentPart", "name: gw\n",
     "name: gw\naccount_order: { urgent_percent: 26 }\n",
     "account_order.urgent_percent: '26' is not valid; allowed: a whole "
     "number "
     "from "
     "0 to 25;"},
    {"Spill", "name: gw\n",
     "name: gw\nspill: { gain_ms: 10000, pause_min_ms: 60000 }\n", ""},
    {"SpillOff", "name: gw\n", "name: gw\nspill: { gain_ms: 0 }\n", ""},
    {"SpillForMuchGain", "name: gw\n", "name: gw\nspill: { gain_ms: 10001 }\n",
     "spill.gain_ms: '10001' is not valid; allowed: a whole number from 0 to "
     "10000;"},
    {"SpillOfAnyPause", "name: gw\n",
     "name: gw\nspill: { gain_ms: 60, pause_min_ms: 0 }\n",
     "spill.pause_min_ms: '0' is not valid; allowed: a whole number from 1 to "
     "60000;"},
    {"TextForSpill", "name: gw\n", "name: gw\nspill: { gain_ms: few }\n",
     "spill.gain_ms"},
};

class GateSettings : public testing::TestWithParam<SettingsCase> {};

TEST_P(GateSettings, AreCheckedWithARemedy)
{
    const SettingsCase &row = GetParam();
    std::string text(kGood);
    std::string from(row.from);
    if (!from.empty()) {
        ASSERT_NE(text.find(from), std::string::npos);
        text.replace(text.find(from), from.size(), row.to);
    }
    char path[] = "/tmp/gate-settings-XXXXXX";
    close(mkstemp(path));
    std::ofstream(path) << text;
    std::string output;
    int code = RunProgram({BORAGESPUR, "check", path}, &output);
    unlink(path);
    bool valid = std::string(row.error).empty();
    EXPECT_EQ(code, valid ? 0 : 2) << output;
    EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << output;
    EXPECT_NE(output.find(valid ? "valid gateway settings" : row.error),
              std::string::npos)
        << output;
    if (!valid) {
        EXPECT_NE(output.find("allowed: "), std::string::npos) << output;
    }
}

INSTANTIATE_TEST_SUITE_P(Files, GateSettings, testing::ValuesIn(kCases),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

} // namespace
