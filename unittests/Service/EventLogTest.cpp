#include "sequoiagate/Service/EventLog.h"

#include <cstdio>
#include <fstream>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

std::string stampAt(WallTime time, int counter = 0)
{
    const auto micros =
            std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    return fmt::format("{:017}.{:06}", micros.count(), counter);
}

WallTime wallNow()
{
    return std::chrono::system_clock::now();
}

TEST(HybridClock, StampsRiseAndKeepTheirWidth)
{
    HybridClock clock;
    const std::string ahead = stampAt(wallNow() + std::chrono::hours(1), 999'990);
    clock.observe(ahead);
    std::string last = ahead;
    constexpr int Ticks = 100;
    for (int i = 0; i < Ticks; ++i) {
        const std::string next = clock.tick();
        ASSERT_GT(next, last) << "also where the counter has run out";
        ASSERT_EQ(next.size(), last.size());
        last = next;
    }
}

struct IgnoredStamp
{
    const char *name;
    std::string stamp;
};

class HybridClockIgnores : public testing::TestWithParam<IgnoredStamp>
{};

TEST_P(HybridClockIgnores, WhatCantBeAClock)
{
    HybridClock clock;
    clock.observe(GetParam().stamp);
    EXPECT_LT(clock.tick(), stampAt(wallNow() + std::chrono::hours(1)));
}

const IgnoredStamp Ignored[] = {
        {"Empty", ""},
        {"Text", "yesterday"},
        {"NoCounter", "99999999999999999"},
        {"Letters", "9999999999999999x.000000"},
        {"Sign", "-0000000000000001.000000"},
        {"YearsAhead", "99999999999999999.000000"},
        {"TwoDaysAhead", stampAt(wallNow() + std::chrono::hours(48))},
};

INSTANTIATE_TEST_SUITE_P(Stamps, HybridClockIgnores, testing::ValuesIn(Ignored),
                         [](const auto &row) { return std::string(row.param.name); });

std::vector<nlohmann::json> writtenBy(void (*write)(EventLog &))
{
    const std::string path = testing::TempDir() + "/EventLogTest.log";
    std::FILE *file = std::fopen(path.c_str(), "w");
    EventLog log({"program", HostId("h1"), DomainId("d1"), Incarnation("i1")}, file);
    write(log);
    std::fclose(file);
    std::vector<nlohmann::json> lines;
    std::ifstream in(path);
    std::string text;
    while (std::getline(in, text)) {
        lines.push_back(nlohmann::json::parse(text));
    }
    return lines;
}

TEST(EventLog, EachLineSaysWhoWhereAndWhen)
{
    const auto lines = writtenBy([](EventLog &log) {
        log.write(Event("request.sent").with("request", RequestId("r1")).with("tokens", 7));
    });
    ASSERT_EQ(lines.size(), 1U);
    const nlohmann::json &line = lines[0];
    EXPECT_EQ(line.at("event"), "request.sent");
    EXPECT_EQ(line.at("host"), "h1");
    EXPECT_EQ(line.at("domain"), "d1");
    EXPECT_EQ(line.at("incarnation"), "i1");
    EXPECT_EQ(line.at("program"), "program");
    EXPECT_EQ(line.at("request"), "r1");
    EXPECT_EQ(line.at("tokens"), 7);
    EXPECT_TRUE(line.contains("hlc"));
}

// A caller's bytes end up in a log line. Broken UTF-8 or a line feed in them must
// neither end the process nor begin a line that it could have made up.
TEST(EventLog, CallersBytesStayWithinTheirField)
{
    const auto lines = writtenBy([](EventLog &log) {
        log.write(Event("a").with("detail", "x\xff\n{\"event\":\"forged\"}"));
    });
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].at("event"), "a");
}

TEST(EventLog, ConcurrentLinesStayWholeAndInOrder)
{
    const auto lines = writtenBy([](EventLog &log) {
        std::vector<std::thread> writers;
        for (int writer = 0; writer < 4; ++writer) {
            writers.emplace_back([&log] {
                for (int i = 0; i < 200; ++i) {
                    log.write(Event("tick").with("i", i));
                }
            });
        }
        for (std::thread &writer : writers) {
            writer.join();
        }
    });
    ASSERT_EQ(lines.size(), 800U);
    for (std::size_t i = 1; i < lines.size(); ++i) {
        ASSERT_LT(lines[i - 1].at("hlc"), lines[i].at("hlc"));
    }
}

} // namespace
