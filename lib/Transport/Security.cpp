#include "sequoiagate/Transport/Security.h"

namespace sequoiagate {

Security::Security(const nlohmann::json & /*settings*/, EventLog &log) : log_(log)
{
    log_.write(Event("security.plaintext"));
}

std::shared_ptr<grpc::ServerCredentials>
Security::serverCredentials(const std::string & /*address*/)
{
    return grpc::InsecureServerCredentials();
}

std::shared_ptr<grpc::Channel> Security::channel(const std::string &address)
{
    return grpc::CreateChannel("ipv4:" + address, grpc::InsecureChannelCredentials());
}

} // namespace sequoiagate
