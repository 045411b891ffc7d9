/// The datagrams by which hosts tell each other at which software version a stream began, and what
/// a change of the configuration means for streams.

#include <gtest/gtest.h>

#include "lib/Edge/StreamOriginLink.h"
#include "lib/Edge/StreamOriginMessage.h"

using namespace sequoiagate;

namespace {

const HostId Sender("h1");
constexpr StreamKey Key = 0xFFFF'FFFF'FFFF'FFF1U;

nlohmann::json parsed(const std::string &text)
{
    const nlohmann::json message = nlohmann::json::parse(text);
    EXPECT_EQ(message.at("version"), 1);
    EXPECT_EQ(decodeSender(message), Sender);
    return message;
}

TEST(StreamOriginMessage, RecordsAndQueriesAreDecoded)
{
    const StreamRecord record =
            decodeStreamRecord(parsed(encodeStreamRecord(Sender, {Key, SoftwareVersion("v1")})));
    EXPECT_EQ(record.key, Key);
    EXPECT_EQ(record.version, SoftwareVersion("v1"));
    EXPECT_EQ(decodeStreamAck(parsed(encodeStreamAck(Sender, Key))), Key);
    const OriginQuery query =
            decodeOriginQuery(parsed(encodeOriginQuery(Sender, {Key, ServiceId("s")})));
    EXPECT_EQ(query.key, Key);
    EXPECT_EQ(query.service, ServiceId("s"));
}

struct ResponseCase
{
    const char *name;
    std::optional<SoftwareVersion> recorded;
    VersionView listed;
};

class OriginResponses : public testing::TestWithParam<ResponseCase>
{};

const ResponseCase ResponseCases[] = {
        {"Recorded", SoftwareVersion("v1"), {VersionKnowledge::Several, {}}},
        {"RecordedWithoutVersion", SoftwareVersion(), {VersionKnowledge::Unknown, {}}},
        {"NotRecorded", std::nullopt, {VersionKnowledge::Unknown, {}}},
        {"SoleVersion", std::nullopt, {VersionKnowledge::Sole, SoftwareVersion("v2")}},
};

TEST_P(OriginResponses, AreDecoded)
{
    const ResponseCase &row = GetParam();
    const OriginResponse decoded = decodeOriginResponse(
            parsed(encodeOriginResponse(Sender, {Key, row.recorded, row.listed})));
    EXPECT_EQ(decoded.key, Key);
    EXPECT_EQ(decoded.recorded, row.recorded);
    EXPECT_EQ(decoded.listed.knowledge, row.listed.knowledge);
    EXPECT_EQ(decoded.listed.version, row.listed.version);
}

INSTANTIATE_TEST_SUITE_P(Rows, OriginResponses, testing::ValuesIn(ResponseCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a process that ends because a name isn't valid UTF-8.
TEST(StreamOriginMessage, NamesMayHoldAnyBytes)
{
    EXPECT_NO_THROW(encodeOriginQuery(HostId("\xFF"), {Key, ServiceId("\x80")}));
}

// Guards against misreading what a later version of this program knows.
TEST(StreamOriginMessage, UnknownKnowledgeIsNone)
{
    nlohmann::json message =
            parsed(encodeOriginResponse(Sender, {Key, std::nullopt, {VersionKnowledge::Sole, {}}}));
    message["listed"] = "later";
    EXPECT_EQ(decodeOriginResponse(message).listed.knowledge, VersionKnowledge::Unknown);
}

Route route(const char *prefix, RouteKind kind, std::vector<WeightedService> services,
            Interval timeout)
{
    Route result;
    result.host = "h";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.services = std::move(services);
    result.timeout = timeout;
    return result;
}

TEST(StreamsOfAConfiguration, AreLimitedByTheirRoutes)
{
    ServingConfig config;
    EXPECT_EQ(longestStream(config), Interval());
    config.routes = {route("/a/", RouteKind::Stream, {}, std::chrono::seconds(5)),
                     route("/b/", RouteKind::Stream, {}, std::chrono::seconds(15)),
                     route("/c/", RouteKind::Idempotent, {}, std::chrono::seconds(60))};
    EXPECT_EQ(longestStream(config), std::chrono::seconds(15));
}

TEST(StreamsOfAConfiguration, MoveWithTheirRoutes)
{
    const Interval timeout = std::chrono::seconds(5);
    const WeightedService s{ServiceId("s"), 1};
    const WeightedService t{ServiceId("t"), 1};
    ServingConfig before;
    before.routes = {route("/same/", RouteKind::Stream, {s}, timeout),
                     route("/split/", RouteKind::Stream, {s}, timeout),
                     route("/plain/", RouteKind::Idempotent, {s}, timeout)};
    ServingConfig after = before;
    EXPECT_TRUE(movedServices(after, before).empty());
    after.routes[1].services = {s, t};
    after.routes[2].services = {{ServiceId("u"), 1}};
    after.routes.push_back(route("/new/", RouteKind::Stream, {{ServiceId("w"), 1}}, timeout));
    EXPECT_EQ(movedServices(after, before), std::vector<ServiceId>{ServiceId("t")});
}

} // namespace
