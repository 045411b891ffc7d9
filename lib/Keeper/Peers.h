#ifndef LIB_KEEPER_PEERS_H
#define LIB_KEEPER_PEERS_H

/// Calls to other keepers.

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <absl/synchronization/mutex.h>

#include "proto/keeper.grpc.pb.h"

#include "sequoiagate/Keeper/Keeper.h"
#include "sequoiagate/Keeper/KeeperSettings.h"
#include "sequoiagate/Transport/Security.h"

#include "LinkFilter.h"
#include "Worker.h"

namespace sequoiagate {

/// The metadata key under which a keeper names its host, for the test's link filter.
inline constexpr const char *SenderKey = "sequoia-host";

/// One stub an address, kept, since channels reconnect by themselves. Thread safe.
class Peers
{
public:
    /// \pre all outlive this.
    Peers(Security &security, const LinkFilter &filter, HostId self);

    /// nullopt: refused, unreachable, or too late.
    std::optional<wire::SignWindowReply> signWindow(const wire::MemberEntry &peer,
                                                    const wire::SignWindowRequest &request,
                                                    Instant deadline);
    std::optional<wire::ReadConfigReply> readConfig(const wire::MemberEntry &peer,
                                                    const wire::ReadConfigRequest &request,
                                                    Instant deadline);

    std::optional<wire::SettleReply> settle(const wire::MemberEntry &peer,
                                            const wire::SettleRequest &request, Instant deadline);

private:
    template <typename Request, typename Reply>
    using Method = grpc::Status (wire::KeeperService::Stub::*)(grpc::ClientContext *,
                                                               const Request &, Reply *);
    template <typename Request, typename Reply>
    std::optional<Reply> call(Method<Request, Reply> method, const wire::MemberEntry &peer,
                              const Request &request, Instant deadline);
    std::shared_ptr<wire::KeeperService::Stub> stub(const std::string &address);

    Security &security_;
    const LinkFilter &filter_;
    HostId self_;
    absl::Mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<wire::KeeperService::Stub>>
            stubs_ ABSL_GUARDED_BY(mutex_);
};

/// Takes the holders' asks for windows to their witnesses. Several threads, so that a
/// witness that doesn't answer holds up no ask to another.
class WindowClient
{
public:
    /// \pre both outlive this.
    WindowClient(Keeper &keeper, Peers &peers);

private:
    Interval step();

    Keeper &keeper_;
    Peers &peers_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

/// Hands settles on to the keepers that hold their reservations.
class SettleForwarder
{
public:
    /// \pre both outlive this.
    SettleForwarder(Keeper &keeper, Peers &peers);

private:
    Interval step();

    Keeper &keeper_;
    Peers &peers_;
    Worker worker_;
};

/// While the log is away, asks peers for newer configuration, one after the other.
class ConfigClient
{
public:
    /// \pre both outlive this.
    ConfigClient(Keeper &keeper, Peers &peers, Interval period);

private:
    Interval step();

    Keeper &keeper_;
    Peers &peers_;
    Interval period_;
    std::size_t nextPeer_ = 0;
    Worker worker_;
};

} // namespace sequoiagate

#endif
