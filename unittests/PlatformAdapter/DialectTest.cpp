/// The platform's headers, decoded and encoded.

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

TEST(Dialect, CallersTerms)
{
    const platform::PlatformDialect dialect;
    const RequestMetadata terms = dialect.decodeCaller(
            callerHead({{"request-id", "r"},
                        {"Authorization", "Token k"},
                        {"Deadline-Ms", "1500"},
                        {"Token-Count", "1460,80"},
                        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                        {"Last-Event-Id", "12"}}));
    EXPECT_EQ(terms.id, RequestId("r"));
    EXPECT_EQ(terms.key, "k");
    EXPECT_EQ(terms.timeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(terms.promptTokens, 1460U);
    EXPECT_EQ(terms.maxOutputTokens, 80U);
    ASSERT_EQ(terms.prompt.size(), 3U);
    EXPECT_EQ(terms.prompt[1].id, 0x91bd3f06U);
    EXPECT_EQ(terms.prompt[2].tokens, 250U);
    EXPECT_EQ(terms.lastEventId, 12U);
}

// A caller gets 401 for its own key: schemes are the same in either case.
TEST(Dialect, SchemeOfTheKeyIsReadInEitherCase)
{
    const platform::PlatformDialect dialect;
    EXPECT_EQ(dialect.decodeCaller(callerHead({{"Authorization", "token k"}})).key, "k");
}

struct OddTerms
{
    const char *name;
    HttpField field;
};

class DialectOddTerms : public testing::TestWithParam<OddTerms>
{};

const OddTerms OddCases[] = {
        {"TokensWithoutOutput", {"Token-Count", "1460"}},
        {"TokensThatArentNumbers", {"Token-Count", "many,few"}},
        {"NegativeTokens", {"Token-Count", "-1,80"}},
        {"OtherScheme", {"Authorization", "Bearer k"}},
        {"PromptWithoutCounts", {"Prompt-Prefix", "5c1e,,:,zz:9"}},
        {"LastEventThatIsNoNumber", {"Last-Event-Id", "1x"}},
};

TEST_P(DialectOddTerms, SayNothing)
{
    const platform::PlatformDialect dialect;
    const RequestMetadata terms = dialect.decodeCaller(callerHead({GetParam().field}));
    EXPECT_FALSE(terms.hasTokenCounts);
    EXPECT_TRUE(terms.key.empty());
    EXPECT_TRUE(terms.prompt.empty());
    EXPECT_FALSE(terms.lastEventId);
}

INSTANTIATE_TEST_SUITE_P(Rows, DialectOddTerms, testing::ValuesIn(OddCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Dialect, CallerCantSayWhatOnlyThisProgramMay)
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

TEST(Dialect, EndpointsAnswer)
{
    const platform::PlatformDialect dialect;
    ResponseHead head;
    head.status = 503;
    head.fields = {{"Request-Id", "r"},
                   {"Not-Executed", "1"},
                   {"Keep-Alive", "timeout=7, max=3"},
                   {"Content-Type", "text/event-stream; charset=utf-8"}};
    const ResponseMetadata terms = dialect.decodeResponse(head);
    EXPECT_TRUE(terms.notExecuted);
    EXPECT_EQ(terms.requestId, RequestId("r"));
    EXPECT_EQ(terms.keepAliveTimeout, std::chrono::seconds(7));
    EXPECT_TRUE(terms.isEventStream);
    EXPECT_FALSE(terms.hasSignature);
    head.status = 421;
    head.fields.clear();
    EXPECT_TRUE(dialect.decodeResponse(head).notExecuted);
}

TEST(Dialect, RefusalSaysWhenToComeBack)
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
