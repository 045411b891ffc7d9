#ifndef TEST_KEEPER_BAREROUTER_H
#define TEST_KEEPER_BAREROUTER_H

/// The least that a router does, so that keepers can be tested by themselves: reserve,
/// let the engine generate, settle. Each step can be left out or repeated.

#include <memory>
#include <string>

#include "proto/keeper.grpc.pb.h"

#include "test/Support/Fleet.h"

namespace sequoiagate {

/// One request as the test asks for it.
struct BareRequest
{
    std::string workspace;
    std::string request;
    uint64_t ceiling = 100;
    std::string body = "body";
};

/// Not thread safe.
class BareRouter
{
public:
    /// Talks to the keeper at \p address, IP:port, and to the engine at another.
    BareRouter(const std::string &keeper, std::string engine);

    /// The words of the prompt count as prompt tokens; there is one.
    static constexpr uint64_t PromptTokens = 1;

    /// \throws std::runtime_error if the call itself fails.
    wire::ReserveReply reserve(const BareRequest &request, const std::string &attempt = "");
    /// Starts a stream at the engine and leaves it running. \returns its id.
    std::string startStream(const BareRequest &request);
    /// Has the engine generate the answer whole. \returns its completion tokens.
    uint64_t generate(const BareRequest &request);
    wire::SettleReply settle(const wire::Reservation &reservation, const BareRequest &request,
                             uint64_t completionTokens);
    wire::SettleReply settle(const wire::SettleRequest &request);
    wire::SettleReply settleNotRun(const wire::Reservation &reservation);
    /// Repeats the settle until the bill is on the log.
    void settleDurably(const wire::Reservation &reservation, const BareRequest &request,
                       uint64_t completionTokens);
    /// Reserves, generates and settles. \returns whether the reservation was had.
    bool serve(const BareRequest &request);
    /// Serves requests of \p ceiling tokens until one is refused. \returns how many.
    int serveUntilRefused(const std::string &workspace, const std::string &prefix,
                          uint64_t ceiling);

    /// What the keeper knows of a key; claims nothing.
    wire::ReadRunReply readRun(const std::string &workspace, const std::string &key);
    wire::ClaimRunReply claim(const std::string &workspace, const std::string &key,
                              const std::string &attempt);
    wire::FinishRunReply finish(const wire::RunOutcome &outcome);
    wire::ReadViewReply readView();
    wire::ReadStatusReply status();
    const std::string &incarnation() const { return incarnation_; }

    /// What the router says its own address is; by default one that nobody listens on.
    std::string ownAddress = "127.0.0.1:1";

private:
    wire::SettleRequest settleRequest(const wire::Reservation &reservation,
                                      const BareRequest &request, uint64_t completionTokens) const;

    std::unique_ptr<wire::KeeperService::Stub> stub_;
    std::string engine_;
    std::string incarnation_;
};

} // namespace sequoiagate

#endif
