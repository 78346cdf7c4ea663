// Which requests are still sent while an instance stops.
#include <gtest/gtest.h>

extern "C" {
#include "stopadmit.h"
}

namespace {

struct AdmitCase {
    const char *name;
    BsStopAdmit request;
    bool admitted;
};

// Guards against requests that are sent on and cut at the end of the stop, and
// against such that are turned away though there is time for them.
TEST(StopAdmit, ComparesWhatIsNeededWithWhatIsLeft)
{
    const AdmitCase rows[] = {
        {"short, once", {false, false, 4200, 3000, 4000, 30, 90}, true},
        {"too long, once", {false, false, 4200, 2000, 4000, 500, 1700}, false},
        {"just in time, once",
         {false, false, 4200, 2000, 4000, 500, 1600},
         true},
        {"unknown, early", {false, false, 4200, 3000, 9000, 0, 0}, true},
        {"unknown, late", {false, false, 4200, 2700, 9000, 0, 0}, false},
        {"unknown, its timeout is near",
         {false, false, 4200, 3000, 2500, 0, 0},
         true},
        {"unknown, waited before",
         {false, true, 4200, 1000, 4000, 0, 0},
         true},
        {"too long, waited before",
         {false, true, 4200, 2000, 4000, 500, 1700},
         false},
        {"usually short", {true, false, 4200, 2000, 9000, 1500, 8000}, true},
        {"usually long", {true, false, 4200, 2000, 9000, 2500, 8000}, false},
        {"unknown, may be repeated",
         {true, false, 4200, 100, 9000, 0, 0},
         true},
        {"the deadline is near",
         {true, false, 4200, 2000, 1000, 2500, 8000},
         true},
        {"nothing is left", {true, false, 4200, -5, 9000, 0, 0}, false},
    };
    for (const AdmitCase &row : rows) {
        EXPECT_EQ(BsStopAdmit_Admits(&row.request), row.admitted) << row.name;
    }
}

// Guards against one slow answer of long ago that turns requests away in each
// later stop.
TEST(AnswerTimes, TellsTheMedianAndTheLongestOfTheLatest)
{
    BsAnswerTimes *times = BsAnswerTimes_Create();
    EXPECT_EQ(BsAnswerTimes_UsualMs(times, "a"), 0);
    EXPECT_EQ(BsAnswerTimes_LongestMs(times, "a"), 0);
    for (int took_ms : {9000, 10, 30}) {
        BsAnswerTimes_Observe(times, "a", took_ms);
    }
    EXPECT_EQ(BsAnswerTimes_UsualMs(times, "a"), 30);
    EXPECT_EQ(BsAnswerTimes_LongestMs(times, "a"), 9000);
    EXPECT_EQ(BsAnswerTimes_LongestMs(times, "b"), 0);
    for (int i = 0; i < 64; i++) {
        BsAnswerTimes_Observe(times, "a", 20 + i % 2);
    }
    EXPECT_EQ(BsAnswerTimes_LongestMs(times, "a"), 21);
    BsAnswerTimes_Destroy(times);
}

} // namespace
