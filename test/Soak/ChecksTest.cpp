/// The soak's checks, held to records made by hand: each promise is broken in one row, and
/// must be found; a sound record must pass.

#include <functional>

#include <gtest/gtest.h>

#include "Checks.h"

using namespace sequoiagate;
using namespace sequoiagate::soak;

namespace {

constexpr Instant Start{std::chrono::hours(1)};

Instant at(int seconds)
{
    return Start + std::chrono::seconds(seconds);
}

Attempt attempt(const std::string &id, const std::string &route)
{
    Attempt attempt;
    attempt.id = id;
    attempt.route = route;
    attempt.workspace = "w";
    attempt.sentTo = {1, 0};
    attempt.sentAt = at(10);
    attempt.endedAt = at(11);
    attempt.status = 200;
    attempt.whole = true;
    attempt.answerBegan = true;
    return attempt;
}

/// Fills a sound record with two requests, one of them streamed.
void fillSound(Record &record)
{
    record.add(attempt("a", "once"));
    record.add(Run{"a", "w", "e1", 0, false});
    Attempt chat = attempt("b", "chat");
    chat.promptTokens = 100;
    chat.events = 10;
    record.add(chat);
    record.add(Run{"b", "w", "e2", 10, false});
    record.received = {"a", "b"};
    record.prepaid = {{"w", 200}};
    record.allotted = {{"w", 140}};
    record.exact = true;
}

/// Adds requests of the process of "a" that reach an endpoint each 0.4 s, the first of which asks
/// for \p backoff.
void addArrivals(Record &record, int count, Interval backoff, bool saidLeaving)
{
    for (int i = 0; i < count; ++i) {
        Attempt sent = attempt("n" + std::to_string(i), "read");
        sent.sentAt = at(20) + i * std::chrono::milliseconds(400);
        sent.endedAt = sent.sentAt + std::chrono::milliseconds(5);
        record.add(sent);
        record.add(Run{sent.id, "w", "e3", 0, false, sent.sentAt});
        record.add(Arrival{sent.id, "e3", sent.sentAt, i == 0 ? backoff : Interval::zero(),
                           i == 0 && saidLeaving});
    }
}

/// Adds requests that ran \p delay after their callers had left.
void addLate(Record &record, int count, Interval delay)
{
    for (int i = 0; i < count; ++i) {
        Attempt left = attempt("l" + std::to_string(i), "read");
        left.status = 0;
        left.whole = false;
        left.leftByCaller = true;
        record.add(left);
        record.add(Run{left.id, "w", "e3", 0, false, left.endedAt + delay});
    }
}

struct BadRecord
{
    const char *name;
    const char *promise; ///< the beginning of what must be found
    std::function<void(Record &)> spoil;
};

const BadRecord BadRecords[] = {
        {"RequestsInABackoff", "a backoff holds",
         [](Record &r) {
             addArrivals(r, 6, std::chrono::seconds(2), false);
         }},
        {"RequestsAfterItSaidThatItLeaves", "a leaving endpoint gets no new work",
         [](Record &r) {
             addArrivals(r, 8, Interval::zero(), true);
         }},
        {"RequestsOfCallersThatLeft", "nothing is sent on for callers that left",
         [](Record &r) {
             addLate(r, 4, std::chrono::milliseconds(600));
         }},
        {"ForeignBody", "own whole answer",
         [](Record &r) {
             r.attempts[0].wrong = "b's body";
         }},
        {"AnswerOfNobody", "own whole answer",
         [](Record &r) {
             r.runs.erase(r.runs.begin());
         }},
        {"RanTwice", "at most once",
         [](Record &r) {
             r.runs.push_back(r.runs[0]);
         }},
        {"RefusedAndRan", "not run is true",
         [](Record &r) {
             r.attempts[0].status = 502;
             r.attempts[0].whole = false;
             r.attempts[0].notRun = true;
         }},
        {"UnavailableAndRan", "not run is true",
         [](Record &r) {
             r.attempts[0].status = 503;
             r.attempts[0].whole = false;
         }},
        {"OtherWorkspace", "own workspace",
         [](Record &r) {
             r.runs[0].workspace = "x";
         }},
        {"Overspent", "spend within the budget",
         [](Record &r) {
             r.prepaid["w"] = 139;
         }},
        {"OverspentOverARestart", "spend within the budget",
         [](Record &r) {
             Attempt next = attempt("c", "chat");
             next.sentTo = {1, 1};
             next.promptTokens = 100;
             next.events = 10;
             r.add(next);
             r.add(Run{"c", "w", "e2", 10, false});
             r.allotted["w"] = 280;
             r.prepaid["w"] = 279;
         }},
        {"Unbilled", "billed once",
         [](Record &r) {
             r.allotted["w"] = 139;
         }},
        {"BilledTwice", "billed once",
         [](Record &r) {
             r.allotted["w"] = 240;
         }},
        {"MixedVersions", "a stream keeps its version",
         [](Record &r) {
             r.attempts[1].stream = "b";
             r.attempts[1].versions = {"v1"};
             Attempt next = r.attempts[1];
             next.id = "c";
             next.resumedAt = next.events;
             next.promptTokens = 0;
             next.versions = {"v2"};
             r.runs.push_back({"c", "w", "e2", 0, false});
             r.add(next);
         }},
        {"SoundPromptRefused", "sound prompts are let through",
         [](Record &r) {
             Attempt next = attempt("c", "chat");
             next.whole = false;
             next.status = 503;
             next.notRun = true;
             next.reason = "prompt_quarantined";
             r.add(next);
         }},
        {"CrashingPartGoesOn", "a crashing part is quarantined",
         [](Record &r) {
             for (int i = 0; i < 9; ++i) {
                 Attempt next = attempt("x" + std::to_string(i), "talk");
                 next.crashesEndpoints = true;
                 next.whole = false;
                 next.status = 502;
                 r.partCrashes.push_back(at(i));
                 r.runs.push_back({next.id, "w", "e2", 0, true, at(i < 5 ? i : i + 3)});
                 r.add(next);
             }
         }},
        {"EvacuatedEndpointGotWork", "an evacuated endpoint",
         [](Record &r) {
             r.domains["e1"] = "d1";
             r.runs[0].at = at(10);
             r.evacuations.push_back({"d1", at(12), {{ProcessOf{1, 0}, at(9)}}});
         }},
        {"LeavingEndpointGotWork", "a leaving endpoint",
         [](Record &r) {
             r.published.push_back({0, "e1", at(8), {{ProcessOf{1, 0}, at(9)}}});
         }},
        {"OldConfiguration", "a configuration in force",
         [](Record &r) {
             r.attempts[0].probes = 7;
             r.attempts[0].status = 404;
             r.attempts[0].whole = false;
             r.published.push_back({8, "", at(8), {{ProcessOf{1, 0}, at(9)}}});
         }},
        {"RevokedKeyServed", "a configuration in force",
         [](Record &r) {
             r.attempts[0].probes = 6;
             r.published.push_back({8, "", at(8), {{ProcessOf{1, 0}, at(9)}}});
         }},
        {"CutOff", "nothing is cut off",
         [](Record &r) {
             r.attempts[0].status = 0;
             r.attempts[0].whole = false;
         }},
        {"ClosedUnansweredAfterAPause", "nothing is closed unanswered",
         [](Record &r) {
             r.attempts[0].status = 0;
             r.attempts[0].whole = false;
             r.attempts[0].answerBegan = false;
             r.unplanned.push_back({"pause", 1, at(8), at(10)});
         }},
        {"ClosedUnansweredAndNotRun", "nothing is closed unanswered",
         [](Record &r) {
             r.attempts[0].status = 0;
             r.attempts[0].whole = false;
             r.attempts[0].answerBegan = false;
             r.runs.erase(r.runs.begin());
         }},
        {"BadExit", "a planned stop",
         [](Record &r) {
             r.stops.push_back({{1, 0}, 1, 0});
         }},
        {"NotBack", "served again", [](Record &r) {
             r.unserved.emplace_back("h1");
         }}};

class SoakChecks : public testing::TestWithParam<BadRecord>
{};

TEST_P(SoakChecks, FindTheBrokenPromise)
{
    Record record;
    fillSound(record);
    ASSERT_EQ(brokenPromises(record), std::vector<std::string>());
    GetParam().spoil(record);
    const std::vector<std::string> found = brokenPromises(record);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].rfind(GetParam().promise, 0), 0U) << found[0];
}

struct DroppedRouteCase
{
    const char *name;
    int status;
    bool notRun;
    bool isAllowed;
};

class DroppedRoute : public testing::TestWithParam<DroppedRouteCase>
{};

const DroppedRouteCase DroppedRouteCases[] = {{"RefusedForNow", 503, true, true},
                                              {"FailedForNow", 503, false, false},
                                              {"NotFound", 404, true, true},
                                              {"Failed", 502, false, false}};

TEST_P(DroppedRoute, MayOnlyBeRefused)
{
    Record record;
    fillSound(record);
    record.runs.erase(record.runs.begin());
    record.attempts[0].probes = 6;
    record.attempts[0].status = GetParam().status;
    record.attempts[0].notRun = GetParam().notRun;
    record.attempts[0].whole = false;
    record.published.push_back({8, "", at(8), {{ProcessOf{1, 0}, at(9)}}});
    EXPECT_EQ(brokenPromises(record).empty(), GetParam().isAllowed);
}

INSTANTIATE_TEST_SUITE_P(Rows, DroppedRoute, testing::ValuesIn(DroppedRouteCases),
                         [](const auto &row) { return std::string(row.param.name); });

INSTANTIATE_TEST_SUITE_P(Rows, SoakChecks, testing::ValuesIn(BadRecords),
                         [](const auto &row) { return std::string(row.param.name); });

struct Excused
{
    const char *name;
    std::function<void(Record &)> spoil;
};

/// What a trace shows to be allowed: each row is of a kind that the checks must not report.
const Excused ExcusedRecords[] = {
        {"CutOffByAReset",
         [](Record &r) {
             r.attempts[0].status = 0;
             r.attempts[0].whole = false;
             r.unplanned.push_back({"callers reset", 1, at(8), at(8)});
         }},
        {"ClosedByAKill",
         [](Record &r) {
             r.attempts[0].status = 0;
             r.attempts[0].whole = false;
             r.attempts[0].answerBegan = false;
             r.unplanned.push_back({"kill", 1, at(8), at(10), true});
         }},
        {"NeverReachedAnEndpoint",
         [](Record &r) {
             r.attempts[0].status = 0;
             r.attempts[0].whole = false;
             r.attempts[0].answerBegan = false;
             r.runs.erase(r.runs.begin());
             r.received.erase("a");
         }},
        {"LeftByItsCaller",
         [](Record &r) {
             r.attempts[1].status = 0;
             r.attempts[1].whole = false;
             r.attempts[1].leftByCaller = true;
         }},
        {"SentBeforeTheHostKnew",
         [](Record &r) {
             r.published.push_back({0, "e1", at(8), {{ProcessOf{1, 0}, at(12)}}});
         }},
        // Seeds 4 and 10: a newer version, which drops the route, came between the sending and
        // the answer.
        {"NewerConfigurationCameMeanwhile",
         [](Record &r) {
             r.attempts[0].probes = 7;
             r.attempts[0].status = 404;
             r.attempts[0].whole = false;
             r.runs.erase(r.runs.begin());
             r.published.push_back({8, "", at(8), {{ProcessOf{1, 0}, at(9)}}});
             r.published.push_back({9, "", at(10), {{ProcessOf{1, 0}, at(11)}}});
         }},
        {"FewRequestsInABackoff",
         [](Record &r) {
             addArrivals(r, 4, std::chrono::seconds(2), false);
         }},
        {"HostWasPausedInABackoff",
         [](Record &r) {
             addArrivals(r, 6, std::chrono::seconds(2), false);
             r.unplanned.push_back({"pause", 1, at(20), at(21)});
         }},
        {"RequestsSoonAfterItSaidThatItLeaves",
         [](Record &r) {
             addArrivals(r, 5, Interval::zero(), true);
         }},
        {"CallersLeftWhileRequestsWereOnTheirWay",
         [](Record &r) {
             addLate(r, 4, std::chrono::milliseconds(400));
         }},
        {"AnotherProcessKnew", [](Record &r) {
             r.published.push_back({0, "e1", at(8), {{ProcessOf{1, 1}, at(9)}}});
         }}};

class SoakChecksExcuse : public testing::TestWithParam<Excused>
{};

TEST_P(SoakChecksExcuse, WhatIsAllowed)
{
    Record record;
    fillSound(record);
    GetParam().spoil(record);
    EXPECT_EQ(brokenPromises(record), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Rows, SoakChecksExcuse, testing::ValuesIn(ExcusedRecords),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
