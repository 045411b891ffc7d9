#ifndef SEQUOIAGATE_OPERATE_KEEPERCLIENT_H
#define SEQUOIAGATE_OPERATE_KEEPERCLIENT_H

/// What operators' tools ask of keepers. Beside the log, only keepers are spoken to.

#include <string>
#include <vector>

#include "proto/keeper.grpc.pb.h"

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Transport/Security.h"

namespace sequoiagate {

/// One keeper's answer, or why there is none.
struct KeeperStatus
{
    std::string address;
    std::string host; ///< as the keeper, or else another keeper's membership, names it
    bool heard = false;
    std::string fault; ///< when not heard
    wire::ReadStatusReply reply;
};

/// The keepers of a fleet as operators' commands see them; an interface, so that
/// the commands can be tested without a network. Thread safe.
class KeeperClient
{
public:
    virtual ~KeeperClient() = default;

    /// Asks the keepers known from the settings and all that these believe live.
    /// Each is given until \p deadline. Only the former are asked for their members:
    /// all members of all hosts would grow with the square of the hosts.
    virtual std::vector<KeeperStatus> readAll(const std::string &workspace, Instant deadline) = 0;
    /// Asks one keeper to drain. \throws VerdictError
    virtual wire::DrainReply drain(const std::string &address, const std::string &reason,
                                   Instant deadline) = 0;
};

class GrpcKeeperClient : public KeeperClient
{
public:
    /// \pre security outlives this.
    GrpcKeeperClient(std::vector<std::string> addresses, Security &security);

    std::vector<KeeperStatus> readAll(const std::string &workspace, Instant deadline) override;
    wire::DrainReply drain(const std::string &address, const std::string &reason,
                           Instant deadline) override;

private:
    KeeperStatus readOne(const std::string &address, const wire::ReadStatusRequest &request,
                         Instant deadline);

    std::vector<std::string> addresses_;
    Security &security_;
};

} // namespace sequoiagate

#endif
