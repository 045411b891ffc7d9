#ifndef SEQUOIAGATE_LIB_TRANSPORT_CLOCKINTERCEPTOR_H
#define SEQUOIAGATE_LIB_TRANSPORT_CLOCKINTERCEPTOR_H

/// Carries the hybrid logical clock in the metadata of calls, so that the time
/// line sorts what a call caused after its cause, whatever the hosts' clocks say.

#include <memory>
#include <vector>

#include <grpcpp/support/client_interceptor.h>
#include <grpcpp/support/server_interceptor.h>

#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

using ClientInterceptors =
        std::vector<std::unique_ptr<grpc::experimental::ClientInterceptorFactoryInterface>>;
using ServerInterceptors =
        std::vector<std::unique_ptr<grpc::experimental::ServerInterceptorFactoryInterface>>;

/// \pre log outlives every channel that has them.
ClientInterceptors clientClock(EventLog &log);
ServerInterceptors serverClock(EventLog &log);

} // namespace sequoiagate

#endif
