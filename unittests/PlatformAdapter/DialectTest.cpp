/// Decoding and encoding of the platform's header fields.

#include <gtest/gtest.h>

#include "platform/PlatformDialect.h"

using namespace sequoiagate;

namespace {

RequestHead callerHead(HttpFields fields)
{
    RequestHead head;
    head.method = "POST";
    head.target = "/a/b";
    head.fields = std::move(fields);
    return head;
}

TEST(Dialect, DecodesRequestMetadata)
{
    const platform::PlatformDialect dialect;
    const RequestMetadata metadata = dialect.decodeCaller(
            callerHead({{"request-id", "r"},
                        {"Authorization", "Token k"},
                        {"Deadline-Ms", "1500"},
                        {"Token-Count", "1460,80"},
                        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                        {"Last-Event-Id", "12"},
                        {"resumes", "r0"}}));
    EXPECT_EQ(metadata.id, RequestId("r"));
    EXPECT_EQ(metadata.key, "k");
    EXPECT_EQ(metadata.timeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(metadata.promptTokens, 1460U);
    EXPECT_EQ(metadata.maxOutputTokens, 80U);
    ASSERT_EQ(metadata.prompt.size(), 3U);
    EXPECT_EQ(metadata.prompt[1].id, 0x91bd3f06U);
    EXPECT_EQ(metadata.prompt[2].tokens, 250U);
    EXPECT_EQ(metadata.lastEventId, 12U);
    EXPECT_EQ(metadata.resumedStream, RequestId("r0"));
}

// Guards against a 401 for a valid key: authentication schemes are case-insensitive.
TEST(Dialect, AuthorizationSchemeIsCaseInsensitive)
{
    const platform::PlatformDialect dialect;
    EXPECT_EQ(dialect.decodeCaller(callerHead({{"Authorization", "token k"}})).key, "k");
}

struct InvalidField
{
    const char *name;
    HttpField field;
};

class DialectInvalidField : public testing::TestWithParam<InvalidField>
{};

const InvalidField InvalidFields[] = {
        {"TokensWithoutOutput", {"Token-Count", "1460"}},
        {"TokensThatArentNumbers", {"Token-Count", "many,few"}},
        {"NegativeTokens", {"Token-Count", "-1,80"}},
        {"OtherScheme", {"Authorization", "Bearer k"}},
        {"PromptWithoutCounts", {"Prompt-Prefix", "5c1e,,:,zz:9"}},
        {"LastEventThatIsNoNumber", {"Last-Event-Id", "1x"}},
};

TEST_P(DialectInvalidField, IsIgnored)
{
    const platform::PlatformDialect dialect;
    const RequestMetadata metadata = dialect.decodeCaller(callerHead({GetParam().field}));
    EXPECT_FALSE(metadata.hasTokenCounts);
    EXPECT_TRUE(metadata.key.empty());
    EXPECT_TRUE(metadata.prompt.empty());
    EXPECT_FALSE(metadata.lastEventId);
}

INSTANTIATE_TEST_SUITE_P(Rows, DialectInvalidField, testing::ValuesIn(InvalidFields),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Dialect, ReservedFieldsOfTheCallerAreDropped)
{
    const platform::PlatformDialect dialect;
    const RequestHead head = dialect.encodeForward(
            callerHead({{"Hold", "h"},
                        {"pin-ms", "1"},
                        {"Kv-Backup", "x"},
                        {"Request-Priority", "0"},
                        {"Connection", "X-Hop"},
                        {"X-Hop", "1"},
                        {"Length-Hint", "9"}}),
            {std::chrono::milliseconds(70), EndpointId("e"), WorkspaceId("w"), 30, true, 4});
    const auto value = [&head](const char *name) {
        const std::string *found = findField(head.fields, name);
        return found == nullptr ? std::string() : *found;
    };
    EXPECT_EQ(value("Hold") + value("Pin-Ms") + value("Kv-Backup") + value("X-Hop"), "");
    EXPECT_EQ(value("Length-Hint"), "9");
    EXPECT_EQ(value("Deadline-Ms"), "70");
    EXPECT_EQ(value("Expect-Instance"), "e");
    EXPECT_EQ(value("Tenant"), "w");
    EXPECT_EQ(value("Request-Priority"), "9");
    EXPECT_EQ(value("Last-Event-Id"), "4");
}

TEST(Dialect, DecodesResponseMetadata)
{
    const platform::PlatformDialect dialect;
    ResponseHead head;
    head.status = 503;
    head.fields = {{"Request-Id", "r"},
                   {"Not-Executed", "1"},
                   {"Keep-Alive", "timeout=7, max=3"},
                   {"Content-Type", "text/event-stream; charset=utf-8"}};
    const ResponseMetadata metadata = dialect.decodeResponse(head);
    EXPECT_TRUE(metadata.notExecuted);
    EXPECT_EQ(metadata.requestId, RequestId("r"));
    EXPECT_EQ(metadata.keepAliveTimeout, std::chrono::seconds(7));
    EXPECT_TRUE(metadata.isEventStream);
    EXPECT_FALSE(metadata.hasSignature);
    head.status = 421;
    head.fields.clear();
    EXPECT_TRUE(dialect.decodeResponse(head).notExecuted);
}

struct NoticeCase
{
    const char *name;
    int status;
    std::vector<HttpField> fields;
    std::optional<double> maxRequestsPerSecond;
    std::optional<uint32_t> maxRejectionsPerSecond;
    bool rejected;
};

class DialectNotice : public testing::TestWithParam<NoticeCase>
{};

const NoticeCase NoticeCases[] = {
        {"None", 200, {}, std::nullopt, std::nullopt, false},
        {"RequestLimit", 200, {{"Server-Limit", " 2.1"}}, 2.1, std::nullopt, false},
        {"RequestLimitOfNone", 200, {{"server-limit", "0"}}, 0.0, std::nullopt, false},
        {"RejectionLimit", 200, {{"Server-Brittle", "4"}}, std::nullopt, 4U, false},
        {"Rejected", 503, {{"Not-Executed", "1"}, {"Server-Limit", "3"}}, 3.0, std::nullopt, true},
        {"FailedWhileItRan", 503, {}, std::nullopt, std::nullopt, false},
        {"Misdirected", 421, {{"Not-Executed", "1"}}, std::nullopt, std::nullopt, false},
        // Guards against reading a malformed limit as one of zero, which would stop all requests.
        {"Malformed",
         200,
         {{"Server-Limit", "-1"}, {"Server-Brittle", "few"}},
         std::nullopt,
         std::nullopt,
         false},
        {"NotFinite", 200, {{"Server-Limit", "inf"}}, std::nullopt, std::nullopt, false},
};

TEST_P(DialectNotice, IsDecoded)
{
    const NoticeCase &row = GetParam();
    ResponseHead head;
    head.status = row.status;
    head.fields = row.fields;
    const EndpointNotice notice = platform::PlatformDialect().decodeResponse(head).notice;
    EXPECT_EQ(notice.maxRequestsPerSecond, row.maxRequestsPerSecond);
    EXPECT_EQ(notice.maxRejectionsPerSecond, row.maxRejectionsPerSecond);
    EXPECT_EQ(notice.rejected, row.rejected);
}

INSTANTIATE_TEST_SUITE_P(Rows, DialectNotice, testing::ValuesIn(NoticeCases),
                         [](const auto &row) { return row.param.name; });

struct LeavingCase
{
    const char *name;
    int status;
    std::vector<HttpField> fields;
    bool isLeaving;
};

class DialectLeaving : public testing::TestWithParam<LeavingCase>
{};

const LeavingCase LeavingCases[] = {
        {"None", 200, {}, false},
        {"InASuccess", 200, {{"Server-Leaving", "1"}}, true},
        {"InARejection", 503, {{"Not-Executed", "1"}, {"server-leaving", " 1 "}}, true},
        {"InAFailure", 500, {{"Server-Leaving", "1"}}, true},
        {"Not", 200, {{"Server-Leaving", "0"}}, false},
        {"Empty", 200, {{"Server-Leaving", ""}}, false},
};

TEST_P(DialectLeaving, IsDecoded)
{
    ResponseHead head;
    head.status = GetParam().status;
    head.fields = GetParam().fields;
    const EndpointNotice notice = platform::PlatformDialect().decodeResponse(head).notice;
    EXPECT_EQ(notice.isLeaving, GetParam().isLeaving);
}

INSTANTIATE_TEST_SUITE_P(Rows, DialectLeaving, testing::ValuesIn(LeavingCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct BackoffCase
{
    const char *name;
    int status;
    std::vector<HttpField> fields;
    std::optional<Interval> backoff;
};

class DialectBackoff : public testing::TestWithParam<BackoffCase>
{};

const BackoffCase BackoffCases[] = {
        {"None", 503, {{"Not-Executed", "1"}}, std::nullopt},
        {"Seconds", 503, {{"Not-Executed", "1"}, {"Retry-After", "3"}}, std::chrono::seconds(3)},
        {"Fraction", 503, {{"retry-after", " 0.25 "}}, Millis(250)},
        {"Hours", 503, {{"Retry-After", "7200"}}, std::chrono::hours(2)},
        {"MoreThanADay", 503, {{"Retry-After", "1e12"}}, std::chrono::hours(24)},
        // Guards against a value that would stop all requests, or that only other statuses may
        // bear.
        {"Zero", 503, {{"Retry-After", "0"}}, std::nullopt},
        {"Negative", 503, {{"Retry-After", "-3"}}, std::nullopt},
        {"NoNumber", 503, {{"Retry-After", "soon"}}, std::nullopt},
        {"NotFinite", 503, {{"Retry-After", "inf"}}, std::nullopt},
        {"Date", 503, {{"Retry-After", "Fri, 04 Dec 2026 07:28:00 GMT"}}, std::nullopt},
        {"OtherRejection", 429, {{"Not-Executed", "1"}, {"Retry-After", "3"}}, std::nullopt},
        {"Success", 200, {{"Retry-After", "3"}}, std::nullopt},
};

TEST_P(DialectBackoff, IsDecoded)
{
    ResponseHead head;
    head.status = GetParam().status;
    head.fields = GetParam().fields;
    const EndpointNotice notice = platform::PlatformDialect().decodeResponse(head).notice;
    EXPECT_EQ(notice.backoff, GetParam().backoff);
}

INSTANTIATE_TEST_SUITE_P(Rows, DialectBackoff, testing::ValuesIn(BackoffCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Dialect, RefusalHasRetryAfter)
{
    const platform::PlatformDialect dialect;
    const ResponseHead head =
            dialect.encodeRefusal(503, RequestId("r"), std::chrono::milliseconds(250));
    EXPECT_EQ(*findField(head.fields, "Retry-After"), "0.250");
    EXPECT_EQ(findField(dialect.encodeRefusal(402, RequestId("r"), std::nullopt).fields,
                        "Retry-After"),
              nullptr);
}

} // namespace
