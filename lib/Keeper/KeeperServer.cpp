#include "KeeperServer.h"

#include <csignal>

#include <unistd.h>

#include "Peers.h"

#include "sequoiagate/Transport/WireVerdict.h"

namespace sequoiagate {

/// The longest that a router's question after news is held.
static constexpr Millis LongestPoll{5000};
/// When a caller should come back whose answer didn't come in time.
static constexpr Millis ComeBackAfter{500};

KeeperServer::KeeperServer(const LinkFilter &filter, const KeeperCoreSettings &settings)
    : filter_(filter), settings_(settings)
{}

void KeeperServer::serve(Keeper &keeper)
{
    keeper_ = &keeper;
}

grpc::Status KeeperServer::admit(const grpc::ServerContext &context) const
{
    if (keeper_ == nullptr) {
        return {grpc::StatusCode::UNAVAILABLE, "starting"};
    }
    const auto &metadata = context.client_metadata();
    const auto sender = metadata.find(SenderKey);
    if (sender != metadata.end()
        && filter_.blocked(HostId(std::string(sender->second.data(), sender->second.size())))) {
        return {grpc::StatusCode::UNAVAILABLE, "cut off by the test"};
    }
    return grpc::Status::OK;
}

grpc::Status KeeperServer::Reserve(grpc::ServerContext *context,
                                   const wire::ReserveRequest *request, wire::ReserveReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    const auto id = randomId<ReservationId>();
    const Instant until = std::chrono::steady_clock::now() + settings_.reserveWait;
    *reply = keeper_.load()->await<wire::ReserveReply>(
            until,
            [&](KeeperCore &core, Instant now, WallTime) {
                return core.reserve(*request, id, now);
            },
            [](KeeperCore &, Instant now, WallTime) {
                wire::ReserveReply refused;
                *refused.mutable_refused() = notRunOnWire(Reason::BudgetUnreachable,
                                                          "no budget could be had here in time",
                                                          now + ComeBackAfter, now);
                return refused;
            });
    // A router that gave up, as it does when this keeper was paused, has reserved
    // elsewhere by now and won't settle here: the tokens would stay set aside for as
    // long as the router lives, and a caller who asks again be told that the request runs.
    if (context->IsCancelled() && reply->has_reservation()) {
        keeper_.load()->run([&](KeeperCore &core, Instant now, WallTime) {
            core.releaseUnheard(ReservationId(reply->reservation().id()), now);
        });
    }
    return grpc::Status::OK;
}

grpc::Status KeeperServer::Settle(grpc::ServerContext *context, const wire::SettleRequest *request,
                                  wire::SettleReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    const bool byRouter = context->client_metadata().count(SenderKey) == 0;
    *reply = keeper_.load()->run([&](KeeperCore &core, Instant now, WallTime wall) {
        return core.settle(*request, byRouter, now, wall);
    });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::ClaimRun(grpc::ServerContext *context,
                                    const wire::ClaimRunRequest *request,
                                    wire::ClaimRunReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    // The core gives a claim up by itself; the limit here only bounds the loop.
    const Instant until = std::chrono::steady_clock::now() + 2 * settings_.claimWait;
    const AttemptId attempt(request->claim().attempt());
    *reply = keeper_.load()->await<wire::ClaimRunReply>(
            until,
            [&](KeeperCore &core, Instant now, WallTime wall) {
                return core.claimRun(*request, now, wall);
            },
            [&](KeeperCore &core, Instant now, WallTime wall) {
                core.withdrawClaim(attempt, now, wall);
                wire::ClaimRunReply refused;
                *refused.mutable_refused() = notRunOnWire(
                        Reason::LogUnavailable, "no answer in time", now + ComeBackAfter, now);
                return refused;
            });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::FinishRun(grpc::ServerContext *context,
                                     const wire::FinishRunRequest *request,
                                     wire::FinishRunReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    *reply = keeper_.load()->run([&](KeeperCore &core, Instant now, WallTime wall) {
        return core.finishRun(*request, now, wall);
    });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::ReadRun(grpc::ServerContext *context,
                                   const wire::ReadRunRequest *request, wire::ReadRunReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    *reply = keeper_.load()->run([&](KeeperCore &core, Instant, WallTime) {
        return core.readRun(WorkspaceId(request->workspace()), RunKey(request->key()));
    });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::ReadView(grpc::ServerContext *context,
                                    const wire::ReadViewRequest *request,
                                    wire::ReadViewReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    const Millis wait = std::min(Millis(request->wait_ms()), LongestPoll);
    const Instant until = std::chrono::steady_clock::now() + wait;
    const auto ask = [&](KeeperCore &core, Instant now, WallTime) {
        return core.readView(*request, until, now);
    };
    *reply = keeper_.load()->await<wire::ReadViewReply>(
            until, ask, [&](KeeperCore &core, Instant now, WallTime) {
                return std::get<wire::ReadViewReply>(core.readView(*request, now, now));
            });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::SignWindow(grpc::ServerContext *context,
                                      const wire::SignWindowRequest *request,
                                      wire::SignWindowReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    *reply = keeper_.load()->run([&](KeeperCore &core, Instant now, WallTime) {
        return core.signWindow(*request, now);
    });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::ReadConfig(grpc::ServerContext *context,
                                      const wire::ReadConfigRequest *request,
                                      wire::ReadConfigReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    *reply = keeper_.load()->run(
            [&](KeeperCore &core, Instant, WallTime) { return core.readConfig(*request); });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::ReadStatus(grpc::ServerContext *context,
                                      const wire::ReadStatusRequest *request,
                                      wire::ReadStatusReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    *reply = keeper_.load()->run([&](KeeperCore &core, Instant now, WallTime wall) {
        return core.readStatus(*request, now, wall);
    });
    return grpc::Status::OK;
}

grpc::Status KeeperServer::Drain(grpc::ServerContext *context,
                                 const wire::DrainRequest * /*request*/, wire::DrainReply *reply)
{
    if (grpc::Status status = admit(*context); !status.ok()) {
        return status;
    }
    // The same way in as the service manager's: there is one planned stop.
    kill(getpid(), SIGTERM);
    *reply = keeper_.load()->run([](KeeperCore &core, Instant now, WallTime wall) {
        wire::DrainReply answer;
        answer.set_draining(true);
        answer.set_open_reservations(
                core.readStatus(wire::ReadStatusRequest(), now, wall).open_reservations());
        return answer;
    });
    return grpc::Status::OK;
}

} // namespace sequoiagate
