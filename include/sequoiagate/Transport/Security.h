#ifndef SEQUOIAGATE_TRANSPORT_SECURITY_H
#define SEQUOIAGATE_TRANSPORT_SECURITY_H

/// How the system's own processes reach each other: gRPC over mutual TLS, or
/// plaintext where the address is on loopback.

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include <grpcpp/grpcpp.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Where the files of mutual TLS lie (share/schemas/tls.json).
struct TlsFiles
{
    std::string certificate;
    std::string key;
    std::string authority;
    Seconds reloadPeriod{10};
};

/// Thread safe. Every holder of a certificate of the authority is one of the
/// system's processes: addresses aren't checked against certificates, since hosts are
/// replaced at any time. The authority must therefore sign nothing else.
class Security
{
public:
    /// Reads the settings' "tls" object; without one, plaintext is allowed on
    /// loopback addresses only, and the log says so. Files that change are read
    /// again without a restart. What gRPC reports as an error is logged as
    /// security.refused for a failed handshake, else as grpc.error.
    /// \pre log outlives this; all instances of a process have the same one.
    /// \throws SettingsError for a bad object, an unreadable file, or a key that
    /// doesn't fit its certificate.
    Security(const nlohmann::json &settings, EventLog &log);
    ~Security();
    Security(const Security &) = delete;
    Security &operator=(const Security &) = delete;

    /// \pre address is IP:port.
    /// \throws SettingsError if plaintext would be served beyond loopback.
    std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::string &address);
    /// Makes a server take the hybrid clock that comes with each call and send its
    /// own back, and bear the keepalive probes of channel(). Call before it is built.
    void prepareServer(grpc::ServerBuilder &builder);
    /// A channel to a peer. Channels reconnect by themselves; keep them. In
    /// plaintext, one to an address beyond loopback fails each call.
    std::shared_ptr<grpc::Channel> channel(const std::string &address);

private:
    void announcePlaintext();
    std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const std::string &address);

    EventLog &log_;
    std::optional<TlsFiles> files_;
    /// One for all channels: each has a thread of its own.
    std::shared_ptr<grpc::experimental::CertificateProviderInterface> certificates_;
    std::atomic<bool> announced_ = false;
};

} // namespace sequoiagate

#endif
