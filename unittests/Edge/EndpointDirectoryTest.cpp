/// Which endpoints are used, as entries come, change, lapse and go.

#include <gtest/gtest.h>

#include "sequoiagate/Edge/EndpointDirectory.h"

using namespace sequoiagate;

namespace {

EndpointEntry entry(const std::string &id, bool draining = false, uint64_t startedAt = 1)
{
    EndpointEntry made;
    made.id = EndpointId(id);
    made.service = ServiceId("s");
    made.domain = DomainId("d");
    made.address = "127.0.0.1:9";
    made.slots = 4;
    made.draining = draining;
    made.startedAtMillis = startedAt;
    return made;
}

class Directory : public testing::Test
{
protected:
    Directory()
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file_),
          directory_(DomainId("d"), {}, log_)
    {
        directory_.setStoreReachable(true, now_);
        now_ += std::chrono::minutes(1);
    }
    ~Directory() override { std::fclose(file_); }

    /// The endpoint that a request is sent to; empty if it is refused.
    std::string placed(const std::vector<EndpointId> &tried = {})
    {
        directory_.publish(now_);
        WorkItem item;
        item.request = RequestId("r");
        item.service = ServiceId("s");
        item.arrivedAt = now_;
        item.deadline = now_ + std::chrono::seconds(1);
        const PlacementResult placing = directory_.place(item, {}, tried, now_);
        const auto *found = std::get_if<PlacementTarget>(&placing);
        return found == nullptr ? std::string() : found->endpoint.text();
    }

    /// All lines that were logged.
    std::string logged()
    {
        std::string text;
        std::rewind(file_);
        for (int c = std::fgetc(file_); c != EOF; c = std::fgetc(file_)) {
            text += static_cast<char>(c);
        }
        return text;
    }

    Instant now_{std::chrono::hours(1)};
    std::FILE *file_;
    EventLog log_;
    EndpointDirectory directory_;
};

TEST_F(Directory, LeavingEndpointGetsNothingNew)
{
    directory_.update(entry("a"), now_);
    EXPECT_EQ(placed(), "a");
    directory_.update(entry("a", true), now_);
    EXPECT_EQ(placed(), "");
}

TEST_F(Directory, RemovedEndpointGetsNothingNew)
{
    directory_.update(entry("a"), now_);
    directory_.remove(EndpointId("a"), Delisting::Removed, now_);
    EXPECT_EQ(placed(), "");
}

// Every request is refused though all endpoints live: the store was away, their entries
// lapsed meanwhile, and on its return they are listed as gone until they write again.
TEST_F(Directory, EntryThatLapsedWithTheStoreAwayStaysInUseUntilItIsDueBack)
{
    directory_.update(entry("a"), now_);
    directory_.setStoreReachable(false, now_);
    now_ += std::chrono::seconds(5);
    directory_.setStoreReachable(true, now_);
    directory_.keepOnly({}, now_);
    EXPECT_EQ(placed(), "a");
    now_ += std::chrono::seconds(1);
    directory_.update(entry("a"), now_);
    now_ += std::chrono::seconds(10);
    directory_.tick(now_);
    EXPECT_EQ(placed(), "a");
}

// A leaving endpoint gets new work for good: it left while the store was away, and its
// missing entry is taken for a lapsed one.
TEST_F(Directory, EntryThatIsStillMissingAfterThatIsGone)
{
    directory_.update(entry("a"), now_);
    directory_.setStoreReachable(false, now_);
    now_ += std::chrono::seconds(5);
    directory_.setStoreReachable(true, now_);
    directory_.keepOnly({}, now_);
    now_ += EndpointDirectory::LapseGrace;
    directory_.tick(now_);
    EXPECT_EQ(placed(), "");
}

TEST_F(Directory, UnreachableOneIsLeftOutForAWhile)
{
    directory_.update(entry("a"), now_);
    directory_.update(entry("b"), now_);
    directory_.onStaleEndpoint(EndpointId("a"), now_);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(placed(), "b");
    }
    // Where nothing else is left it is tried all the same.
    EXPECT_EQ(placed({EndpointId("b")}), "a");
}

TEST_F(Directory, RestartedOneIsUsedAtOnce)
{
    directory_.update(entry("a"), now_);
    directory_.update(entry("b"), now_);
    directory_.onStaleEndpoint(EndpointId("a"), now_);
    directory_.update(entry("a", false, 2), now_);
    EXPECT_EQ(placed({EndpointId("b")}), "a");
}

// Callers of a configured route are told that it doesn't exist (404), and don't come back: the
// last endpoint of its service left the list, and the next one has yet to enter it. That is
// "not now, come back", as for endpoints that are listed and can't be used.
TEST_F(Directory, ServiceWithoutListedEndpointsIsRefusedForNow)
{
    directory_.update(entry("a"), now_);
    directory_.remove(EndpointId("a"), Delisting::Removed, now_);
    directory_.publish(now_);
    WorkItem item;
    item.request = RequestId("r");
    item.service = ServiceId("s");
    item.deadline = now_ + std::chrono::seconds(1);
    const PlacementResult placing = directory_.place(item, {}, {}, now_);
    const auto *verdict = std::get_if<Verdict>(&placing);
    ASSERT_NE(verdict, nullptr);
    EXPECT_EQ(verdict->reason, Reason::NoEndpoint);
    EXPECT_EQ(verdict->execution, Execution::NotRun);
    EXPECT_TRUE(verdict->retryAt);
}

TEST_F(Directory, EntryWhoseAddressCantBeReadNamesNoEndpoint)
{
    directory_.update(entry("a"), now_);
    EXPECT_EQ(placed(), "a");
    EndpointEntry moved = entry("a");
    moved.address = "elsewhere";
    directory_.update(moved, now_);
    EXPECT_EQ(placed(), "");
}

TEST_F(Directory, LogsWhyTheLastEndpointOfAServiceIsGone)
{
    directory_.update(entry("a"), now_);
    directory_.publish(now_);
    EXPECT_NE(logged().find("\"event\":\"service.served\""), std::string::npos);
    directory_.keepOnly({}, now_);
    EXPECT_NE(logged().find("\"why\":\"missing\""), std::string::npos);
    EXPECT_NE(logged().find("\"event\":\"service.unserved\""), std::string::npos);
}

TEST(SharedPrompt, IsAllPartsButTheLast)
{
    const uint64_t both = sharedPromptHash({{1, 10}, {2, 10}, {3, 10}});
    EXPECT_EQ(both, sharedPromptHash({{1, 10}, {2, 10}, {9, 10}}));
    EXPECT_NE(both, sharedPromptHash({{2, 10}, {1, 10}, {3, 10}}));
    EXPECT_EQ(sharedPromptHash({{1, 10}}), 0U);
    EXPECT_EQ(sharedPromptHash({}), 0U);
}

} // namespace
