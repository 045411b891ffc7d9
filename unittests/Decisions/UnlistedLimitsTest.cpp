/// Limits of endpoints' processes that aren't listed.

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/EndpointLimits.h"
#include "sequoiagate/Decisions/UnlistedLimits.h"

using namespace sequoiagate;

namespace {

const EndpointId Endpoint("e");
constexpr uint64_t First = 1;
constexpr uint64_t Second = 2;
const Instant Now{std::chrono::hours(1)};

EndpointLimitRecord record(uint64_t process, std::optional<double> limit, Instant observedAt = Now)
{
    EndpointLimitRecord result;
    result.endpoint = Endpoint;
    result.startedAtMillis = process;
    result.maxRequestsPerSecond = limit;
    result.observedAt = observedAt;
    return result;
}

struct KeepCase
{
    const char *name;
    std::vector<EndpointLimitRecord> records;
    std::optional<double> firstLimit; ///< kept of the first process
};

class UnlistedLimitsKept : public testing::TestWithParam<KeepCase>
{};

const KeepCase KeepCases[] = {
        {"None", {}, std::nullopt},
        {"One", {record(First, 2.0)}, 2.0},
        {"OfAnotherProcess", {record(Second, 2.0)}, std::nullopt},
        {"Newest", {record(First, 2.0), record(First, 3.0, Now + Millis(1))}, 3.0},
        {"OlderAfterNewer", {record(First, 2.0), record(First, 3.0, Now - Millis(1))}, 2.0},
        {"Ended", {record(First, 2.0), record(First, std::nullopt, Now + Millis(1))}, std::nullopt},
        {"EndedBefore", {record(First, 2.0), record(First, std::nullopt, Now - Millis(1))}, 2.0},
};

TEST_P(UnlistedLimitsKept, NewestOfTheProcessIsTakenOnce)
{
    UnlistedLimits limits;
    for (const EndpointLimitRecord &each : GetParam().records) {
        limits.keep(each);
    }
    const auto taken = limits.take(Endpoint, First);
    EXPECT_EQ(taken ? taken->maxRequestsPerSecond : std::nullopt, GetParam().firstLimit);
    EXPECT_FALSE(limits.take(Endpoint, First));
}

INSTANTIATE_TEST_SUITE_P(Rows, UnlistedLimitsKept, testing::ValuesIn(KeepCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(UnlistedLimits, AreDroppedAfterTheirTime)
{
    UnlistedLimits limits;
    limits.keep(record(First, 2.0));
    limits.dropExpired(Now + UnlistedLimits::Lifetime - Millis(1));
    EXPECT_EQ(limits.size(), 1U);
    limits.dropExpired(Now + UnlistedLimits::Lifetime);
    EXPECT_EQ(limits.size(), 0U);
}

// Guards against a host that reads the row of a new process late and sends what it likes, though
// the others have told it the limit.
TEST(EndpointLimitsOfAProcess, HoldOnceItsRowIsRead)
{
    EndpointLimits limits(HostId("h"));
    limits.setHosts({HostId("h")});
    limits.setEndpoint(Endpoint, First, 8);
    EXPECT_FALSE(limits.onRecord(record(Second, 2.0), Now));
    EXPECT_TRUE(limits.isEmpty());
    limits.setEndpoint(Endpoint, Second, 8);
    EXPECT_EQ(limits.sharePerSecond(Endpoint), 2.0);
    limits.setEndpoint(Endpoint, First, 8);
    EXPECT_TRUE(limits.isEmpty());
    limits.setEndpoint(Endpoint, Second, 8);
    EXPECT_EQ(limits.sharePerSecond(Endpoint), 2.0);
}

} // namespace
