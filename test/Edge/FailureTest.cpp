/// What callers see when the edge's own code fails.

#include <cstdio>

#include <gtest/gtest.h>

#include "EdgeProcess.h"
#include "platform/PlatformAdapter.h"
#include "sequoiagate/Edge/Edge.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

using namespace sequoiagate;

namespace {

constexpr uint64_t FailingVersion = 2;

/// Fails in a way that nobody expects for one version of the configuration, and for requests
/// whose id says so.
class FailingDialect : public platform::PlatformDialect
{
public:
    RequestMetadata decodeCaller(const RequestHead &head) const override
    {
        RequestMetadata terms = PlatformDialect::decodeCaller(head);
        if (terms.id.text() == "fail") {
            throw std::logic_error("a fault of the program");
        }
        return terms;
    }
};

class FailingAdapter : public platform::PlatformAdapter
{
public:
    const Dialect &dialect() const override { return failing_; }
    ServingConfigPtr decodeConfig(const std::string &value) const override
    {
        ServingConfigPtr config = PlatformAdapter::decodeConfig(value);
        if (config->version == FailingVersion) {
            throw std::logic_error("a fault of the program");
        }
        return config;
    }

private:
    FailingDialect failing_;
};

class EdgeFailure : public EdgeProcess
{
protected:
    /// Runs the edge of host 1 in this process until it ends. \returns why it failed.
    std::string run()
    {
        const nlohmann::json schema =
                nlohmann::json::parse(readShareFile("schemas/sequoia-edge.json"));
        const nlohmann::json checked = checkSettings(settings(1), schema, "settings");
        const std::unique_ptr<std::FILE, int (*)(std::FILE *)> file(std::tmpfile(), &std::fclose);
        EventLog log({"sequoia-edge", HostId("h1"), DomainId("d1"), Incarnation("i")}, file.get());
        FailingAdapter adapter;
        Edge edge(edgeSettingsFrom(checked), adapter, log,
                  [&checked] { return edgeSettingsFrom(checked); });
        try {
            edge.run();
        } catch (const std::exception &error) {
            return error.what();
        }
        return "";
    }
};

// One handler throws, and all requests of the host are cut off with it.
TEST_F(EdgeFailure, RequestsInProgressGetTheirAnswers)
{
    std::string failure;
    std::thread edge([this, &failure] { failure = run(); });
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    HeldRequest held(endpoint_, "r2");
    EXPECT_EQ(status(post(1, "fail", 100)), 503);
    held.release();
    EXPECT_EQ(held.answer(), 200);
    edge.join();
    EXPECT_EQ(failure, "a fault of the program");
}

// All hosts end by one row of the configuration, or answer by the configuration before it.
TEST_F(EdgeFailure, ConfigurationWhoseDecodingFailsIsntRefusedByTheOneBefore)
{
    std::string failure;
    std::thread edge([this, &failure] { failure = run(); });
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    ASSERT_EQ(status(post(1, "r2", 10, "added")), 401);
    store_.put("keyed.op", "config", configRow(FailingVersion, 100'000));
    EXPECT_TRUE(eventually([] { return status(post(1, "r3", 10, "added")) == 503; }));
    EXPECT_EQ(status(post(1, "r4", 10)), 200);
    EXPECT_EQ(status(post(1, "fail", 100)), 503);
    edge.join();
    EXPECT_EQ(failure, "a fault of the program");
}

} // namespace
