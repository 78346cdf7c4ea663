// Trace spans: one for each hop, each a child of the previous hop's span.
#include "boragespur.h"

extern "C" {
#include "core.h"
#include "span.h"
}

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

const char kContext[] =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

struct Spans {
    std::vector<std::string> names;
    std::vector<std::string> parents;
    std::vector<std::string> contexts;
};

void
Keep(const BsMessage *message, void *context)
{
    auto *spans = static_cast<Spans *>(context);
    if (message->kind == BS_SPAN) {
        spans->names.push_back(message->u.span.name);
        spans->parents.push_back(message->u.span.parent);
        spans->contexts.push_back(message->u.span.traceparent);
    }
}

struct timespec
Now(void *)
{
    struct timespec now = {1000, 0};
    return now;
}

class SpanTest : public ::testing::Test {
  protected:
    SpanTest()
    {
        BsCoreConfig config;
        BsClock clock = {Now, nullptr};
        BsCoreConfig_Init(&config);
        config.name = "a";
        config.data_centre = "n1";
        config.region = "north";
        config.incarnation = 1;
        core_ = BsCore_Create(&config, &clock, Keep, &spans_, nullptr);
    }

    ~SpanTest() override
    {
        BsCore_Destroy(core_);
        g_free(request_.traceparent);
    }

    void Hop(const char *name)
    {
        BsSpanScope scope = {};
        BsSpanScope_Begin(&scope, core_, &request_);
        BsSpanScope_End(&scope, core_, name, "r1");
    }

    Spans spans_;
    BsCore *core_;
    BsRequest request_ = {};
};

TEST_F(SpanTest, EachHopIsTheChildOfTheOneBefore)
{
    request_.traceparent = g_strdup(kContext);
    Hop("keeper");
    Hop("owner");
    ASSERT_EQ(spans_.names, (std::vector<std::string>{"keeper", "owner"}));
    EXPECT_EQ(spans_.parents[0], "b7ad6b7169203331");
    EXPECT_EQ(spans_.parents[1], spans_.contexts[0].substr(36, 16));
    EXPECT_EQ(spans_.contexts[1].substr(0, 36),
              "00-0af7651916cd43dd8448eb211c80319c-");
    EXPECT_EQ(request_.traceparent, spans_.contexts[1]);
}

TEST_F(SpanTest, UnsampledAndMalformedContextsGetNone)
{
    for (const char *context :
         {"", "junk",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"}) {
        BsMessage_SetString(&request_.traceparent, context);
        Hop("owner");
        EXPECT_STREQ(request_.traceparent, context);
    }
    EXPECT_TRUE(spans_.names.empty());
}

} // namespace
