#ifndef TEST_ROUTER_FAKEKEEPER_H
#define TEST_ROUTER_FAKEKEEPER_H

/// A keeper in memory, for tests of the router alone: it grants what is asked,
/// keeps the first bill and the first claim, and can be told to misbehave.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include "proto/keeper.grpc.pb.h"

namespace sequoiagate {

/// Thread safe.
class FakeKeeper : public wire::KeeperService::Service
{
public:
    explicit FakeKeeper(wire::ConfigState config);
    ~FakeKeeper() override;

    const std::string &address() const { return address_; }
    /// What views say of this keeper. Set both before a router reads one.
    wire::KeeperEntry entry;
    std::vector<wire::KeeperEntry> others; ///< whom its views name, too
    /// Its views name these from now on, too. Waits until the router has such a view. \pre one
    /// router reads its views. \returns false if it still hasn't after a limit that only a failed
    /// run reaches.
    bool show(std::vector<wire::KeeperEntry> others);
    /// Whether every Settle fails from now on.
    void failSettles(bool fail);
    /// Whether a Settle of this request came, also one that failed.
    bool sawSettleOf(const std::string &request) const;
    /// The reply to every Reserve from now on; an unset outcome grants again.
    void answerReserves(wire::ReserveReply reply);
    /// The next reservations are made, and their answers lost.
    void loseReserveAnswers(int count);
    /// Waits until no reservation is open. \returns false if one still is after a limit
    /// that only a failed run reaches.
    bool awaitNothingOpen() const;
    /// Claims are made, and their answers lost.
    void loseClaimAnswers(bool lose);
    uint64_t reservations() const; ///< granted so far
    std::vector<wire::Bill> bills() const;
    std::vector<wire::RunOutcome> outcomes() const;
    /// Waits until \p count bills are there.
    void awaitBills(std::size_t count) const;
    void awaitOutcomes(std::size_t count) const;

    grpc::Status Reserve(grpc::ServerContext *context, const wire::ReserveRequest *request,
                         wire::ReserveReply *reply) override;
    grpc::Status Settle(grpc::ServerContext *context, const wire::SettleRequest *request,
                        wire::SettleReply *reply) override;
    grpc::Status ClaimRun(grpc::ServerContext *context, const wire::ClaimRunRequest *request,
                          wire::ClaimRunReply *reply) override;
    grpc::Status FinishRun(grpc::ServerContext *context, const wire::FinishRunRequest *request,
                           wire::FinishRunReply *reply) override;
    grpc::Status ReadRun(grpc::ServerContext *context, const wire::ReadRunRequest *request,
                         wire::ReadRunReply *reply) override;
    grpc::Status ReadView(grpc::ServerContext *context, const wire::ReadViewRequest *request,
                          wire::ReadViewReply *reply) override;

private:
    mutable absl::Mutex mutex_;
    wire::ConfigState config_;
    uint64_t viewSerial_ = 1;
    uint64_t viewSerialRead_ = 0; ///< that the router has
    bool failSettles_ = false;
    std::set<std::string> settledRequests_;
    wire::ReserveReply reserveReply_;
    bool loseClaimAnswers_ = false;
    std::map<std::string, wire::Bill> bills_; ///< by workspace and request
    std::map<std::string, wire::RunState> runs_;
    std::vector<wire::RunOutcome> outcomes_;
    uint64_t reservations_ = 0;
    int reserveAnswersToLose_ = 0;
    std::map<std::string, std::string> open_; ///< reservation by attempt
    bool stopping_ = false;
    std::string address_;
    std::unique_ptr<grpc::Server> server_;
};

} // namespace sequoiagate

#endif
