/// The router's small parts: event ids, server-sent events, keys, the chart of a
/// request's life, and settings.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sequoiagate/Base/Statechart.h"
#include "sequoiagate/Router/PlainService.h"
#include "sequoiagate/Router/ResumeToken.h"
#include "sequoiagate/Router/RouterSettings.h"
#include "sequoiagate/Router/SseReader.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

using namespace sequoiagate;

namespace {

RC_GTEST_PROP(ResumeToken, GivesBackWhatWasSigned,
              (const std::string &workspace, const std::string &stream, uint64_t position))
{
    ResumePoint point;
    point.workspace = WorkspaceId(workspace);
    point.engineStream = stream;
    point.position = position;
    point.outputCeiling = position / 2;
    const ResumeSigner signer("secret");
    try {
        const std::string token = signer.sign(point);
        RC_ASSERT(signer.verify(token) == point);
        RC_ASSERT(!ResumeSigner("another").verify(token));
        RC_ASSERT(token.find_first_of(" \r\n") == std::string::npos);
    } catch (const nlohmann::json::exception &) {
        RC_DISCARD("not UTF-8, which no name is");
    }
}

RC_GTEST_PROP(ResumeToken, RefusesEveryChangedCharacter, (uint64_t position))
{
    ResumePoint point;
    point.position = position;
    const ResumeSigner signer("secret");
    std::string token = signer.sign(point);
    const auto at = *rc::gen::inRange<std::size_t>(0, token.size());
    token[at] = token[at] == 'x' ? 'y' : 'x';
    const auto read = signer.verify(token);
    // A changed last character may spell the same bits of the code.
    RC_ASSERT(!read || (read == point && at + 3 >= token.size()));
}

// The bytes of a connection come in pieces of any size.
RC_GTEST_PROP(SseReader, ReadsEventsFromAnyPieces, ())
{
    const std::string text = ": comment\ndata: a\n\nid: 7\ndata: b\r\ndata:c\r\n\r\nevent: x\n\n"
                             "data: unfinished\n";
    SseReader reader;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < text.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, text.size() - at + 1);
        for (std::string &event : reader.feed(text.substr(at, size))) {
            events.push_back(std::move(event));
        }
        at += size;
    }
    RC_ASSERT(events == (std::vector<std::string>{"a", "b\nc"}));
}

struct KeyRow
{
    const char *name;
    const char *key;
    bool good;
};

constexpr KeyRow KeyRows[] = {
        {"Good", "01a2393e-a4e8-7f78-8132-b1bf65999542", true},
        {"UpperCase", "01A2393E-A4E8-7F78-B132-B1BF65999542", true},
        {"Version4", "01a2393e-a4e8-4f78-8132-b1bf65999542", false},
        {"OtherVariant", "01a2393e-a4e8-7f78-c132-b1bf65999542", false},
        {"Short", "01a2393e-a4e8-7f78-8132-b1bf6599954", false},
        {"NoDashes", "01a2393ea4e87f788132b1bf65999542----", false},
        {"NotHex", "01a2393e-a4e8-7f78-8132-b1bf6599954g", false},
        {"Empty", "", false},
};

class KeyForm : public testing::TestWithParam<KeyRow>
{};

TEST_P(KeyForm, IsAUuidV7OrNot)
{
    EXPECT_EQ(isUuidV7(GetParam().key), GetParam().good);
}

INSTANTIATE_TEST_SUITE_P(Keys, KeyForm, testing::ValuesIn(KeyRows),
                         [](const auto &row) { return std::string(row.param.name); });

struct AddressRow
{
    const char *name;
    const char *address;
};

constexpr AddressRow BadAddresses[] = {
        {"NoPort", "127.0.0.1"},
        {"EmptyPort", "127.0.0.1:"},
        {"NoIp", ":80"},
        {"PortTooHigh", "127.0.0.1:65536"},
        {"PortNoNumber", "127.0.0.1:8x"},
};

class BadAddress : public testing::TestWithParam<AddressRow>
{};

TEST_P(BadAddress, IsRefused)
{
    EXPECT_THROW(parseAddress(GetParam().address), SettingsError);
}

INSTANTIATE_TEST_SUITE_P(Addresses, BadAddress, testing::ValuesIn(BadAddresses),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(RequestChart, LeadsFromReceivedToAnswered)
{
    const Statechart chart = Statechart::parse(readShareFile("statecharts/request.json"));
    StatechartInstance position(chart);
    for (const char *event : {"reserved", "admitted", "sent", "not_run", "sent", "cut", "chunk",
                              "cut", "chunk", "whole"}) {
        position.handle(event);
    }
    EXPECT_EQ(position.state(), "answered");
}

} // namespace
