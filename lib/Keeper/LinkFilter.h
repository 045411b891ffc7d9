#ifndef LIB_KEEPER_LINKFILTER_H
#define LIB_KEEPER_LINKFILTER_H

/// Tests only: a file that names hosts whose traffic this process drops, so that a test
/// can cut running processes apart. The log service counts as the host "log".

#include <set>
#include <string>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Platform/LogService.h"

namespace sequoiagate {

/// Thread safe.
class LinkFilter
{
public:
    /// \param path empty: nothing is ever dropped.
    explicit LinkFilter(std::string path);

    /// Reads the file again. One that is missing or malformed blocks nothing.
    /// \returns whether what is blocked has changed.
    bool reload();
    std::set<std::string> blockedHosts() const;
    bool blocked(const HostId &host) const;

private:
    std::string path_;
    mutable absl::Mutex mutex_;
    std::set<std::string> blocked_ ABSL_GUARDED_BY(mutex_);
};

/// A log service behind the filter.
class FilteredLogService : public LogService
{
public:
    /// \pre both outlive this.
    FilteredLogService(LogService &service, const LinkFilter &filter);

    LogOffset append(const std::string &stream, const std::vector<std::string> &batch,
                     Instant deadline) override;
    LogSlice read(const std::string &stream, LogOffset from, std::size_t limit,
                  Instant waitUntil) override;

private:
    void failIfBlocked(Execution execution) const;

    LogService &service_;
    const LinkFilter &filter_;
};

} // namespace sequoiagate

#endif
