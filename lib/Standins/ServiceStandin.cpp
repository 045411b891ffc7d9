#include "sequoiagate/Standins/ServiceStandin.h"

#include <thread>

#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

ServiceStandin::ServiceStandin(ServiceStandinSettings settings, EventLog &log)
    : settings_(std::move(settings)), log_(log),
      http_(settings_.ip, settings_.port, settings_.workers)
{
    httplib::Server &server = http_.server();
    const auto handler = [this](const auto &request, auto &response) {
        call(request, response);
    };
    server.Post(R"(/call/([A-Za-z0-9._-]+))", handler);
    server.Get(R"(/call/([A-Za-z0-9._-]+))", handler);
    server.Post("/admin/faults",
                [this](const auto &request, auto &response) { setFaults(request, response); });
    server.Get("/v1/load", [this](const auto &, auto &response) {
        absl::MutexLock lock(&mutex_);
        answerJson(response, {{"running", 0},
                              {"waiting", 0},
                              {"kv_used", 0.0},
                              {"leaving", faults_.leaving},
                              {"age_ms", 0}});
    });
}

void ServiceStandin::call(const httplib::Request &request, httplib::Response &response)
{
    const std::string operation = request.matches[1];
    const std::string key = request.get_header_value("Idempotency-Key");
    Faults faults;
    uint64_t run = 0;
    {
        absl::MutexLock lock(&mutex_);
        faults = faults_;
        if (faults.refuse) {
            answerJson(response, {{"error", "service unavailable"}}, 503);
            return;
        }
        run = ++runs_;
        if (faults_.answersToLose > 0) {
            --faults_.answersToLose;
        }
    }
    log_.write(Event(events::EndpointReceived)
                       .with("endpoint", settings_.name)
                       .with("request", request.get_header_value("X-Request-Id"))
                       .with("workspace", request.get_header_value("X-Workspace"))
                       .with("key", key));
    log_.write(Event(events::EndpointRan)
                       .with("endpoint", settings_.name)
                       .with("workspace", request.get_header_value("X-Workspace"))
                       .with("attempt", request.get_header_value("X-Attempt"))
                       .with("operation", operation)
                       .with("idempotent", request.method == "GET")
                       .with("key", key)
                       .with("run", run));
    std::this_thread::sleep_for(Millis(faults.delayMillis));
    if (faults.answersToLose > 0) {
        // A body that ends before its announced length: the caller can't tell
        // whether the call took effect, and it did.
        response.set_content_provider(
                64, "application/json",
                [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return;
    }
    answerJson(response, {{"operation", operation}, {"run", run}});
}

void ServiceStandin::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = jsonBody(request);
    absl::MutexLock lock(&mutex_);
    const bool wasLeaving = faults_.leaving;
    faults_.answersToLose = body.value("lose_answers", faults_.answersToLose);
    faults_.delayMillis = body.value("delay_ms", faults_.delayMillis);
    faults_.leaving = body.value("leaving", faults_.leaving);
    faults_.refuse = body.value("refuse", faults_.refuse);
    if (faults_.leaving && !wasLeaving) {
        log_.write(Event(events::EndpointLeaving).with("endpoint", settings_.name));
    }
    answerJson(response, nlohmann::json::object());
}

HostListStandin::HostListStandin(HostListSettings settings, EventLog &log)
    : settings_(std::move(settings)), log_(log), http_(settings_.ip, settings_.port, 16)
{
    httplib::Server &server = http_.server();
    server.Get("/v1/hosts", [this](const auto &, auto &response) {
        const Instant shown = std::chrono::steady_clock::now() - settings_.lag;
        absl::MutexLock lock(&mutex_);
        while (versions_.size() > 1 && versions_[1].setAt <= shown) {
            versions_.pop_front();
        }
        // The first version is shown at once: a list that has never been anything
        // else has nothing to lag behind.
        const nlohmann::json hosts =
                versions_.empty() ? nlohmann::json::array() : versions_.front().hosts;
        const auto lag = std::chrono::duration_cast<Millis>(settings_.lag);
        answerJson(response, {{"hosts", hosts}, {"age_ms", lag.count()}});
    });
    server.Post("/admin/hosts", [this](const auto &request, auto &response) {
        absl::MutexLock lock(&mutex_);
        const nlohmann::json hosts = jsonBody(request).value("hosts", nlohmann::json::array());
        versions_.push_back({std::chrono::steady_clock::now(), hosts});
        log_.write(Event("host_list.set").with("hosts", hosts.size()));
        answerJson(response, nlohmann::json::object());
    });
}

} // namespace sequoiagate
