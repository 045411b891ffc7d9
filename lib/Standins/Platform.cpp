#include "sequoiagate/Standins/Platform.h"

namespace sequoiagate {

namespace {

LogStandinSettings logSettings(const nlohmann::json &settings)
{
    LogStandinSettings log;
    log.port = settings.value("port", log.port);
    log.workers = settings.value("workers", log.workers);
    log.appendsPerSecond = settings.value("appends_per_second", log.appendsPerSecond);
    log.retainRecords = settings.value("retain", log.retainRecords);
    return log;
}

EngineSettings engineSettings(const nlohmann::json &settings)
{
    EngineSettings engine;
    engine.name = settings.at("name").get<std::string>();
    engine.port = settings.value("port", engine.port);
    engine.workers = settings.value("workers", engine.workers);
    engine.slots = settings.value("slots", engine.slots);
    const auto millis = [&settings](const char *key, Interval fallback) {
        return settings.contains(key) ? Interval(Millis(settings[key].get<int64_t>())) : fallback;
    };
    engine.firstToken = millis("first_token_ms", engine.firstToken);
    engine.betweenTokens = millis("token_ms", engine.betweenTokens);
    engine.loadLag = millis("load_lag_ms", engine.loadLag);
    return engine;
}

ServiceStandinSettings serviceSettings(const nlohmann::json &settings)
{
    ServiceStandinSettings service;
    service.name = settings.at("name").get<std::string>();
    service.port = settings.value("port", service.port);
    return service;
}

} // namespace

PlatformStandins::PlatformStandins(const nlohmann::json &settings, EventLog &log) : log_(log)
{
    if (settings.contains("log")) {
        logService_ = std::make_unique<LogStandin>(logSettings(settings["log"]), log);
    }
    if (settings.contains("host_list")) {
        HostListSettings list;
        list.port = settings["host_list"].value("port", list.port);
        list.lag = Millis(settings["host_list"].value("lag_ms", 30'000));
        hostList_ = std::make_unique<HostListStandin>(list, log);
    }
    for (const nlohmann::json &engine : settings.value("engines", nlohmann::json::array())) {
        engines_.push_back(std::make_unique<EngineStandin>(engineSettings(engine), log));
    }
    for (const nlohmann::json &service : settings.value("services", nlohmann::json::array())) {
        services_.push_back(std::make_unique<ServiceStandin>(serviceSettings(service), log));
    }
}

void PlatformStandins::start()
{
    if (logService_) {
        logService_->start();
        announce("log", "log", logService_->address());
    }
    if (hostList_) {
        hostList_->start();
        announce("host_list", "host_list", hostList_->address());
    }
    for (const auto &engine : engines_) {
        engine->start();
        announce("engine", engine->name(), engine->address());
    }
    for (const auto &service : services_) {
        service->start();
        announce("service", service->name(), service->address());
    }
}

void PlatformStandins::stop()
{
    for (const auto &service : services_) {
        service->stop();
    }
    for (const auto &engine : engines_) {
        engine->stop();
    }
    if (hostList_) {
        hostList_->stop();
    }
    if (logService_) {
        logService_->stop();
    }
}

void PlatformStandins::announce(const char *kind, const std::string &name,
                                const std::string &address)
{
    log_.write(Event("standin.listening")
                       .with("kind", kind)
                       .with("name", name)
                       .with("address", address));
}

} // namespace sequoiagate
