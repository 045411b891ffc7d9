#include "LinkFilter.h"

#include <fstream>

#include <nlohmann/json.hpp>

namespace sequoiagate {

LinkFilter::LinkFilter(std::string path) : path_(std::move(path))
{
    reload();
}

bool LinkFilter::reload()
{
    if (path_.empty()) {
        return false;
    }
    std::ifstream file(path_);
    const nlohmann::json rules = nlohmann::json::parse(file, nullptr, false);
    std::set<std::string> blocked;
    if (rules.is_object()) {
        blocked = rules.value("blocked_hosts", std::set<std::string>());
    }
    absl::MutexLock lock(&mutex_);
    const bool changed = blocked != blocked_;
    blocked_ = std::move(blocked);
    return changed;
}

std::set<std::string> LinkFilter::blockedHosts() const
{
    absl::MutexLock lock(&mutex_);
    return blocked_;
}

bool LinkFilter::blocked(const HostId &host) const
{
    absl::MutexLock lock(&mutex_);
    return blocked_.count(host.text()) > 0;
}

FilteredLogService::FilteredLogService(LogService &service, const LinkFilter &filter)
    : service_(service), filter_(filter)
{}

void FilteredLogService::failIfBlocked(Execution execution) const
{
    if (filter_.blocked(HostId("log"))) {
        throw LogError(Verdict{execution, Reason::LogUnavailable, "cut off by the test", {}});
    }
}

LogOffset FilteredLogService::append(const std::string &stream,
                                     const std::vector<std::string> &batch, Instant deadline)
{
    failIfBlocked(Execution::NotRun);
    const LogOffset offset = service_.append(stream, batch, deadline);
    failIfBlocked(Execution::MayHaveRun);
    return offset;
}

LogSlice FilteredLogService::read(const std::string &stream, LogOffset from, std::size_t limit,
                                  Instant waitUntil)
{
    failIfBlocked(Execution::NotRun);
    LogSlice slice = service_.read(stream, from, limit, waitUntil);
    failIfBlocked(Execution::NotRun);
    return slice;
}

} // namespace sequoiagate
