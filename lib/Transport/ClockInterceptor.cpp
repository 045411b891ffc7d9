#include "Transport/ClockInterceptor.h"

namespace sequoiagate {

namespace {

using grpc::experimental::InterceptionHookPoints;

constexpr const char *ClockKey = "x-hlc";

/// The same steps on both sides: the stamp goes out with the initial metadata, and
/// the peer's is taken in from them.
class ClockInterceptor : public grpc::experimental::Interceptor
{
public:
    explicit ClockInterceptor(EventLog &log) : log_(log) {}

    void Intercept(grpc::experimental::InterceptorBatchMethods *methods) override
    {
        if (methods->QueryInterceptionHookPoint(
                    InterceptionHookPoints::PRE_SEND_INITIAL_METADATA)) {
            methods->GetSendInitialMetadata()->insert({ClockKey, log_.clock().tick()});
        }
        if (methods->QueryInterceptionHookPoint(
                    InterceptionHookPoints::POST_RECV_INITIAL_METADATA)) {
            observe(methods->GetRecvInitialMetadata());
        }
        methods->Proceed();
    }

private:
    void observe(const std::multimap<grpc::string_ref, grpc::string_ref> *metadata)
    {
        const auto found = metadata->find(ClockKey);
        if (found != metadata->end()) {
            log_.clock().observe({found->second.data(), found->second.size()});
        }
    }

    EventLog &log_;
};

class ClientClockFactory : public grpc::experimental::ClientInterceptorFactoryInterface
{
public:
    explicit ClientClockFactory(EventLog &log) : log_(log) {}
    grpc::experimental::Interceptor *
    CreateClientInterceptor(grpc::experimental::ClientRpcInfo * /*info*/) override
    {
        return new ClockInterceptor(log_);
    }

private:
    EventLog &log_;
};

class ServerClockFactory : public grpc::experimental::ServerInterceptorFactoryInterface
{
public:
    explicit ServerClockFactory(EventLog &log) : log_(log) {}
    grpc::experimental::Interceptor *
    CreateServerInterceptor(grpc::experimental::ServerRpcInfo * /*info*/) override
    {
        return new ClockInterceptor(log_);
    }

private:
    EventLog &log_;
};

} // namespace

ClientInterceptors clientClock(EventLog &log)
{
    ClientInterceptors interceptors;
    interceptors.push_back(std::make_unique<ClientClockFactory>(log));
    return interceptors;
}

ServerInterceptors serverClock(EventLog &log)
{
    ServerInterceptors interceptors;
    interceptors.push_back(std::make_unique<ServerClockFactory>(log));
    return interceptors;
}

} // namespace sequoiagate
