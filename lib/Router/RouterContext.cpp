#include "sequoiagate/Router/RouterContext.h"

#include <fmt/format.h>

#include "sequoiagate/Service/Program.h"

namespace sequoiagate {

namespace {

constexpr Millis ComeBackAfter{1000};

AdmissionSettings admissionSettings(const RouterSettings &settings)
{
    AdmissionSettings admission;
    admission.slots = settings.slots;
    admission.queueLimit = settings.queueLimit;
    admission.maximumWait = settings.queueWait;
    return admission;
}

} // namespace

RouterContext::RouterContext(RouterSettings given, Security &security, EventLog &eventLog)
    : settings(std::move(given)), log(eventLog),
      requestChart(Statechart::parse(readShareFile("statecharts/request.json"))),
      drainChart(Statechart::parse(readShareFile("statecharts/drain.json"))),
      signer(settings.resumeKey),
      keepers(settings.keepers, security, settings.keeperTimeout, settings.claimTimeout),
      outbox(keepers, log, settings.settleAgain),
      scheduler(admissionSettings(settings), settings.domain), gate(drainChart)
{}

double CallerIdentity::weight() const
{
    const double weight = workspace->settings().weight();
    return weight > 0 ? weight : 1.0;
}

CallerIdentity identifyCaller(const RouterContext &context, const std::string &authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    CallerIdentity caller;
    caller.view = context.view.get();
    if (!caller.view->config) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::NotReady,
                                   "no configuration has been heard yet",
                                   std::chrono::steady_clock::now() + ComeBackAfter});
    }
    if (authorization.compare(0, Scheme.size(), Scheme) == 0) {
        caller.workspace =
                caller.view->config->workspaceOfApiKey(authorization.substr(Scheme.size()));
    }
    if (caller.workspace == nullptr) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::Unauthenticated,
                                   "the API key is missing or unknown", std::nullopt});
    }
    return caller;
}

void requireService(const CallerIdentity &caller, const ServiceId &service, wire::EndpointKind kind)
{
    // Asked first: whether a service exists is nothing for a workspace that may not
    // call it.
    if (!mayCall(*caller.workspace, service)) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::NotAllowed,
                                   fmt::format("the workspace may not call '{}'", service.text()),
                                   std::nullopt});
    }
    if (!caller.view->config->offers(service, kind)) {
        throw VerdictError(Verdict{Execution::NotRun, Reason::UnknownService,
                                   fmt::format("no endpoint offers '{}'", service.text()),
                                   std::nullopt});
    }
}

} // namespace sequoiagate
