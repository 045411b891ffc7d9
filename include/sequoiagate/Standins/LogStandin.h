#ifndef SEQUOIAGATE_STANDINS_LOGSTANDIN_H
#define SEQUOIAGATE_STANDINS_LOGSTANDIN_H

/// A stand-in of the platform's log service, in memory, with its faults.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Standins/HttpStandin.h"

namespace sequoiagate {

struct LogStandinSettings
{
    std::string ip = "127.0.0.1";
    int port = 0;
    std::size_t workers = 64;
    uint32_t appendsPerSecond = 500;    ///< over all streams; more are delayed
    uint64_t retainRecords = 1'000'000; ///< a stream
};

/// Thread safe.
class LogStandin
{
public:
    LogStandin(LogStandinSettings settings, EventLog &log);

    void start() { http_.start(); }
    void stop();
    const std::string &address() const { return http_.address(); }

private:
    struct Stream
    {
        uint64_t oldest = 0;
        std::vector<std::string> records; ///< base64, as they came
    };
    struct Faults
    {
        bool down = false;
        int slowMillis = 0;
        int answersToLose = 0;
        std::set<std::string> cutHosts;
    };

    void route();
    void append(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    bool refuses(const httplib::Request &request);
    void pace();
    void expire(Stream &stream);

    LogStandinSettings settings_;
    EventLog &log_;
    absl::Mutex mutex_;
    std::map<std::string, Stream> streams_ ABSL_GUARDED_BY(mutex_);
    Faults faults_ ABSL_GUARDED_BY(mutex_);
    Instant nextAppendAt_ ABSL_GUARDED_BY(mutex_);
    uint64_t appendCalls_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t appendBytes_ ABSL_GUARDED_BY(mutex_) = 0;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    HttpStandin http_;
};

} // namespace sequoiagate

#endif
