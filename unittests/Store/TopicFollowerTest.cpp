/// A follower of a store that forgets, refuses, goes silent and answers with old pages.

#include <deque>
#include <map>
#include <thread>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "sequoiagate/Store/TopicFollower.h"

using namespace sequoiagate;

namespace {

/// Answers reads from scripts, in their order; past their end it is silent.
class ScriptedStore : public Store
{
public:
    explicit ScriptedStore(boost::asio::io_context &io) : io_(io) {}

    void tail(const std::string &, uint64_t from, Interval,
              std::function<void(TailAnswer)> handler) override
    {
        calls.push_back("tail " + std::to_string(from));
        answer(tails, std::move(handler));
    }
    void snapshot(const std::string &, const std::string &after,
                  std::function<void(SnapshotAnswer)> handler) override
    {
        calls.push_back("snapshot " + after);
        answer(snapshots, std::move(handler));
    }
    void append(const StoreBatch &, std::function<void(AppendAnswer)>) override {}

    std::deque<TailAnswer> tails;
    std::deque<SnapshotAnswer> snapshots;
    std::vector<std::string> calls;
    Interval holdUp{}; ///< how long the process stands still before it handles an answer

private:
    template <typename Answer>
    void answer(std::deque<Answer> &script, std::function<void(Answer)> handler)
    {
        if (script.empty()) {
            return;
        }
        boost::asio::post(io_, [this, next = script.front(), handler] {
            std::this_thread::sleep_for(holdUp);
            handler(next);
        });
        script.pop_front();
    }

    boost::asio::io_context &io_;
};

StoreRow row(const std::string &key, const std::string &value, uint64_t offset)
{
    return {key, value, offset};
}

struct FollowCase
{
    const char *name;
    std::deque<SnapshotAnswer> snapshots;
    std::deque<TailAnswer> tails;
    std::vector<std::string> calls;
    std::map<std::string, std::string> known; ///< at the end, as a handler would keep it
};

class Following : public testing::TestWithParam<FollowCase>
{};

const SnapshotAnswer First{StoreOutcome::Ok, {row("a", "1", 3)}, false, 4};

const FollowCase FollowCases[] = {
        {"SnapshotThenTail",
         {First},
         {{StoreOutcome::Ok, {row("b", "2", 4)}, 5}},
         {"snapshot ", "tail 4", "tail 5"},
         {{"a", "1"}, {"b", "2"}}},
        {"PagesUntilTheLast",
         {{StoreOutcome::Ok, {row("a", "1", 0)}, true, 9},
          {StoreOutcome::Ok, {row("b", "2", 8)}, false, 12}},
         {},
         // From the first page's end: what changed while the pages were read comes again.
         {"snapshot ", "snapshot a", "tail 9"},
         {{"a", "1"}, {"b", "2"}}},
        {"EmptyTopic", {{StoreOutcome::Ok, {}, false, 0}}, {}, {"snapshot ", "tail 0"}, {}},
        {"ForgottenRowsAreMadeUp",
         {First, {StoreOutcome::Ok, {row("a", "7", 90)}, false, 91}},
         {{StoreOutcome::Gone, {}, 4}},
         {"snapshot ", "tail 4", "snapshot ", "tail 91"},
         {{"a", "7"}}},
        // News that came while the connection was silent would be missed.
        {"UnansweredReadGoesOnWhereItWas",
         {First},
         {{StoreOutcome::Unreachable, {}, 4}, {StoreOutcome::Ok, {row("a", "7", 4)}, 5}},
         {"snapshot ", "tail 4", "tail 4", "tail 5"},
         {{"a", "7"}}},
        {"UnansweredReadIsMadeUpIfItsRowsAreForgotten",
         {First, {StoreOutcome::Ok, {row("a", "7", 9)}, false, 10}},
         {{StoreOutcome::Unreachable, {}, 4}, {StoreOutcome::Gone, {}, 4}},
         {"snapshot ", "tail 4", "tail 4", "snapshot ", "tail 10"},
         {{"a", "7"}}},
        {"PagesBeginAnewAfterAnUnansweredOne",
         {{StoreOutcome::Ok, {row("a", "1", 0)}, true, 9},
          {StoreOutcome::Unreachable, {}, false, 0},
          First},
         {},
         {"snapshot ", "snapshot a", "snapshot ", "tail 4"},
         {{"a", "1"}}},
        {"RefusedReadGoesOnWhereItWas",
         {First},
         {{StoreOutcome::Refused, {}, 4}, {StoreOutcome::Ok, {row("b", "2", 4)}, 5}},
         {"snapshot ", "tail 4", "tail 4", "tail 5"},
         {{"a", "1"}, {"b", "2"}}},
        // A configuration that is in force would be taken back by a page from before it.
        {"OldPageIsIgnored",
         {First, {StoreOutcome::Ok, {row("a", "old", 1)}, false, 2}},
         {{StoreOutcome::Ok, {row("a", "new", 4)}, 5}, {StoreOutcome::Gone, {}, 5}},
         {"snapshot ", "tail 4", "tail 5", "snapshot ", "tail 5"},
         {{"a", "new"}}},
};

TEST_P(Following, EndsWithTheNewestRows)
{
    const FollowCase &script = GetParam();
    boost::asio::io_context io;
    ScriptedStore store(io);
    store.snapshots = script.snapshots;
    store.tails = script.tails;
    std::map<std::string, std::string> known;
    FollowerSettings settings;
    settings.topic = "t";
    settings.backoff = std::chrono::milliseconds(1);
    TopicFollower follower(io, store, settings,
                           {[&known](const std::vector<StoreRow> &rows, bool) {
                                for (const StoreRow &read : rows) {
                                    known[read.key] = read.value;
                                }
                            },
                            [](uint64_t) {},
                            [](bool, StoreOutcome) {
                            }});
    follower.start();
    io.run();
    EXPECT_EQ(store.calls, script.calls);
    EXPECT_EQ(known, script.known);
}

INSTANTIATE_TEST_SUITE_P(Rows, Following, testing::ValuesIn(FollowCases),
                         [](const auto &script) { return std::string(script.param.name); });

TEST(TopicFollower, TellsWhenTheStoreIsLostAndBack)
{
    boost::asio::io_context io;
    ScriptedStore store(io);
    store.snapshots = {First, First};
    store.tails = {{StoreOutcome::Unreachable, {}, 4},
                   {StoreOutcome::Ok, {}, 4},
                   {StoreOutcome::Refused, {}, 4}};
    std::vector<bool> told;
    FollowerSettings settings;
    settings.topic = "t";
    settings.backoff = std::chrono::milliseconds(1);
    TopicFollower follower(io, store, settings,
                           {[](const std::vector<StoreRow> &, bool) {}, [](uint64_t) {},
                            [&told](bool reachable, StoreOutcome) {
                                told.push_back(reachable);
                            }});
    follower.start();
    io.run();
    EXPECT_EQ(told, (std::vector<bool>{true, false, true, false}));
}

struct CurrentCase
{
    const char *name;
    std::deque<SnapshotAnswer> snapshots;
    std::deque<TailAnswer> tails;
    bool isCurrent; ///< when the script is over
};

class FollowerIsCurrent : public testing::TestWithParam<CurrentCase>
{};

const CurrentCase CurrentCases[] = {
        {"NothingWasRead", {}, {}, false},
        {"AfterTheFirstOfTwoPages", {{StoreOutcome::Ok, {row("a", "1", 0)}, true, 9}}, {}, false},
        {"PagesOfDifferentMoments",
         {{StoreOutcome::Ok, {row("a", "1", 0)}, true, 9},
          {StoreOutcome::Ok, {row("b", "2", 8)}, false, 12}},
         {},
         false},
        {"AfterTheNewestRows", {First}, {}, true},
        {"AfterAnAnswerWithoutNews", {First}, {{StoreOutcome::Ok, {}, 4, 4}}, true},
        {"AfterAnUnansweredRead", {First}, {{StoreOutcome::Unreachable, {}, 4}}, false},
        {"RowsAreForgotten", {First}, {{StoreOutcome::Gone, {}, 4}}, false},
        {"ForgottenRowsAreReplacedByAnOldPage",
         {First, {StoreOutcome::Ok, {}, false, 2}},
         {{StoreOutcome::Gone, {}, 4}},
         false},
        {"ForgottenRowsAreMadeUp",
         {First, {StoreOutcome::Ok, {row("a", "7", 90)}, false, 91}},
         {{StoreOutcome::Gone, {}, 4}},
         true},
        {"AnAnswerHoldsAPartOfTheRows",
         {First},
         {{StoreOutcome::Ok, {row("a", "2", 4)}, 5, 6}},
         false},
        {"TheRestFollows",
         {First},
         {{StoreOutcome::Ok, {row("a", "2", 4)}, 5, 6},
          {StoreOutcome::Ok, {row("a", "3", 5)}, 6, 6}},
         true},
};

// What is judged by rows that may be out of date: a caller gets 404 for a route that they lack.
TEST_P(FollowerIsCurrent, OnlyWithAllRowsThatTheStoreHad)
{
    const CurrentCase &script = GetParam();
    boost::asio::io_context io;
    ScriptedStore store(io);
    store.snapshots = script.snapshots;
    store.tails = script.tails;
    FollowerSettings settings;
    settings.topic = "t";
    settings.backoff = std::chrono::milliseconds(1);
    TopicFollower follower(io, store, settings,
                           {[](const std::vector<StoreRow> &, bool) {}, [](uint64_t) {},
                            [](bool, StoreOutcome) {
                            }});
    follower.start();
    io.run();
    EXPECT_EQ(follower.current(), script.isCurrent);
}

INSTANTIATE_TEST_SUITE_P(Rows, FollowerIsCurrent, testing::ValuesIn(CurrentCases),
                         [](const auto &script) { return std::string(script.param.name); });

// Guards against taking a list for recent whose answer has waited while the process stood still.
TEST(TopicFollower, TellsWhenTheLastReadWasSent)
{
    boost::asio::io_context io;
    ScriptedStore store(io);
    store.snapshots = {First};
    store.holdUp = std::chrono::milliseconds(40);
    std::optional<Interval> waited;
    std::optional<TopicFollower> follower;
    follower.emplace(io, store, FollowerSettings{"t"},
                     TopicFollower::Handlers{[](const std::vector<StoreRow> &, bool) {},
                                             [&](uint64_t) {
                                                 waited = follower->lastAnswerAt()
                                                          - follower->lastReadSentAt();
                                             },
                                             [](bool, StoreOutcome) {
                                             }});
    follower->start();
    io.run_for(std::chrono::milliseconds(200));
    ASSERT_TRUE(waited);
    EXPECT_GE(*waited, store.holdUp);
}

// Rows whose handler threw are never told, since the next read begins behind them.
TEST(TopicFollower, RowsWhoseHandlerThrewAreReadAgain)
{
    boost::asio::io_context io;
    ScriptedStore store(io);
    store.snapshots = {First};
    store.tails = {{StoreOutcome::Ok, {row("b", "2", 4)}, 5}};
    FollowerSettings settings;
    settings.topic = "t";
    TopicFollower follower(io, store, settings,
                           {[](const std::vector<StoreRow> &, bool whole) {
                                if (!whole) {
                                    throw std::logic_error("a fault of the program");
                                }
                            },
                            [](uint64_t) {},
                            [](bool, StoreOutcome) {
                            }});
    follower.start();
    EXPECT_THROW(io.run(), std::logic_error);
    EXPECT_FALSE(follower.current());
    follower.hurry();
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(store.calls, (std::vector<std::string>{"snapshot ", "tail 4", "tail 4"}));
}

} // namespace
