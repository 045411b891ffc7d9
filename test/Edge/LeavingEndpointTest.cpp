/// Endpoints that say in their answers that they are leaving, while their entries say that they are
/// ready.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

struct LeavingCase
{
    const char *name;
    StoreFault store; ///< while the endpoint leaves
    bool isRejecting; ///< the endpoint turns away what it gets while it leaves
};

class LeavingEndpoint : public EdgeProcess, public testing::WithParamInterface<LeavingCase>
{
protected:
    LeavingEndpoint() : second_(ip(202), "e-2") { list(second_, "ready"); }

    /// Sends \p requests one after another, without a count of tokens, which are refused at times
    /// while the store is silent. \returns how many were served
    static int call(const std::string &name, int requests)
    {
        httplib::Client client(ip(1), CallerPort);
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            const httplib::Headers headers = {{"Host", "h.example"},
                                              {"Request-Id", fmt::format("{}-{}", name, i)},
                                              {"Authorization", "Token key"},
                                              {"Deadline-Ms", "20000"}};
            const httplib::Result result = client.Post("/once/a", headers, "body", "text/plain");
            served += status(result) == 200 ? 1 : 0;
        }
        return served;
    }

    EndpointStandin second_;
};

// Guards against new work for an endpoint that has said in an answer that it is leaving.
TEST_P(LeavingEndpoint, GetsNoNewRequests)
{
    const LeavingCase &row = GetParam();
    constexpr int Requests = 60;
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([this] { return call("first", 8) == 8 && endpoint_.runs() > 0; }));
    store_.setFault(row.store);
    endpoint_.setLeaving(true);
    if (row.isRejecting) {
        endpoint_.setBackoff(std::chrono::milliseconds(0));
    }
    const std::size_t before = endpoint_.arrivals().size();
    ASSERT_TRUE(eventually([this, before] {
        call("told", 1);
        return endpoint_.arrivals().size() > before;
    }));
    const std::size_t told = endpoint_.arrivals().size();
    EXPECT_EQ(call("after", Requests), Requests);
    EXPECT_EQ(endpoint_.arrivals().size(), told);

    // The same endpoint, started anew, is told from the one that left.
    store_.setFault(StoreFault::None);
    endpoint_.setLeaving(false);
    endpoint_.setBackoff(std::nullopt);
    store_.put("keyed.servers", endpoint_.id(),
               nlohmann::json({{"backend", "s"},
                               {"address", endpoint_.address()},
                               {"zone", "d1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"born", 2}})
                       .dump());
    EXPECT_TRUE(eventually([this, told] {
        call("anew", 1);
        return endpoint_.arrivals().size() > told;
    }));
}

INSTANTIATE_TEST_SUITE_P(Rows, LeavingEndpoint,
                         testing::Values(LeavingCase{"ByAnswers", StoreFault::None, false},
                                         LeavingCase{"ByRejections", StoreFault::None, true},
                                         LeavingCase{"WhileTheStoreIsSilent", StoreFault::Silent,
                                                     false}),
                         [](const auto &row) { return row.param.name; });

} // namespace
