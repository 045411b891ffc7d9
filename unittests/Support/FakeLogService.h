#ifndef UNITTESTS_SUPPORT_FAKELOGSERVICE_H
#define UNITTESTS_SUPPORT_FAKELOGSERVICE_H

/// A log service in memory with the faults of the real one, for tests.

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "sequoiagate/Platform/LogService.h"

namespace sequoiagate {

/// Thread safe. read never waits.
class FakeLogService : public LogService
{
public:
    LogOffset append(const std::string &stream, const std::vector<std::string> &batch,
                     Instant deadline) override;
    LogSlice read(const std::string &stream, LogOffset from, std::size_t limit,
                  Instant waitUntil) override;

    /// While down, every call throws NotRun.
    void setDown(bool down);
    /// The next \p count appends take effect and then throw MayHaveRun.
    void loseAnswers(int count);
    /// Drops all entries of \p stream below \p offset.
    void expireBelow(const std::string &stream, LogOffset offset);

private:
    struct Stream
    {
        LogOffset oldest = 0;
        std::vector<std::string> records;
    };

    std::mutex mutex_;
    std::map<std::string, Stream> streams_;
    bool down_ = false;
    int answersToLose_ = 0;
};

} // namespace sequoiagate

#endif
