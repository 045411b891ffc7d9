#ifndef SEQUOIAGATE_PLATFORM_HTTPLOGSERVICE_H
#define SEQUOIAGATE_PLATFORM_HTTPLOGSERVICE_H

/// The log service over HTTP, as docs/Platform.md describes it:
///   POST /v1/streams/{name}/append    {"records": [base64, ...]}  -> {"offset": n}
///   GET  /v1/streams/{name}/records?from=&limit=&wait_ms=
///        -> {"oldest": n, "next": n, "records": [{"offset": n, "data": base64}]}

#include <string>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Platform/LogService.h"

namespace sequoiagate {

class HttpLogService : public LogService
{
public:
    /// \param sender this host's name, for the service's own records of who calls
    /// \pre address is IP:port.
    explicit HttpLogService(std::string address, HostId sender = HostId());

    LogOffset append(const std::string &stream, const std::vector<std::string> &batch,
                     Instant deadline) override;
    LogSlice read(const std::string &stream, LogOffset from, std::size_t limit,
                  Instant waitUntil) override;

private:
    std::string address_;
    HostId sender_;
};

} // namespace sequoiagate

#endif
