#ifndef SEQUOIAGATE_STANDINS_SERVICESTANDIN_H
#define SEQUOIAGATE_STANDINS_SERVICESTANDIN_H

/// Stand-ins of a plain service, whose calls take effect each time they are
/// made, and of the host list, which lags.

#include <deque>
#include <string>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Standins/HttpStandin.h"

namespace sequoiagate {

struct ServiceStandinSettings
{
    std::string name;
    std::string ip = "127.0.0.1";
    int port = 0;
    std::size_t workers = 64;
};

/// Thread safe.
class ServiceStandin
{
public:
    ServiceStandin(ServiceStandinSettings settings, EventLog &log);

    void start() { http_.start(); }
    void stop() { http_.stop(); }
    const std::string &address() const { return http_.address(); }
    const std::string &name() const { return settings_.name; }

private:
    struct Faults
    {
        int answersToLose = 0;
        int delayMillis = 0;
        bool leaving = false;
        bool refuse = false;
    };

    void call(const httplib::Request &request, httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);

    ServiceStandinSettings settings_;
    EventLog &log_;
    absl::Mutex mutex_;
    Faults faults_ ABSL_GUARDED_BY(mutex_);
    uint64_t runs_ ABSL_GUARDED_BY(mutex_) = 0;
    HttpStandin http_;
};

struct HostListSettings
{
    std::string ip = "127.0.0.1";
    int port = 0;
    Interval lag = std::chrono::seconds(30);
};

/// Shows what was set \p lag ago. Thread safe.
class HostListStandin
{
public:
    HostListStandin(HostListSettings settings, EventLog &log);

    void start() { http_.start(); }
    void stop() { http_.stop(); }
    const std::string &address() const { return http_.address(); }

private:
    struct Version
    {
        Instant setAt;
        nlohmann::json hosts;
    };

    HostListSettings settings_;
    EventLog &log_;
    absl::Mutex mutex_;
    std::deque<Version> versions_ ABSL_GUARDED_BY(mutex_);
    HttpStandin http_;
};

} // namespace sequoiagate

#endif
