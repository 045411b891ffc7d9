/// When a host may conclude that all streams of a service began at one software version.

#include <functional>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/VersionHistory.h"

using namespace sequoiagate;

namespace {

const ServiceId S("s");
const SoftwareVersion V1("v1");
const SoftwareVersion V2("v2");
const Instant Start{std::chrono::hours(1)};
constexpr Interval LongestStream = std::chrono::seconds(10);
constexpr Interval Span = VersionHistory::RemovedVersionSpan + LongestStream;

void list(VersionHistory &history, const std::vector<SoftwareVersion> &versions, Instant now)
{
    std::vector<ListedVersion> listed;
    for (const SoftwareVersion &version : versions) {
        listed.push_back({S, version});
    }
    history.setListed(listed, now);
    history.onRead(now);
}

struct HistoryCase
{
    const char *name;
    std::function<void(VersionHistory &)> events; ///< from Start on, with v1 listed
    Interval askedAfter;
    VersionKnowledge knowledge;
    SoftwareVersion version;
};

class History : public testing::TestWithParam<HistoryCase>
{};

const HistoryCase HistoryCases[] = {
        {"OneVersionAllTheTime", [](VersionHistory &history) { history.onRead(Start + Span); },
         Span, VersionKnowledge::Sole, V1},
        // Guards against a host that has just started and can't know which versions were there.
        {"StartedLately", [](VersionHistory &history) { history.onRead(Start + Span / 2); },
         Span / 2, VersionKnowledge::Unknown, V1},
        // Guards against a host that is partitioned from the store and doesn't see a new version.
        {"NotUpToDate", [](VersionHistory &) {}, Span, VersionKnowledge::Unknown, V1},
        // Guards against a host that slept and takes its list for recent, since its steady clock
        // stood still.
        {"Slept",
         [](VersionHistory &history) {
             history.onRead(Start + Span, std::chrono::hours(1));
             history.checkAge(std::chrono::hours(1)
                              + std::chrono::duration_cast<Millis>(VersionHistory::MaxListAge));
         },
         Span, VersionKnowledge::Unknown, V1},
        {"SleptAndReadAgain",
         [](VersionHistory &history) {
             history.onRead(Start + Span, std::chrono::hours(1));
             history.checkAge(std::chrono::hours(2));
             history.onRead(Start + Span, std::chrono::hours(2));
             history.checkAge(std::chrono::hours(2));
         },
         Span, VersionKnowledge::Sole, V1},
        {"TwoVersions",
         [](VersionHistory &history) {
             list(history, {V1, V2}, Start + Span);
         },
         Span, VersionKnowledge::Several, SoftwareVersion()},
        // Guards against a stream that is still open at the version that was just replaced.
        {"ReplacedLately",
         [](VersionHistory &history) {
             list(history, {V2}, Start + Span);
             history.onRead(Start + Span + Span / 2);
         },
         Span + Span / 2, VersionKnowledge::Several, SoftwareVersion()},
        {"ReplacedLongAgo",
         [](VersionHistory &history) {
             list(history, {V1, V2}, Start + Span / 2);
             list(history, {V2}, Start + Span);
             history.onRead(Start + 2 * Span);
         },
         2 * Span, VersionKnowledge::Sole, V2},
        {"CameBackAfterItWasRemoved",
         [](VersionHistory &history) {
             list(history, {V2}, Start + Span);
             list(history, {V1, V2}, Start + 2 * Span);
             history.onRead(Start + 2 * Span);
         },
         2 * Span, VersionKnowledge::Several, SoftwareVersion()},
        // Guards against a version that came and went while the list wasn't read.
        {"MissedChanges",
         [](VersionHistory &history) {
             history.onGap(Start + Span / 2);
             history.onRead(Start + Span);
         },
         Span, VersionKnowledge::Unknown, V1},
        // Guards against streams of the service to which the route led before.
        {"RouteMoved",
         [](VersionHistory &history) {
             history.onRouteMoved(S, Start + Span / 2);
             history.onRead(Start + Span);
         },
         Span, VersionKnowledge::Unknown, SoftwareVersion()},
        {"RouteMovedLongAgo",
         [](VersionHistory &history) {
             history.onRouteMoved(S, Start + Span / 2);
             history.onRead(Start + 2 * Span);
         },
         2 * Span, VersionKnowledge::Sole, V1},
        {"NoEndpoints",
         [](VersionHistory &history) {
             list(history, {}, Start);
             history.onRead(Start + 2 * Span);
         },
         2 * Span, VersionKnowledge::Unknown, SoftwareVersion()},
};

TEST_P(History, TellsWhetherAServiceHadOneVersion)
{
    const HistoryCase &row = GetParam();
    VersionHistory history;
    history.setLongestStream(LongestStream);
    history.onGap(Start);
    list(history, {V1}, Start);
    row.events(history);
    const VersionView view = history.view(S, Start + row.askedAfter);
    EXPECT_EQ(view.knowledge, row.knowledge);
    EXPECT_EQ(view.version, row.version);
    EXPECT_EQ(history.view(ServiceId("other"), Start + row.askedAfter).knowledge,
              VersionKnowledge::Unknown);
}

INSTANTIATE_TEST_SUITE_P(Rows, History, testing::ValuesIn(HistoryCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
