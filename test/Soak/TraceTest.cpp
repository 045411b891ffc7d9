/// What is kept of a failed soak tells when each step was played, when the test itself stood still,
/// and where the cut request ran.

#include <gtest/gtest.h>

#include "Trace.h"
#include "test/Support/Process.h"

using namespace sequoiagate;
using namespace sequoiagate::soak;

namespace {

constexpr Instant Start{std::chrono::hours(1)};

Instant at(int millis)
{
    return Start + std::chrono::milliseconds(millis);
}

TEST(Trace, TellsStepsHoldUpsAndCutRequestsByTime)
{
    Record record;
    record.played = {{"stop", true, 2, at(0), at(1)},
                     {"held up", true, PlayedStep::TestItself, at(500), at(3600)}};
    Attempt cut;
    cut.id = "c1-7";
    cut.route = "chat";
    cut.sentTo = {3, 1};
    cut.sentAt = at(400);
    cut.endedAt = at(3500);
    cut.events = 5;
    cut.error = "Read";
    record.add(cut);
    record.add(soak::Run{"c1-7", "w", "e2-0", 6, false});
    EXPECT_EQ(timelineOf(record), "     0 2 stop begins, done in 1 ms\n"
                                  "   400 c1-7 chat to host 3.1: 0 after 3100 ms, 5 events, Read "
                                  "[e2-0: 6 events]\n"
                                  "   500 test held up begins, done in 3100 ms\n");
}

TEST(Trace, TakesTheLogLinesOfTheRequestsThatAFindingNames)
{
    const ScratchFolder folder;
    folder.write("h0-0.log", R"({"event":"request.ended","request":"c1-7"})"
                             "\n"
                             R"({"event":"request.ended","request":"c1-71"})"
                             "\nnot JSON\n");
    EXPECT_EQ(logLinesOf({"nothing is cut off: c1-7 (chat) ran"}, folder.path("")),
              "h0-0.log: {\"event\":\"request.ended\",\"request\":\"c1-7\"}\n");
}

} // namespace
