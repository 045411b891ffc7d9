/// The datagrams by which hosts find the part of prompts that crashes endpoints.

#include <gtest/gtest.h>

#include "lib/Edge/CrashMessage.h"

using namespace sequoiagate;

namespace {

constexpr PartKey Part = 0xFFFF'FFFF'FFFF'FFF1U;
constexpr uint64_t Service = 7;
const Instant Now{std::chrono::hours(1)};
const Instant Later = Now + std::chrono::seconds(5); ///< on the clock of another host
const Interval Age = std::chrono::milliseconds(250);

nlohmann::json parsed(const std::string &text)
{
    // A receiver reads no larger datagram.
    EXPECT_LE(text.size(), 2048U);
    const nlohmann::json message = nlohmann::json::parse(text);
    EXPECT_EQ(message.at("version"), 1);
    return message;
}

TEST(CrashMessage, ReportsAreDecoded)
{
    CrashReport report{Service, {EndpointId("e"), 17}, {}, Now - Age};
    for (uint32_t i = 0; i < CrashingParts::MaxReportedParts; ++i) {
        report.parts.push_back({Part - i, i, i % OutcomeCounts::AgeClasses});
    }
    const CrashReport decoded = decodeCrashReport(parsed(encodeCrashReport(report, Now)), Later);
    EXPECT_EQ(decoded.service, Service);
    EXPECT_EQ(decoded.process, report.process);
    EXPECT_EQ(decoded.at, Later - Age);
    ASSERT_EQ(decoded.parts.size(), report.parts.size());
    EXPECT_EQ(decoded.parts[3].key, Part - 3);
    EXPECT_EQ(decoded.parts[3].depth, 3U);
    EXPECT_EQ(decoded.parts[3].ageClass, 3U);
}

struct AgeClassCase
{
    const char *name;
    nlohmann::json part;
};

class ReportedAges : public testing::TestWithParam<AgeClassCase>
{};

const AgeClassCase AgeClassCases[] = {
        {"Missing", {Part, 1}},
        {"OutOfRange", {Part, 1, 99}},
};

// Guards against a report that makes losses look earlier than they were.
TEST_P(ReportedAges, AreTheOldestIfUnknown)
{
    CrashReport report{Service, {EndpointId("e"), 17}, {}, Now};
    nlohmann::json message = parsed(encodeCrashReport(report, Now));
    message["parts"].push_back(GetParam().part);
    const CrashReport decoded = decodeCrashReport(message, Later);
    ASSERT_EQ(decoded.parts.size(), 1U);
    EXPECT_EQ(decoded.parts[0].ageClass, OutcomeCounts::AgeClasses - 1);
}

INSTANTIATE_TEST_SUITE_P(Rows, ReportedAges, testing::ValuesIn(AgeClassCases),
                         [](const auto &row) { return row.param.name; });

// Guards against outcomes of hosts that don't name them, or name more classes of age.
TEST(CrashMessage, OutcomesAreDecodedAsFarAsTheyAreKnown)
{
    InquiryResponse response{Part, Service, std::nullopt, {}, {}};
    response.outcomes.written = 12;
    response.outcomes.lost[2] = 5;
    nlohmann::json message = parsed(encodeInquiryResponse(response, Now));
    message["lost"].push_back(77);
    const OutcomeCounts outcomes = decodeInquiryResponse(message, Later).outcomes;
    EXPECT_EQ(outcomes.written, 12U);
    EXPECT_EQ(outcomes.lost, response.outcomes.lost);
    message.erase("written");
    message.erase("lost");
    EXPECT_TRUE(decodeInquiryResponse(message, Later).outcomes.isEmpty());
}

// Guards against dropping the messages of processes that don't name the starts of endpoints.
TEST(CrashMessage, MessagesWithoutStartsAreDecoded)
{
    const EndpointProcess process{EndpointId("e"), 17};
    const EndpointProcess withoutStart{EndpointId("e"), 0};
    nlohmann::json report = parsed(encodeCrashReport({Service, process, {}, Now}, Now));
    report.erase("started_at");
    EXPECT_EQ(decodeCrashReport(report, Later).process, withoutStart);
    nlohmann::json quarantine =
            parsed(encodeQuarantine({Part, 0, Now + Age, {process, process}, HostId("h")}, Now));
    quarantine.erase("started_at");
    EXPECT_EQ(decodeQuarantine(quarantine, Later).crashed,
              (std::vector<EndpointProcess>{withoutStart, withoutStart}));
}

TEST(CrashMessage, InquiriesAreDecoded)
{
    const PartInquiry inquiry =
            decodePartInquiry(parsed(encodePartInquiry({Part, Service, Now - Age}, Now)), Later);
    EXPECT_EQ(inquiry.part, Part);
    EXPECT_EQ(inquiry.service, Service);
    EXPECT_EQ(inquiry.since, Later - Age);
}

struct ResponseCase
{
    const char *name;
    std::optional<Instant> servedAt;
    std::optional<Instant> decoded;
    std::vector<EndpointProcess> crashed;
};

class InquiryResponses : public testing::TestWithParam<ResponseCase>
{};

const ResponseCase ResponseCases[] = {
        {"Served", Now - Age, Later - Age, {}},
        {"NotServed", std::nullopt, std::nullopt, {{EndpointId("a"), 5}, {EndpointId("b"), 0}}},
        // Guards against a time that is later than now at another host.
        {"FromTheFuture", Now + Age, Later, {}},
};

TEST_P(InquiryResponses, AreDecoded)
{
    const ResponseCase &row = GetParam();
    const InquiryResponse response = decodeInquiryResponse(
            parsed(encodeInquiryResponse({Part, Service, row.servedAt, row.crashed, {}}, Now)),
            Later);
    EXPECT_EQ(response.part, Part);
    EXPECT_EQ(response.service, Service);
    EXPECT_EQ(response.servedAt, row.decoded);
    EXPECT_EQ(response.crashed, row.crashed);
}

INSTANTIATE_TEST_SUITE_P(Rows, InquiryResponses, testing::ValuesIn(ResponseCases),
                         [](const auto &row) { return row.param.name; });

TEST(CrashMessage, QuarantinesAreDecodedAndBounded)
{
    Quarantine quarantine{Part, 2, Now + std::chrono::minutes(7), {}, HostId("h")};
    for (int i = 0; i < 100; ++i) {
        quarantine.crashed.push_back(
                {EndpointId("endpoint-" + std::to_string(i)), 1'800'000'000'000});
    }
    const Quarantine decoded = decodeQuarantine(parsed(encodeQuarantine(quarantine, Now)), Later);
    EXPECT_EQ(decoded.part, Part);
    EXPECT_EQ(decoded.level, 2U);
    EXPECT_EQ(decoded.until, Later + std::chrono::minutes(7));
    EXPECT_EQ(decoded.decidedBy, HostId("h"));
    EXPECT_EQ(decoded.crashed.size(), CrashingParts::MaxNamedEndpoints);
    quarantine.until = Now + std::chrono::hours(1000);
    EXPECT_EQ(decodeQuarantine(parsed(encodeQuarantine(quarantine, Now)), Later).until,
              Later + CrashingParts::MaxQuarantine);
}

struct OddQuarantineCase
{
    const char *name;
    int64_t remainingMillis;
    Interval left; ///< as decoded
};

class OddQuarantines : public testing::TestWithParam<OddQuarantineCase>
{};

// Guards against a quarantine whose time overflows, so that it is over at once.
TEST_P(OddQuarantines, AreBounded)
{
    const Quarantine quarantine{Part, 1, Now, {}, HostId("h")};
    nlohmann::json message = parsed(encodeQuarantine(quarantine, Now));
    message["remaining_ms"] = GetParam().remainingMillis;
    EXPECT_EQ(decodeQuarantine(message, Later).until, Later + GetParam().left);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, OddQuarantines,
        testing::Values(OddQuarantineCase{"Largest", INT64_MAX, CrashingParts::MaxQuarantine},
                        OddQuarantineCase{"Smallest", INT64_MIN, Interval::zero()}),
        [](const auto &row) { return row.param.name; });

class ProbeMessages : public testing::TestWithParam<ProbeResult>
{};

TEST_P(ProbeMessages, AreDecoded)
{
    const EndpointProcess process{EndpointId("e"), 17};
    const ProbeMessage request =
            decodeProbeMessage(parsed(encodeProbeRequest({HostId("h"), process, GetParam()})));
    EXPECT_EQ(request.from, HostId("h"));
    EXPECT_EQ(request.process, process);
    EXPECT_EQ(request.result, ProbeResult::Unknown);
    const ProbeMessage response =
            decodeProbeMessage(parsed(encodeProbeResponse({HostId("h"), process, GetParam()})));
    EXPECT_EQ(response.process, process);
    EXPECT_EQ(response.result, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Rows, ProbeMessages,
                         testing::Values(ProbeResult::Unknown, ProbeResult::Listens,
                                         ProbeResult::Ended));

// Guards against taking a result that this version doesn't know for the end of an endpoint.
TEST(CrashMessage, ResultsOfLaterVersionsTellNothing)
{
    nlohmann::json message =
            parsed(encodeProbeResponse({HostId("h"), {EndpointId("e"), 17}, ProbeResult::Ended}));
    message["result"] = "half_closed";
    EXPECT_EQ(decodeProbeMessage(message).result, ProbeResult::Unknown);
}

} // namespace
