/// Rows and datagrams of other writers that can't be read, in each topic that hosts follow.

#include <iterator>
#include <sstream>

#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

struct OddRowCase
{
    const char *name;
    std::function<std::string()> value;
};

class OddRows : public EdgeProcess, public testing::WithParamInterface<OddRowCase>
{
protected:
    void putOddRows()
    {
        const std::string value = GetParam().value();
        store_.put("keyed.servers", "odd", value);
        store_.put("keyed.op", "odd", value);
        store_.put("keyed.op", "evacuate/odd", value);
        for (const char *key :
             {"odd", "host/odd", "host/h1", "host/h3", "versions/s", "versions/odd", "budget/odd/w",
              "batch/odd", "quarantine/00000000000000ff", "quarantine/request/00000000000000ff"}) {
            store_.put(OwnTopic, key, value);
        }
    }

    /// Whether a host that runs still follows the list of endpoints, and serves.
    void expectFollows(Process &edge, int host, const std::string &endpoint)
    {
        EXPECT_NO_THROW(edge.waitFor("endpoint.listed", [&endpoint](const Process::Line &line) {
            return line.at("endpoint") == endpoint;
        }));
        EXPECT_EQ(status(post(host, "after-" + endpoint, 1)), 200);
        EXPECT_TRUE(edge.running());
    }
};

// Guards against a row of another writer that ends all hosts, or those that start, or keeps them
// from following the list.
TEST_P(OddRows, StopNoHost)
{
    const auto before = start(1, "before");
    EXPECT_TRUE(eventually([] { return status(post(1, "first", 1)) == 200; }));
    putOddRows();
    EndpointStandin second(ip(202), "e-2");
    list(second, "ready");
    expectFollows(*before, 1, "e-2");
    const auto later = start(2, "later");
    EXPECT_TRUE(eventually([] { return status(post(2, "first-of-2", 1)) == 200; }));
    EndpointStandin third(ip(203), "e-3");
    list(third, "ready");
    expectFollows(*later, 2, "e-3");
    expectFollows(*before, 1, "e-3");
}

// Guards against a configuration that can't be read and ends all hosts, or takes the one in force
// from them.
TEST_P(OddRows, AsConfigurationChangeNothing)
{
    const auto edge = start(1, "edge");
    EXPECT_TRUE(eventually([] { return status(post(1, "first", 1)) == 200; }));
    store_.put("keyed.op", "config", GetParam().value());
    EXPECT_NO_THROW(edge->waitFor("config.malformed"));
    EXPECT_EQ(status(post(1, "after", 1)), 200);
    const auto starting =
            std::make_unique<Process>(scratch_, "sequoia-edge", "starting", settings(2));
    EXPECT_NO_THROW(starting->waitFor("config.malformed"));
    store_.put("keyed.op", "config", configRow(3, 100'000));
    EXPECT_TRUE(eventually([] { return status(post(2, "first-of-2", 1)) == 200; }));
    EXPECT_TRUE(edge->running());
}

/// Sends text from an address of its own to the port at which a host hears the others.
void sendDatagram(const std::string &text)
{
    namespace udp = boost::asio::ip;
    boost::asio::io_context io;
    udp::udp::socket socket(io, udp::udp::endpoint(udp::make_address(ip(206)), 0));
    boost::system::error_code ignored;
    socket.send_to(boost::asio::buffer(text), {udp::make_address(ip(1)), PeerPort}, 0, ignored);
}

std::vector<std::string> wordsOf(const std::string &text)
{
    std::istringstream words(text);
    return {std::istream_iterator<std::string>(words), {}};
}

/// Each name that a message of some kind has, with a value of its type.
const nlohmann::json &soundFields()
{
    static const nlohmann::json Fields = [] {
        nlohmann::json fields = {{"about", ip(3) + ":1"},
                                 {"part", 7},
                                 {"lost", {{"e", 1, 2, 2}}},
                                 {"parts", {1}},
                                 {"claims", true},
                                 {"settling", false},
                                 {"scope", "prompt"},
                                 {"known", {8, 9}},
                                 {"process", {"e", 1}},
                                 {"version", 1},
                                 {"records", {{"e", 1, 2.0, 3, 4}}}};
        for (const std::string &name : wordsOf("from to decided_by endpoint result workspace")) {
            fields[name] = "h3";
        }
        for (const std::string &name :
             wordsOf("age_ms answered_age_ms asked_ms delay_ms key level listed_recorded load "
                     "id max_delay_ms need per_second priority refusals rejected remaining_ms "
                     "reserved retry_after_ms round served_age_ms service since_boot_ms started_at "
                     "tokens usable written")) {
            fields[name] = 5;
        }
        return fields;
    }();
    return Fields;
}

// Guards against a datagram that ends the host which receives it.
TEST_F(EdgeProcess, OddDatagramsStopNoHost)
{
    const auto edge = start(1, "edge");
    EXPECT_TRUE(eventually([] { return status(post(1, "first", 1)) == 200; }));
    const auto values =
            wordsOf("null -1 1e300 18446744073709551615 9223372036854775807 -9223372036854775808 "
                    "\"\" \"1\" [] {} [[]] [[1]] [[\"e\",-1,-1,-1]] [[[[[[[[1]]]]]]]] true");
    const auto kinds =
            wordsOf("ask move ack ask_clocks clocks limits ask_slot slot endpoint_rates crash "
                    "ask_part part_known quarantine probe_endpoint endpoint_probed request_losses "
                    "request_lost stream stream_ack ask_stream stream_origin none");
    for (const std::string &kind : kinds) {
        for (const auto &field : soundFields().items()) {
            for (const std::string &value : values) {
                nlohmann::json message = soundFields();
                message["kind"] = kind;
                message[field.key()] = nlohmann::json::parse(value);
                sendDatagram(message.dump());
            }
            // The host has read them before the next ones fill its socket's buffer.
            const std::string id = kind + field.key();
            ASSERT_EQ(status(post(1, id, 1)), 200) << id;
        }
    }
    sendDatagram(std::string(2048, '['));
    sendDatagram(std::string(2048, '\xff'));
    sendDatagram("");
    EXPECT_EQ(status(post(1, "after", 1)), 200);
    EXPECT_TRUE(edge->running());
    EXPECT_NO_THROW(edge->waitFor("peer.malformed"));
}

constexpr std::size_t Depth = 100'000;

std::string nested(const std::string &open, const std::string &close, const std::string &inner)
{
    std::string text;
    for (std::size_t i = 0; i < Depth; ++i) {
        text += open;
    }
    text += inner;
    for (std::size_t i = 0; i < Depth; ++i) {
        text += close;
    }
    return text;
}

/// An endpoint's row with one field that another writer has set.
std::string endpointWith(const std::string &name, const std::string &value)
{
    std::string text = R"({"backend":"s","zone":"d1","state":"ready")";
    for (const auto &[field, sound] : {std::pair{"address", "\"127.0.0.1:9\""},
                                       std::pair{"slots", "8"}, std::pair{"born", "1"}}) {
        text += fmt::format(",\"{}\":{}", field, name == field ? value : sound);
    }
    return text + "}";
}

INSTANTIATE_TEST_SUITE_P(
        Rows, OddRows,
        testing::Values(OddRowCase{"NestedLists",
                                   [] {
                                       return nested("[", "]", "");
                                   }},
                        OddRowCase{"NestedListsWithoutEnd",
                                   [] {
                                       return std::string(2 * Depth, '[');
                                   }},
                        OddRowCase{"NestedObjects",
                                   [] {
                                       return nested("{\"a\":", "}", "1");
                                   }},
                        OddRowCase{"NestedField",
                                   [] {
                                       return endpointWith("address", nested("[", "]", ""));
                                   }},
                        OddRowCase{"NestedBorn",
                                   [] {
                                       return endpointWith("born", nested("[", "]", ""));
                                   }},
                        OddRowCase{"NumberTooLarge",
                                   [] {
                                       return endpointWith("slots", "1e400");
                                   }},
                        OddRowCase{"NumberBeyondItsType",
                                   [] {
                                       return endpointWith("slots", "1e15");
                                   }},
                        OddRowCase{"StartTooLarge",
                                   [] {
                                       return endpointWith("born", "18446744073709551616");
                                   }},
                        OddRowCase{"NegativeNumber",
                                   [] {
                                       return endpointWith("slots", "-1");
                                   }},
                        OddRowCase{"PortTooLarge",
                                   [] {
                                       return endpointWith("address", "\"127.0.0.1:99999\"");
                                   }},
                        OddRowCase{"NegativePort",
                                   [] {
                                       return endpointWith("address", "\"127.0.0.1:-1\"");
                                   }},
                        OddRowCase{"PortZero",
                                   [] {
                                       return endpointWith("address", "\"127.0.0.1:0\"");
                                   }},
                        OddRowCase{"NotUtf8",
                                   [] {
                                       return endpointWith("address", "\"\xff\xfe:80\"");
                                   }},
                        OddRowCase{"Large",
                                   [] {
                                       return std::string(900'000, 'x');
                                   }}),
        [](const auto &row) { return row.param.name; });

} // namespace
