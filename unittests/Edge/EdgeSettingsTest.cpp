/// The settings file of the edge, as the schema checks it.

#include <fstream>
#include <iterator>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Edge/EdgeSettings.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"
#include "unittests/Support/TreePaths.h"

using namespace sequoiagate;

namespace {

EdgeSettings read(const nlohmann::json &extra)
{
    nlohmann::json settings = {{"host", "h"},
                               {"domain", "d"},
                               {"listen", "127.0.0.1:1"},
                               {"listen_ready", "127.0.0.1:2"},
                               {"listen_peers", "127.0.0.1:3"},
                               {"store", "127.0.0.1:4"}};
    settings.update(extra);
    const nlohmann::json schema = nlohmann::json::parse(readShareFile("schemas/sequoia-edge.json"));
    return edgeSettingsFrom(checkSettings(settings, schema, "settings"));
}

// Guards against a change of the tokens that hosts hold unless it is asked for.
TEST(EdgeSettings, TokenReserve)
{
    EXPECT_EQ(read(nlohmann::json::object()).tokens.policy, ReservePolicy::MeanDemand);
    EXPECT_EQ(read({{"token_reserve", "peak_demand"}}).tokens.policy, ReservePolicy::PeakDemand);
    EXPECT_THROW(read({{"token_reserve", "peak"}}), SettingsError);
}

// Guards against a host that buffers without bound, since its settings don't name its memory.
TEST(EdgeSettings, MemoryIsBoundedUnlessSaidOtherwise)
{
    EXPECT_EQ(read(nlohmann::json::object()).memoryBytes, 256'000'000U);
    EXPECT_EQ(read({{"memory_mb", 512}}).memoryBytes, 512'000'000U);
    EXPECT_EQ(read({{"memory_mb", 0}}).memoryBytes, 0U);
}

// Guards against a template that leaves a limit of the host's out.
TEST(EdgeSettings, TemplateNamesTheLimitsOfTheHost)
{
    std::ifstream file(sourceFolder() / "deploy/settings.json.template");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    for (const std::string limit : {"memory_mb", "link_mbps", "stop_grace_ms"}) {
        EXPECT_NE(text.find("\"" + limit + "\": {{"), std::string::npos) << limit;
    }
}

} // namespace
