/// Which entries of endpoints hold, over long times and with random delays.

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/EndpointEntryOrder.h"

using namespace sequoiagate;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr Interval Heartbeat = std::chrono::milliseconds(1200);

// Guards against memory that grows with the endpoints that have left.
TEST(EndpointEntryOrder, KeepsABoundedNumberOfRemovedEndpoints)
{
    constexpr std::size_t Endpoints = 840;
    EndpointEntryOrder order;
    Instant now = Start;
    // Each endpoint is replaced once a minute, all day.
    for (int minute = 0; minute < 24 * 60; ++minute) {
        for (std::size_t i = 0; i < Endpoints; ++i) {
            const auto id = [i](int of) {
                return EndpointId(std::to_string(i) + "-" + std::to_string(of));
            };
            order.onEntry({id(minute), static_cast<uint64_t>(minute) + 1}, 1, EntrySource::Tail,
                          now);
            order.onRemoved(id(minute - 1), now);
        }
        order.dropExpired(now);
        EXPECT_LE(order.size(), Endpoints + EndpointEntryOrder::MaxRemoved);
        now += std::chrono::minutes(1);
    }
    now += EndpointEntryOrder::RemovedLifetime;
    order.dropExpired(now);
    EXPECT_EQ(order.size(), Endpoints);
}

struct Write
{
    Instant at{}; ///< when the store carries it out
    uint64_t startedAt = 0;
    uint64_t sequence = 0;
};

/// The writes of processes that replace each other under one id, each fourth one late by up to 6 s.
std::vector<Write> randomWrites(uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<Write> writes;
    Instant now = Start;
    for (uint64_t process = 1; process <= 20; ++process) {
        const uint64_t beats = 2 + random() % 20;
        for (uint64_t sequence = 1; sequence <= beats; ++sequence) {
            // A process's first entry and every third one are in time.
            const bool isLate = sequence % 3 != 1 && random() % 3 == 0;
            const Interval delay = std::chrono::milliseconds(isLate ? 1000 + random() % 5000 : 5);
            writes.push_back({now + delay, process, sequence});
            now += Heartbeat;
        }
    }
    std::stable_sort(writes.begin(), writes.end(),
                     [](const Write &a, const Write &b) { return a.at < b.at; });
    return writes;
}

class RandomWrites : public testing::TestWithParam<uint32_t>
{};

// Guards against an entry that displaces a newer one, whatever the order of the writes.
TEST_P(RandomWrites, NeverGoBack)
{
    EndpointEntryOrder order;
    std::pair<uint64_t, uint64_t> known;
    for (const Write &write : randomWrites(GetParam())) {
        const EndpointProcess process{EndpointId("e"), write.startedAt};
        const EntryVerdict verdict =
                order.onEntry(process, write.sequence, EntrySource::Tail, write.at);
        order.onListRead(write.at);
        const std::pair<uint64_t, uint64_t> number(write.startedAt, write.sequence);
        EXPECT_EQ(verdict == EntryVerdict::Holds, number > known);
        known = std::max(known, number);
        for (uint64_t earlier = 1; earlier < known.first; ++earlier) {
            EXPECT_FALSE(order.takeDue({EndpointId("e"), earlier}, write.at));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomWrites, testing::Range(1U, 51U));

} // namespace
