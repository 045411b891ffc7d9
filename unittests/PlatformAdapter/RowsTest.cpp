/// Decoding of the platform's rows and of the store's responses. Errors name the invalid field
/// and affect nothing else.

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "platform/PlatformRows.h"
#include "platform/PlatformStore.h"
#include "sequoiagate/Edge/EdgeAdapter.h"
#include "unittests/Support/CorruptedJson.h"

using namespace sequoiagate;

namespace {

const std::string GoodConfig = R"({"version":7,"new-field":1,"routes":[
 {"name":"r1","host":"H.example","path-prefix":"/a/","type":"streaming","timeout-ms":5000.0,
  "slo-ms":800,"priority":1,"split":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],
  "max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":300},
 {"name":"r2","host":"h.example","path-prefix":"/a/b/","type":"idempotent","timeout-ms":100,
  "slo-ms":50,"priority":0,"backend":"s2","max-attempts":1,"public":true}],
 "backends":[{"name":"s1","health-path":"/h","max-conns":370,"engine":{"stride":4}},
             {"name":"s2","max-conns":10}],
 "limits":{"max-header-bytes":100,"max-body-bytes":200,"header-timeout-ms":3,"idle-timeout-ms":4},
 "tenants":[{"name":"w","api-keys":["k1","k2"],"priority":3,"prepaid":99}]})";

TEST(ConfigRow, IsDecoded)
{
    const ServingConfigPtr config = platform::decodeConfig(GoodConfig);
    EXPECT_EQ(config->version, 7U);
    const Route *route = config->findRoute("h.EXAMPLE:80", "/a/x?y=/b/");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->name, "r1");
    EXPECT_EQ(route->kind, RouteKind::Stream);
    EXPECT_EQ(route->services.size(), 2U);
    EXPECT_EQ(route->timeout, std::chrono::seconds(5));
    EXPECT_TRUE(route->resumable);
    EXPECT_TRUE(route->requiresApiKey);
    EXPECT_EQ(config->findRoute("h.example", "/a/b/c")->name, "r2");
    EXPECT_EQ(config->findRoute("h.example", "/ab/c"), nullptr);
    EXPECT_EQ(config->findRoute("other", "/a/b/c"), nullptr);
    EXPECT_EQ(config->findService(ServiceId("s1"))->tokensPerEvent, 4U);
    EXPECT_FALSE(config->findService(ServiceId("s2"))->isModelEngine);
    ASSERT_NE(config->findWorkspaceByKey("k2"), nullptr);
    EXPECT_EQ(config->findWorkspaceByKey("k2")->prepaidTokens, 99U);
    EXPECT_EQ(config->findWorkspaceByKey("k3"), nullptr);
    EXPECT_EQ(config->limits.maxBodyBytes, 200U);
}

struct CorruptedDocumentCase
{
    const char *name;
    std::string document;
    void (*decode)(const std::string &value);
};

class CorruptedDocuments : public testing::TestWithParam<CorruptedDocumentCase>
{};

// Guards against an entry of another writer that ends each host which reads it.
TEST_P(CorruptedDocuments, AreRejectedOrBounded)
{
    for (const std::string &value : corruptedCopies(GetParam().document)) {
        try {
            GetParam().decode(value);
        } catch (const DecodeError &) {
        } catch (const std::exception &error) {
            ADD_FAILURE() << error.what() << ": " << value;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
        Rows, CorruptedDocuments,
        testing::Values(
                CorruptedDocumentCase{"Config", GoodConfig,
                                      [](const std::string &value) {
                                          platform::decodeConfig(value);
                                      }},
                CorruptedDocumentCase{
                        "Endpoint",
                        R"({"backend":"s","address":"10.0.0.1:80","zone":"z","slots":8,"version":"v",
                            "state":"ready","born":5,"seq":6,"cold-left-ms":7})",
                        [](const std::string &value) {
                            platform::decodeEndpoint("e", value);
                        }}),
        [](const auto &row) { return row.param.name; });

// Guards against a timeout that overflows and is over before it begins.
TEST(ConfigRow, LongTimeoutsAreBounded)
{
    nlohmann::json row = nlohmann::json::parse(GoodConfig);
    row["routes"][0]["timeout-ms"] = 1e15;
    const ServingConfigPtr config = platform::decodeConfig(row.dump());
    EXPECT_EQ(config->findRoute("h.example", "/a/x")->timeout, std::chrono::hours(24) * 365);
}

struct KvTokensCase
{
    const char *name;
    const char *field; ///< of a service's engine
    uint64_t decoded;
    std::size_t warnings;
};

class KvTokens : public testing::TestWithParam<KvTokensCase>
{};

// Guards against a configuration that is rejected, or an endpoint that gets no requests, for an
// invalid statement of its memory.
const KvTokensCase KvTokensCases[] = {
        {"Missing", "", 0, 0},
        {"Null", R"("kv-tokens":null,)", 0, 0},
        {"Stated", R"("kv-tokens":386933,)", 386'933, 0},
        {"Zero", R"("kv-tokens":0,)", 0, 1},
        {"Negative", R"("kv-tokens":-1,)", 0, 1},
        {"Huge", R"("kv-tokens":1e300,)", 0, 1},
        {"NotANumber", R"("kv-tokens":"many",)", 0, 1},
};

TEST_P(KvTokens, OfInvalidFieldsAreUnknown)
{
    const std::string row =
            std::string(R"({"version":1,"routes":[],"backends":[{"name":"s1","engine":{)")
            + GetParam().field + R"("stride":4}}]})";
    const ServingConfigPtr config = platform::decodeConfig(row);
    const ServiceSpec *service = config->findService(ServiceId("s1"));
    ASSERT_NE(service, nullptr);
    EXPECT_EQ(service->kvTokens, GetParam().decoded);
    EXPECT_EQ(service->tokensPerEvent, 4U);
    EXPECT_EQ(config->warnings.size(), GetParam().warnings);
}

INSTANTIATE_TEST_SUITE_P(Rows, KvTokens, testing::ValuesIn(KvTokensCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct ColdTimeCase
{
    const char *name;
    const char *left; ///< field of an endpoint's row; empty: it isn't there
    std::optional<Interval> decoded;
};

class ColdTime : public testing::TestWithParam<ColdTimeCase>
{};

// Guards against an endpoint that is lost for an invalid statement of how long it is cold.
TEST_P(ColdTime, IsDecodedOrLeftOut)
{
    const ColdTimeCase &row = GetParam();
    std::string entry = R"({"backend":"s","address":"10.0.0.1:80","zone":"z","slots":8,)"
                        R"("state":"ready")";
    entry += std::string(row.left).empty() ? "}"
                                           : ",\"cold-left-ms\":" + std::string(row.left) + "}";
    EXPECT_EQ(platform::decodeEndpoint("e", entry).coldLeft, row.decoded);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, ColdTime,
        testing::Values(ColdTimeCase{"Stated", "1500", std::chrono::milliseconds(1500)},
                        ColdTimeCase{"Fraction", "0.5", std::chrono::microseconds(500)},
                        ColdTimeCase{"Warm", "0", Interval::zero()},
                        ColdTimeCase{"Missing", "", std::nullopt},
                        ColdTimeCase{"Null", "null", std::nullopt},
                        ColdTimeCase{"Negative", "-1", std::nullopt},
                        ColdTimeCase{"Huge", "1e300", std::chrono::minutes(10)},
                        ColdTimeCase{"OtherType", "\"1500\"", std::nullopt}),
        [](const auto &row) { return row.param.name; });

struct ColdServiceCase
{
    const char *name;
    const char *fields;
    Interval duration;
    double perSecond;
};

class ColdServiceRow : public testing::TestWithParam<ColdServiceCase>
{};

TEST_P(ColdServiceRow, IsDecodedOrNeverCold)
{
    const ColdServiceCase &row = GetParam();
    const ServingConfigPtr config = platform::decodeConfig(
            std::string(R"({"version":7,"routes":[],"backends":[{"name":"s")") + row.fields
            + "}]}");
    const ServiceSpec *service = config->findService(ServiceId("s"));
    ASSERT_NE(service, nullptr);
    EXPECT_EQ(service->coldDuration, row.duration);
    EXPECT_EQ(service->coldRequestsPerSecond, row.perSecond);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, ColdServiceRow,
        testing::Values(ColdServiceCase{"None", "", Interval::zero(), 0.0},
                        ColdServiceCase{"Both", R"(,"cold-s":3.0,"cold-per-s":8.0)",
                                        std::chrono::seconds(3), 8.0},
                        ColdServiceCase{"Negative", R"(,"cold-s":-3,"cold-per-s":-8)",
                                        Interval::zero(), 0.0},
                        ColdServiceCase{"Huge", R"(,"cold-s":1e300,"cold-per-s":8)",
                                        std::chrono::minutes(10), 8.0},
                        ColdServiceCase{"OtherType", R"(,"cold-s":"3","cold-per-s":[8])",
                                        Interval::zero(), 0.0}),
        [](const auto &row) { return row.param.name; });

struct RegionsCase
{
    const char *name;
    const char *value; ///< of the field; empty: it isn't there
    RegionRestriction decoded;
    std::size_t warnings;
};

class AllowedRegions : public testing::TestWithParam<RegionsCase>
{};

// Guards against a configuration that is lost for an invalid list of regions, and against reading
// such a list as if any region were allowed.
TEST_P(AllowedRegions, AreDecodedForRoutesAndWorkspaces)
{
    const RegionsCase &row = GetParam();
    const std::string value(row.value);
    const std::string field = value.empty() ? "" : ",\"allowed-regions\":" + value;
    const ServingConfigPtr config = platform::decodeConfig(
            R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/","backend":"s",)"
            R"("type":"idempotent")"
            + field + R"(}],"tenants":[{"name":"w","api-keys":["k"])" + field + "}]}");
    EXPECT_EQ(config->routes.at(0).regions, row.decoded);
    EXPECT_EQ(config->workspaces.at(0).regions, row.decoded);
    EXPECT_EQ(config->warnings.size(), row.warnings);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, AllowedRegions,
        testing::Values(RegionsCase{"Missing", "", RegionRestriction(), 0},
                        RegionsCase{"Null", "null", RegionRestriction(), 0},
                        RegionsCase{"Empty", "[]", RegionRestriction(), 0},
                        RegionsCase{"Two", R"(["a","b"])",
                                    RegionRestriction({RegionId("a"), RegionId("b")}), 0},
                        RegionsCase{"OtherType", R"("a")",
                                    RegionRestriction(std::vector<RegionId>()), 2},
                        RegionsCase{"OtherTypeInTheList", R"(["a",7])",
                                    RegionRestriction(std::vector<RegionId>()), 2}),
        [](const auto &row) { return row.param.name; });

struct EvacuationKeyCase
{
    const char *name;
    const char *key;
    std::optional<const char *> domain;
};

class EvacuationKey : public testing::TestWithParam<EvacuationKeyCase>
{};

TEST_P(EvacuationKey, NamesTheDomain)
{
    const std::optional<DomainId> domain = platform::decodeEvacuationKey(GetParam().key);
    ASSERT_EQ(domain.has_value(), GetParam().domain.has_value());
    if (domain) {
        EXPECT_EQ(domain->text(), *GetParam().domain);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, EvacuationKey,
                         testing::Values(EvacuationKeyCase{"Domain", "evacuate/d-a", "d-a"},
                                         EvacuationKeyCase{"DomainWithSlash", "evacuate/a/b",
                                                           "a/b"},
                                         EvacuationKeyCase{"NoDomain", "evacuate/", std::nullopt},
                                         EvacuationKeyCase{"Configuration", "config", std::nullopt},
                                         EvacuationKeyCase{"Other", "evacuated/a", std::nullopt}),
                         [](const auto &row) { return row.param.name; });

// Guards against a 401 for all callers of a deployment without workspaces, which have no API
// keys.
TEST(ConfigRow, WithoutWorkspacesRequiresNoApiKey)
{
    const ServingConfigPtr config = platform::decodeConfig(
            R"({"version":7,"backends":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
            R"("path-prefix":"/","type":"idempotent","backend":"s"}]})");
    ASSERT_NE(config->findRoute("h", "/a"), nullptr);
    EXPECT_FALSE(config->findRoute("h", "/a")->requiresApiKey);
}

struct BadRow
{
    const char *name;
    std::string value;
    const char *expectedText; ///< substring of the error message
};

class BadConfig : public testing::TestWithParam<BadRow>
{};

const BadRow BadConfigs[] = {
        {"Empty", "", "JSON"},
        {"Truncated", R"({"version":7,"routes":[)", "JSON"},
        {"NotAnObject", "[1]", "JSON"},
        {"WithoutVersion", R"({"routes":[]})", "version"},
        {"VersionIsText", R"({"version":"7"})", "version"},
        {"NegativeVersion", R"({"version":-7})", "version"},
        {"RoutesAreNotAnArray", R"({"version":7,"routes":{}})", "routes"},
        {"UnknownKind",
         R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/","type":"x","backend":"s"}]})",
         "type"},
        {"RouteWithoutService",
         R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/","type":"streaming"}]})",
         "backend"},
};

TEST_P(BadConfig, ErrorNamesTheField)
{
    try {
        platform::decodeConfig(GetParam().value);
        FAIL() << "was accepted";
    } catch (const DecodeError &error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().expectedText), std::string::npos)
                << error.what();
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, BadConfig, testing::ValuesIn(BadConfigs),
                         [](const auto &row) { return std::string(row.param.name); });

const std::string GoodEndpoint =
        R"({"backend":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","born":5,"version":"v1.2"})";

TEST(EndpointRow, IsDecoded)
{
    const EndpointEntry entry = platform::decodeEndpoint("i-1", GoodEndpoint);
    EXPECT_EQ(entry.id, EndpointId("i-1"));
    EXPECT_EQ(entry.service, ServiceId("s"));
    EXPECT_EQ(entry.domain, DomainId("z"));
    EXPECT_EQ(entry.slots, 6U);
    EXPECT_FALSE(entry.draining);
    EXPECT_EQ(entry.startedAtMillis, 5U);
    EXPECT_EQ(entry.version, SoftwareVersion("v1.2"));
}

TEST(EndpointRow, MayStateNoVersion)
{
    const EndpointEntry entry = platform::decodeEndpoint(
            "i-1", R"({"backend":"s","address":"a","zone":"z","slots":6,"state":"ready"})");
    EXPECT_TRUE(entry.version.empty());
}

class BadEndpoint : public testing::TestWithParam<BadRow>
{};

const BadRow BadEndpoints[] = {
        {"Bytes", std::string("\x00\xff\x80", 3), "JSON"},
        {"WithoutService", R"({"address":"a","zone":"z","slots":6,"state":"ready"})", "backend"},
        {"AddressIsNumber", R"({"backend":"s","address":1,"zone":"z","slots":6,"state":"ready"})",
         "address"},
        {"SlotsAreText", R"({"backend":"s","address":"a","zone":"z","slots":"6","state":"ready"})",
         "slots"},
        {"UnknownState", R"({"backend":"s","address":"a","zone":"z","slots":6,"state":"odd"})",
         "state"},
        {"VersionIsNumber",
         R"({"backend":"s","address":"a","zone":"z","slots":6,"state":"ready","version":2})",
         "version"},
        {"WithoutState", R"({"backend":"s","address":"a","zone":"z","slots":6})", "state"},
        {"SlotsBeyondTheirType",
         R"({"backend":"s","address":"a","zone":"z","slots":4294967296,"state":"ready"})", "slots"},
        {"LargestNumberOfSlots",
         R"({"backend":"s","address":"a","zone":"z","slots":1e15,"state":"ready"})", "slots"},
};

TEST_P(BadEndpoint, ErrorNamesTheField)
{
    try {
        platform::decodeEndpoint("i", GetParam().value);
        FAIL() << "was accepted";
    } catch (const DecodeError &error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().expectedText), std::string::npos)
                << error.what();
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, BadEndpoint, testing::ValuesIn(BadEndpoints),
                         [](const auto &row) { return std::string(row.param.name); });

// ---- the store's responses ----

std::string tailBody(const std::string &records)
{
    // The topic's end offset, then its first offset.
    return std::string(7, '\0') + '\x39' + std::string(8, '\0') + records;
}

TEST(StoreResponse, DecodesEncodedRows)
{
    const std::string records = platform::encodeRows({{"k", "value", 0}, {"gone", "", 0}});
    const TailAnswer response = platform::decodeTail(200, tailBody(records), 40);
    ASSERT_EQ(response.rows.size(), 2U);
    EXPECT_EQ(response.rows[0].key, "k");
    EXPECT_EQ(response.rows[0].value, "value");
    EXPECT_EQ(response.rows[0].offset, 40U);
    EXPECT_TRUE(response.rows[1].value.empty());
    EXPECT_EQ(response.next, 42U);
    EXPECT_EQ(response.end, 57U);
}

TEST(StoreResponse, TruncatedRecordIsReadAgain)
{
    std::string records = platform::encodeRows({{"a", "1", 0}, {"b", "22", 0}});
    records.pop_back();
    const TailAnswer response = platform::decodeTail(200, tailBody(records), 7);
    EXPECT_EQ(response.rows.size(), 1U);
    EXPECT_EQ(response.next, 8U);
}

TEST(StoreResponse, InvalidRecordIsSkipped)
{
    // A record of two bytes whose key length is nine.
    const std::string odd("\x00\x00\x00\x02\x09z", 6);
    const std::string records = odd + platform::encodeRows({{"b", "2", 0}});
    const TailAnswer response = platform::decodeTail(200, tailBody(records), 7);
    ASSERT_EQ(response.rows.size(), 1U);
    EXPECT_EQ(response.rows[0].offset, 8U);
    EXPECT_EQ(response.next, 9U);
}

struct StatusCase
{
    const char *name;
    int status;
    std::string body;
    StoreOutcome tail;
    StoreOutcome append;
};

class StoreStatus : public testing::TestWithParam<StatusCase>
{};

const StatusCase StatusCases[] = {
        {"NoResponse", 0, "", StoreOutcome::Unreachable, StoreOutcome::Unreachable},
        {"Fenced", 409, R"({"reason":"fenced"})", StoreOutcome::Rejected, StoreOutcome::Rejected},
        {"Sequence", 409, R"({"reason":"seq","seq":4})", StoreOutcome::Rejected,
         StoreOutcome::OutOfOrder},
        {"Gone", 410, R"({"first":9})", StoreOutcome::Gone, StoreOutcome::Gone},
        {"Moved", 412, R"({"end":9})", StoreOutcome::Refused, StoreOutcome::Refused},
        {"TooMany", 429, "", StoreOutcome::Refused, StoreOutcome::Refused},
        {"Busy", 503, "not json", StoreOutcome::Refused, StoreOutcome::Refused},
        {"Full", 507, "", StoreOutcome::Refused, StoreOutcome::Refused},
        {"Truncated", 200, "short", StoreOutcome::Unreachable, StoreOutcome::Ok},
        {"Forbidden", 403, "", StoreOutcome::Rejected, StoreOutcome::Rejected},
};

TEST_P(StoreStatus, IsMappedToAnOutcome)
{
    const StatusCase &row = GetParam();
    EXPECT_EQ(platform::decodeTail(row.status, row.body, 5).outcome, row.tail);
    EXPECT_EQ(platform::decodeTail(row.status, row.body, 5).next, 5U);
    EXPECT_EQ(platform::decodeAppend(row.status, row.body, 1).outcome, row.append);
}

INSTANTIATE_TEST_SUITE_P(Rows, StoreStatus, testing::ValuesIn(StatusCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(StoreResponse, AppendReturnsTheEndOffset)
{
    EXPECT_EQ(platform::decodeAppend(200, R"({"offset":8,"end":20})", 2).end, 10U);
    EXPECT_EQ(platform::decodeAppend(409, R"({"reason":"seq","seq":4})", 2).expectedSeq, 4U);
}

TEST(StoreResponse, DecodesSnapshotPage)
{
    const std::string body = R"({"items":[{"key":"k","value":")" + absl::Base64Escape("v1")
                             + R"(","offset":4}],"has-more":true,"end":6})";
    const SnapshotAnswer response = platform::decodeSnapshot(200, body);
    ASSERT_EQ(response.rows.size(), 1U);
    EXPECT_EQ(response.rows[0].value, "v1");
    EXPECT_TRUE(response.more);
    EXPECT_EQ(response.end, 6U);
    EXPECT_EQ(platform::decodeSnapshot(200, "{\"items\":").outcome, StoreOutcome::Unreachable);
    EXPECT_EQ(platform::decodeSnapshot(404, "").outcome, StoreOutcome::Ok);
}

} // namespace
