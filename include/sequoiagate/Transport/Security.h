#ifndef SEQUOIAGATE_TRANSPORT_SECURITY_H
#define SEQUOIAGATE_TRANSPORT_SECURITY_H

/// How the system's own processes reach each other: gRPC over mutual TLS, or
/// plaintext where the address is on loopback.

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Thread safe.
class Security
{
public:
    /// Reads the settings' "tls" object; without one, plaintext is allowed on
    /// loopback addresses only, and the log says so.
    Security(const nlohmann::json &settings, EventLog &log);

    /// \pre address is IP:port.
    /// \throws SettingsError if plaintext would be served beyond loopback.
    std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::string &address);
    /// A channel to a peer. Channels reconnect by themselves; keep them.
    std::shared_ptr<grpc::Channel> channel(const std::string &address);

private:
    EventLog &log_;
};

} // namespace sequoiagate

#endif
