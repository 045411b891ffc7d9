/// Rows of other topics than the endpoints' that the store carries out behind newer ones.

#include <gtest/gtest.h>

#include "lib/Edge/QuarantineRows.h"
#include "sequoiagate/Decisions/VersionHistory.h"

using namespace sequoiagate;

namespace {

constexpr Instant Now{std::chrono::hours(1)};
constexpr PartKey Part = 255;

struct LateQuarantineCase
{
    const char *name;
    uint32_t level;
    Interval left; ///< of the late row's quarantine
};

class LateQuarantine : public testing::TestWithParam<LateQuarantineCase>
{};

// Guards against a quarantine that ends early since its earlier row was written late.
TEST_P(LateQuarantine, ShortensNothing)
{
    const WallTime wall{std::chrono::hours(500'000)};
    CrashingParts parts({HostId("h"), DomainId("d")});
    const Instant until = Now + std::chrono::hours(2);
    for (const auto &[level, end] :
         {std::pair<uint32_t, Instant>(1, until), {GetParam().level, Now + GetParam().left}}) {
        const StoreRow row = encodeQuarantineRow({Part, level, end, {}, HostId("x")}, Now, wall);
        parts.onQuarantine(*decodeQuarantineRow(row, Now, wall), Now);
    }
    const std::vector<Quarantine> inForce = parts.quarantines(Now);
    ASSERT_EQ(inForce.size(), 1U);
    EXPECT_EQ(inForce.front().until, until);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, LateQuarantine,
        testing::Values(LateQuarantineCase{"OfTheFirstTime", 0, std::chrono::minutes(5)},
                        LateQuarantineCase{"ThatHasEnded", 0, -std::chrono::minutes(5)},
                        LateQuarantineCase{"OfTheSameTime", 1, std::chrono::minutes(5)}),
        [](const auto &row) { return row.param.name; });

// Guards against a record of versions that stays out of date since an earlier one was written late.
TEST(LateVersionRecord, IsReplaced)
{
    const ServiceId service("s");
    const VersionRecord newest{{SoftwareVersion("v1"), SoftwareVersion("v2")}, false};
    VersionHistory history;
    history.setListed({{service, SoftwareVersion("v1")}, {service, SoftwareVersion("v2")}}, Now);
    history.onRead(Now);
    history.onRecordsRead();
    history.setRecord(service, newest);
    EXPECT_TRUE(history.outdatedRecords(Now).empty());
    history.setRecord(service, {{SoftwareVersion("v1")}, false});
    EXPECT_EQ(history.outdatedRecords(Now).at(service), newest);
}

} // namespace
