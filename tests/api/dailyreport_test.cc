// Daily report: overall result and text computed from metrics texts.
#include <glib.h>

extern "C" {
#include "dailyreport.h"
}

#include <gtest/gtest.h>

namespace {

const char GOOD[] =
    "# TYPE boragespur_answers counter\n"
    "boragespur_answers{tier=\"urgent\",outcome=\"ran\"} 10\n"
    "boragespur_answers{tier=\"routine\",outcome=\"ran\"} 99\n"
    "boragespur_answers{tier=\"routine\",outcome=\"not-run\"} 1\n"
    "boragespur_answers_in_time{tier=\"urgent\"} 10\n"
    "boragespur_answers_in_time{tier=\"routine\"} 99\n"
    "boragespur_double_runs_seen 0\n"
    "boragespur_keys_joined 3\n"
    "boragespur_nonidempotent_answers{outcome=\"ran\"} 7\n"
    "boragespur_tier_rank{tier=\"routine\"} 3\n"
    "boragespur_tier_rank{tier=\"urgent\"} 1\n"
    "boragespur_uptime_s 3720\n";

class Evening : public testing::Test {
  protected:
    ~Evening() override
    {
        BsDailyReport_Destroy(report);
    }

    std::string Text()
    {
        char *text = BsDailyReport_FormatText(report, "4 December");
        std::string result(text);
        g_free(text);
        return result;
    }

    BsDailyReport *report = BsDailyReport_Create(1);
};

TEST_F(Evening, AddsUpInstances)
{
    BsDailyReport_AddMetrics(report, "i1", GOOD);
    BsDailyReport_AddMetrics(report, "i2", GOOD);
    EXPECT_EQ(BsDailyReport_Result(report), BS_DAILY_REPORT_GOOD);
    EXPECT_EQ(
        Text(),
        "4 December\n\nToday\n  Today went well.\n\n"
        "Did answers arrive in time?\n"
        "  urgent: 20 of 20 requests got their answer in time.  Refused "
        "without running: 0.  Left unknown: 0.\n"
        "  routine: 198 of 200 requests got their answer in time.  Refused "
        "without running: 2.  Left unknown: 0.\n\n"
        "Did each booking and charge land once?\n"
        "  14 answers said that it landed.  0 said that it did not run.\n"
        "  6 repeated sendings were answered from the record and not run "
        "again.\n\n"
        "Was anyone charged twice?\n"
        "  No instance saw a booking or charge run twice.\n\n"
        "What is unknown?\n  No booking or charge was left unknown.\n\n"
        "Where this comes from\n"
        "  i1 has counted for 1 h 2 min.\n  i2 has counted for 1 h 2 min.\n"
        "  An instance counts from its last start; what replaced or "
        "restarted instances did before is not on this page.\n");
}

TEST_F(Evening, AnyBadCounterMakesTheDayBad)
{
    struct {
        const char *line;
        BsDailyReportResult verdict;
    } rows[] = {
        {"boragespur_double_runs_seen 1\n", BS_DAILY_REPORT_BAD},
        {"boragespur_nonidempotent_answers{outcome=\"unknown\"} 1\n",
         BS_DAILY_REPORT_BAD},
        {"boragespur_answers{tier=\"urgent\",outcome=\"ran\"} 1\n",
         BS_DAILY_REPORT_BAD},
        {"boragespur_keys_joined 1\n", BS_DAILY_REPORT_GOOD},
    };
    for (const auto &row : rows) {
        BsDailyReport *day = BsDailyReport_Create(1);
        BsDailyReport_AddMetrics(day, "i1", GOOD);
        BsDailyReport_AddMetrics(day, "i2", row.line);
        EXPECT_EQ(BsDailyReport_Result(day), row.verdict) << row.line;
        BsDailyReport_Destroy(day);
    }
}

TEST_F(Evening, NamesWhatIsMissing)
{
    BsDailyReport_AddMetrics(report, "i1", GOOD);
    BsDailyReport_AddMissing(report, "<i2>", "connection refused");
    EXPECT_EQ(BsDailyReport_Result(report), BS_DAILY_REPORT_UNKNOWN);
    EXPECT_NE(Text().find("<i2> could not be asked: connection refused"),
              std::string::npos);
    char *html = BsDailyReport_FormatHtml(report, "4 December");
    EXPECT_NE(strstr(html, "&lt;i2&gt; could not be asked"), nullptr);
    g_free(html);
}

TEST_F(Evening, IsUnknownWithoutADoubleRunCount)
{
    BsDailyReport_AddMetrics(report, "i1", "boragespur_requests 1\n");
    EXPECT_EQ(BsDailyReport_Result(report), BS_DAILY_REPORT_UNKNOWN);
    EXPECT_NE(Text().find("Not known: no instance reported it."),
              std::string::npos);
}

} // namespace
