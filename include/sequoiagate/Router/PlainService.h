#ifndef SEQUOIAGATE_ROUTER_PLAINSERVICE_H
#define SEQUOIAGATE_ROUTER_PLAINSERVICE_H

/// Calls of plain services. A POST runs at most once: its key is claimed in the
/// log before it is sent, and it is sent once. A GET may be repeated.

#include <string>
#include <vector>

#include <httplib.h>

#include "sequoiagate/Router/EngineClient.h"
#include "sequoiagate/Router/RouterContext.h"

namespace sequoiagate {

/// Whether \p key is a UUIDv7 (RFC 9562) in its usual text form.
bool isUuidV7(const std::string &key);

/// Thread safe.
class PlainService
{
public:
    explicit PlainService(RouterContext &context) : context_(context) {}

    /// POST /v1/services/{service}/{operation}
    /// \throws VerdictError when the call is refused or failed.
    void callOnce(const ServiceId &service, const std::string &operation,
                  const httplib::Request &request, httplib::Response &response);
    /// GET /v1/services/{service}/{operation}
    /// \throws VerdictError
    void callRepeatable(const ServiceId &service, const std::string &operation,
                        const httplib::Request &request, httplib::Response &response);
    /// GET /v1/runs/{key}: "state" is "unknown" (no claim of the key stands), "pending"
    /// (begun, its end isn't known yet), or how it ended: "not_run", "may_have_run" or
    /// "ran", with the answer's status and body.
    /// \throws VerdictError
    void describeRun(const std::string &key, const httplib::Request &request,
                     httplib::Response &response);

private:
    struct Call;

    void claim(Call &call);
    wire::ClaimRunReply askForClaim(const Call &call, std::vector<AttemptId> &attempts);
    static void judgeClaim(Call &call, const wire::ClaimRunReply &reply);
    void dropClaims(const Call &call, const std::vector<AttemptId> &attempts);
    /// Lets the call in and sends it, at most once unless it is idempotent.
    void send(Call &call, bool idempotent);
    void sendOnce(Call &call);
    void sendRepeatable(Call &call);
    ConnectionResult sendTo(Call &call, const EndpointId &endpoint);
    void trySending(Call &call, const EndpointId &endpoint);
    void finish(const Call &call, const AttemptId &attempt, Execution execution);
    void relay(const Call &call, httplib::Response &response) const;
    void logRefusal(const Call &call, const Verdict &verdict);

    RouterContext &context_;
};

} // namespace sequoiagate

#endif
