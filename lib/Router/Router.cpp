#include "sequoiagate/Router/Router.h"

#include <exception>

#include <fmt/format.h>

#include "sequoiagate/Router/VerdictHttp.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

constexpr Millis ComeBackAfter{1000};
constexpr Millis AfterViewFailure{200};
constexpr int StatusUnavailable = 503;

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

CallerServerSettings serverSettings(const RouterSettings &settings)
{
    return {settings.listen, settings.connections, settings.maximumBodyBytes,
            settings.callerTimeout};
}

} // namespace

Router::Router(RouterSettings settings, Security &security, EventLog &log)
    : context_(std::move(settings), security, log), chat_(context_), plain_(context_),
      server_(serverSettings(context_.settings))
{
    route();
}

Router::~Router()
{
    stopping_ = true;
    context_.keepers.cancelReadView();
    server_.stop();
    if (viewTail_.joinable()) {
        viewTail_.join();
    }
}

void Router::start()
{
    server_.start();
    context_.address = server_.address();
    viewTail_ = std::thread([this] { tailView(); });
}

std::size_t Router::drain()
{
    context_.gate.close();
    context_.gate.awaitEmpty();
    context_.outbox.awaitHeld();
    const std::size_t cutOff = context_.gate.inside();
    server_.stop();
    return cutOff;
}

void Router::route()
{
    httplib::Server &http = server_.http();
    http.Post("/v1/chat/completions", guarded([this](const auto &request, auto &response) {
                  chat_.handle(request, response);
              }));
    http.Post("/v1/services/([^/]+)/([^/]+)", guarded([this](const auto &request, auto &response) {
                  plain_.callOnce(ServiceId(request.matches[1]), request.matches[2], request,
                                  response);
              }));
    http.Get("/v1/services/([^/]+)/([^/]+)", guarded([this](const auto &request, auto &response) {
                 plain_.callRepeatable(ServiceId(request.matches[1]), request.matches[2], request,
                                       response);
             }));
    http.Get("/v1/runs/([^/]+)", guarded([this](const auto &request, auto &response) {
                 plain_.describeRun(request.matches[1], request, response);
             }));
    http.Post("/internal/v1/keep", guarded([this](const auto &request, auto &response) {
                  chat_.keep(request, response);
              }));
    http.Get("/healthz",
             [](const auto &, auto &response) { response.set_content("ok\n", "text/plain"); });
    http.Get("/readyz", [this](const auto &, auto &response) { answerReady(response); });
    http.Get("/metrics", [this](const auto &, auto &response) { answerMetrics(response); });
}

Router::Handler Router::guarded(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request,
                                                httplib::Response &response) {
        const Instant arrivedAt = steadyNow();
        try {
            if (CappedTaskQueue::overloaded()) {
                response.set_header("Connection", "close");
                throw VerdictError(Verdict{Execution::NotRun, Reason::QueueFull,
                                           "all connections are in use",
                                           steadyNow() + ComeBackAfter});
            }
            handler(request, response);
            context_.metrics.count("sequoia_router_requests_total", {{"outcome", "served"}});
        } catch (const VerdictError &error) {
            answerVerdict(response, error.verdict(), steadyNow());
            const std::string reason(reasonName(error.verdict().reason));
            context_.metrics.count("sequoia_router_requests_total", {{"outcome", reason}});
        } catch (const std::exception &error) {
            context_.log.write(Event("request.internal_error").with("detail", error.what()));
            // Nothing is known of how far it got.
            answerVerdict(response,
                          Verdict{Execution::MayHaveRun, Reason::Internal, "internal error",
                                  steadyNow() + ComeBackAfter},
                          steadyNow());
            context_.metrics.count("sequoia_router_requests_total", {{"outcome", "internal"}});
        }
        context_.metrics.observe("sequoia_router_handling_seconds", steadyNow() - arrivedAt);
    };
}

void Router::answerReady(httplib::Response &response)
{
    const bool ready = context_.view.get()->config != nullptr && !context_.gate.closed();
    if (!ready) {
        response.status = StatusUnavailable;
    }
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
}

void Router::answerMetrics(httplib::Response &response)
{
    context_.metrics.gauge("sequoia_router_in_flight", context_.scheduler.inFlight());
    context_.metrics.gauge("sequoia_router_waiting", context_.scheduler.waiting());
    context_.metrics.gauge("sequoia_router_open_streams",
                           static_cast<double>(context_.runs.size()));
    context_.metrics.gauge("sequoia_router_pending_bills",
                           static_cast<double>(context_.outbox.pending()));
    response.set_content(context_.metrics.render(), "text/plain");
}

void Router::tailView()
{
    std::string source;
    uint64_t serial = 0;
    while (!stopping_) {
        const auto view = context_.view.get();
        wire::ReadViewRequest request;
        request.set_have_config_version(view->config ? view->config->state().version() : 0);
        request.set_have_view_serial(serial);
        request.set_wait_ms(static_cast<uint64_t>(context_.settings.viewWait.count()));
        request.set_router(context_.log.identity().incarnation.text());
        try {
            const wire::ReadViewReply reply =
                    context_.keepers.readView(request, context_.settings.viewWait);
            // A serial is the keeper's own: another keeper's says nothing to it.
            const std::string answeredBy = context_.keepers.viewSource();
            serial = answeredBy == source ? reply.view_serial() : 0;
            source = answeredBy;
            takeView(reply);
        } catch (const VerdictError &error) {
            context_.log.write(Event("view.unreachable").with("detail", error.verdict().detail));
            serial = 0;
            std::this_thread::sleep_for(AfterViewFailure);
        }
    }
}

void Router::takeView(const wire::ReadViewReply &reply)
{
    const auto before = context_.view.get();
    auto view = std::make_shared<RouterView>();
    view->config = before->config;
    // Keepers lag behind each other: an older version never replaces a newer one.
    const uint64_t version = before->config ? before->config->state().version() : 0;
    if (reply.has_config() && (!before->config || reply.config().version() > version)) {
        view->config = std::make_shared<ConfigIndex>(reply.config());
        context_.log.write(Event(events::ConfigInForce).with("version", reply.config().version()));
    }
    view->endpoints.assign(reply.endpoints().begin(), reply.endpoints().end());
    view->keepers.assign(reply.keepers().begin(), reply.keepers().end());
    context_.keepers.setKeepers(view->keepers);
    context_.scheduler.applyView(*view);
    context_.view.set(std::move(view));
}

} // namespace sequoiagate
