#ifndef LIB_KEEPER_KEEPERSERVER_H
#define LIB_KEEPER_KEEPERSERVER_H

/// The gRPC face of a keeper.

#include "proto/keeper.grpc.pb.h"

#include "sequoiagate/Keeper/Keeper.h"
#include "sequoiagate/Keeper/KeeperSettings.h"

#include "LinkFilter.h"

namespace sequoiagate {

/// Thread safe. proto/keeper.proto says what each call is for.
class KeeperServer final : public wire::KeeperService::Service
{
public:
    /// \pre both outlive this.
    KeeperServer(const LinkFilter &filter, const KeeperCoreSettings &settings);

    /// Calls before this are refused as unavailable.
    void serve(Keeper &keeper);

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
    grpc::Status SignWindow(grpc::ServerContext *context, const wire::SignWindowRequest *request,
                            wire::SignWindowReply *reply) override;
    grpc::Status ReadConfig(grpc::ServerContext *context, const wire::ReadConfigRequest *request,
                            wire::ReadConfigReply *reply) override;
    grpc::Status ReadStatus(grpc::ServerContext *context, const wire::ReadStatusRequest *request,
                            wire::ReadStatusReply *reply) override;
    grpc::Status Drain(grpc::ServerContext *context, const wire::DrainRequest *request,
                       wire::DrainReply *reply) override;

private:
    /// Ok if the call is served; the test's link filter cuts peers off.
    grpc::Status admit(const grpc::ServerContext &context) const;

    const LinkFilter &filter_;
    KeeperCoreSettings settings_;
    std::atomic<Keeper *> keeper_ = nullptr;
};

} // namespace sequoiagate

#endif
