#include "sequoiagate/Router/ChatOrder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sequoiagate;

namespace {

constexpr OutputLimits Limits{100, 1000};

struct BadBody
{
    const char *name;
    const char *text;
    const char *complaint;
};

constexpr BadBody BadBodies[] = {
        {"NotJson", "{", "JSON object"},
        {"List", "[]", "JSON object"},
        {"NoModel", R"({"messages":[{"content":"x"}]})", "'model'"},
        {"EmptyModel", R"({"model":"","messages":[{"content":"x"}]})", "'model'"},
        {"NoMessages", R"({"model":"m"})", "'messages'"},
        {"EmptyMessages", R"({"model":"m","messages":[]})", "'messages'"},
        {"MessageNoObject", R"({"model":"m","messages":["x"]})", "'messages'"},
        {"ManyChoices", R"({"model":"m","messages":[{"content":"x"}],"n":2})", "'n'"},
        {"StreamNoFlag", R"({"model":"m","messages":[{"content":"x"}],"stream":"yes"})",
         "'stream'"},
        {"NoTokens", R"({"model":"m","messages":[{"content":"x"}],"max_tokens":0})",
         "'max_tokens'"},
        {"NegativeTokens", R"({"model":"m","messages":[{"content":"x"}],"max_tokens":-1})",
         "'max_tokens'"},
        {"HalfATokens", R"({"model":"m","messages":[{"content":"x"}],"max_tokens":1.5})",
         "'max_tokens'"},
};

class ChatBodyRefused : public testing::TestWithParam<BadBody>
{};

TEST_P(ChatBodyRefused, NamesTheKey)
{
    try {
        readChatBody(GetParam().text, Limits);
        FAIL() << "the body was taken";
    } catch (const VerdictError &error) {
        EXPECT_EQ(error.verdict().reason, Reason::BadRequest);
        EXPECT_EQ(error.verdict().execution, Execution::NotRun);
        EXPECT_NE(error.verdict().detail.find(GetParam().complaint), std::string::npos)
                << error.verdict().detail;
    }
}

INSTANTIATE_TEST_SUITE_P(Bodies, ChatBodyRefused, testing::ValuesIn(BadBodies),
                         [](const auto &row) { return std::string(row.param.name); });

struct CeilingRow
{
    const char *name;
    const char *keys;
    uint64_t ceiling;
};

constexpr CeilingRow CeilingRows[] = {
        {"Default", "", 100},
        {"Asked", R"(,"max_tokens":7)", 7},
        {"NewerKey", R"(,"max_completion_tokens":8)", 8},
        {"Capped", R"(,"max_tokens":5000)", 1000},
        {"Null", R"(,"max_tokens":null)", 100},
};

class Ceiling : public testing::TestWithParam<CeilingRow>
{};

// What the engine is told is what is reserved: were it told less or nothing, its own
// default could pass the reservation.
TEST_P(Ceiling, IsWhatTheEngineIsTold)
{
    const std::string text =
            std::string(R"({"model":"m","messages":[{"content":"x"}])") + GetParam().keys + "}";
    const ChatBody body = readChatBody(text, Limits);
    EXPECT_EQ(body.order.outputCeiling, GetParam().ceiling);
    const nlohmann::json engine = nlohmann::json::parse(body.order.engineBody);
    EXPECT_EQ(engine.at("max_tokens"), GetParam().ceiling);
    EXPECT_EQ(engine.at("stream"), true);
    EXPECT_FALSE(engine.contains("max_completion_tokens"));
}

INSTANTIATE_TEST_SUITE_P(Bodies, Ceiling, testing::ValuesIn(CeilingRows),
                         [](const auto &row) { return std::string(row.param.name); });

// A token covers at least a byte, so no prompt has more tokens than its bytes and what
// each message adds.
RC_GTEST_PROP(PromptBound, CoversAllContents, (const std::vector<std::string> &contents))
{
    nlohmann::json body = {{"messages", nlohmann::json::array()}};
    uint64_t least = 0;
    for (const std::string &content : contents) {
        body["messages"].push_back({{"role", "user"}, {"content", content}});
        least += content.size() + TokensPerMessage;
    }
    RC_ASSERT(promptBoundOf(body) >= least);
}

TEST(PromptBound, CountsPicturesAndTools)
{
    const nlohmann::json part = {{"type", "image_url"}, {"image_url", {{"url", "http://h/p"}}}};
    const nlohmann::json message = {{"role", "user"}, {"content", nlohmann::json::array({part})}};
    nlohmann::json body = {{"messages", nlohmann::json::array({message})}};
    const uint64_t plain = promptBoundOf(body);
    EXPECT_GE(plain, TokensPerImage);
    body["tools"] = std::string(1000, 't');
    EXPECT_GE(promptBoundOf(body), plain + 1000);
}

} // namespace
