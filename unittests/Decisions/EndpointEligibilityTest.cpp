/// Why endpoints may not get a request: precedence, strictness and end of each reason.

#include <set>
#include <string>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/EndpointEligibility.h"

using namespace sequoiagate;

namespace {

const EndpointId Endpoint("e");
constexpr Interval Backoff = std::chrono::seconds(3);
constexpr Interval Unreachable = std::chrono::seconds(1);

/// What holds of the endpoint of a row.
struct EligibilityCase
{
    const char *name;
    bool hasOtherVersion;
    bool isLeaving;
    bool isElsewhere; ///< in a region that isn't allowed
    bool isEvacuated;
    bool isBackingOff;
    bool isLimited;
    bool isUnreachable;
    bool isOnTrial;
    std::optional<Exclusion> reason;
    Strictness strictness;
};

class EndpointEligibilityTest : public testing::TestWithParam<EligibilityCase>
{
protected:
    EndpointEligibilityTest()
    {
        limits_.setEndpoint(Endpoint, 1, 4);
        withdrawals_.setEndpoint(Endpoint, 1);
    }

    void askForBackoff(Instant at)
    {
        withdrawals_.onBackoff({Endpoint, 1, RequestId("r"), at}, Backoff, at);
    }

    /// Checks one endpoint.
    ExcludedEndpoints check(const EligibilityCase &row)
    {
        if (row.isBackingOff) {
            askForBackoff(now_);
        }
        if (row.isOnTrial) {
            askForBackoff(now_ - Backoff);
            withdrawals_.onSent(Endpoint, now_);
        }
        if (row.isLimited) {
            EndpointNotice notice;
            notice.maxRequestsPerSecond = 1.0;
            limits_.onNotice(Endpoint, notice, now_, now_);
        }
        WorkItem item;
        item.version = SoftwareVersion("v1");
        const SoftwareVersion version(row.hasOtherVersion ? "v2" : "v1");
        const DomainId domain("d");
        if (row.isEvacuated) {
            evacuations_.begin(domain, 1, now_);
        }
        item.regions = RegionRestriction({RegionId("here")});
        const RegionId region(row.isElsewhere ? "elsewhere" : "here");
        EndpointState state{Endpoint, version, domain, region, row.isLeaving, Instant()};
        state.unreachableUntil = row.isUnreachable ? now_ + Unreachable : now_;
        ExcludedEndpoints excluded;
        const EndpointEligibility eligibility(limits_, withdrawals_, evacuations_);
        eligibility.checksFor(item, now_).check(state, excluded);
        return excluded;
    }

    Instant now_{std::chrono::hours(1)};
    EndpointLimits limits_{HostId("h")};
    EndpointWithdrawals withdrawals_;
    DomainEvacuations evacuations_;
};

constexpr Strictness Always = Strictness::Always;
constexpr Strictness Avoided = Strictness::WhileOthersCanBeUsed;

const EligibilityCase EligibilityCases[] = {
        {"MayBeUsed", false, false, false, false, false, false, false, false, std::nullopt, Always},
        {"OtherVersion", true, true, true, true, true, true, true, false, Exclusion::OtherVersion,
         Always},
        {"Leaving", false, true, true, true, true, true, true, false, Exclusion::Leaving, Always},
        {"OtherRegion", false, false, true, true, true, true, true, false, Exclusion::OtherRegion,
         Always},
        {"Evacuated", false, false, false, true, true, true, true, false, Exclusion::Evacuated,
         Always},
        {"BackingOff", false, false, false, false, true, true, true, false, Exclusion::BackingOff,
         Always},
        {"Limited", false, false, false, false, false, true, true, true, Exclusion::Limited,
         Always},
        {"Unreachable", false, false, false, false, false, false, true, true,
         Exclusion::Unreachable, Avoided},
        {"OnTrial", false, false, false, false, false, false, false, true, Exclusion::OnTrial,
         Avoided},
};

TEST_P(EndpointEligibilityTest, FirstReasonThatHoldsCounts)
{
    const EligibilityCase &row = GetParam();
    const ExcludedEndpoints excluded = check(row);
    for (std::size_t i = 0; i < ExclusionCount; ++i) {
        const auto reason = static_cast<Exclusion>(i);
        EXPECT_EQ(excluded.of(reason).size(), row.reason == reason ? 1U : 0U)
                << EndpointEligibility::nameOf(reason);
    }
    const std::size_t count = row.reason ? 1 : 0;
    EXPECT_EQ(excluded.of(row.strictness).size(), count);
    EXPECT_EQ(excluded.of(row.strictness == Always ? Avoided : Always).size(), 0U);
    const bool canRunLater = row.reason != Exclusion::OtherVersion
                             && row.reason != Exclusion::Leaving
                             && row.reason != Exclusion::OtherRegion;
    EXPECT_EQ(excluded.suitable(), canRunLater ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndpointEligibilityTest, testing::ValuesIn(EligibilityCases),
                         [](const auto &row) { return row.param.name; });

TEST(ExcludedEndpoints, TellWhenTheFirstOfAReasonsEndpointsMayBeUsed)
{
    const Instant now{std::chrono::hours(1)};
    ExcludedEndpoints excluded;
    excluded.add(EndpointId("a"), Exclusion::BackingOff, now + Millis(30));
    excluded.add(EndpointId("b"), Exclusion::BackingOff, now + Millis(20));
    excluded.add(EndpointId("c"), Exclusion::Leaving, Never);
    EXPECT_TRUE(excluded.areAll(Exclusion::BackingOff));
    EXPECT_EQ(excluded.firstEnd(Exclusion::BackingOff), now + Millis(20));
    EXPECT_EQ(excluded.firstEnd(Exclusion::Limited), Never);
    excluded.add(EndpointId("d"), std::nullopt, now);
    EXPECT_FALSE(excluded.areAll(Exclusion::BackingOff));
    EXPECT_FALSE(ExcludedEndpoints().areAll(Exclusion::BackingOff));
}

TEST(ExcludedEndpoints, SeveralReasonsMayCoverAll)
{
    ExcludedEndpoints excluded;
    excluded.add(EndpointId("a"), Exclusion::BackingOff, Never);
    excluded.add(EndpointId("b"), Exclusion::Evacuated, Never);
    EXPECT_FALSE(excluded.areAll(Exclusion::Evacuated));
    EXPECT_TRUE(excluded.areAll({Exclusion::Evacuated, Exclusion::BackingOff}));
}

TEST(EndpointEligibility, EachReasonHasItsRow)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < ExclusionCount; ++i) {
        names.insert(EndpointEligibility::nameOf(static_cast<Exclusion>(i)));
    }
    EXPECT_EQ(names.size(), ExclusionCount);
    EXPECT_STREQ(EndpointEligibility::nameOf(Exclusion::OnTrial), "on_trial");
}

} // namespace
