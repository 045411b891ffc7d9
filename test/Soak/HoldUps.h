#ifndef TEST_SOAK_HOLDUPS_H
#define TEST_SOAK_HOLDUPS_H

/// Notices when the test's own process gets no processor time: its endpoints, store and callers
/// stand still then, and requests run into their timeouts without any fault of the hosts.

#include <atomic>
#include <thread>
#include <vector>

#include "Record.h"

namespace sequoiagate::soak {

/// Watches on a thread of its own, from start to stop().
class HoldUps
{
public:
    HoldUps();
    ~HoldUps();
    /// Ends the watch. \returns the hold-ups so far, as steps for the timeline. \pre called once
    std::vector<PlayedStep> stop();

private:
    void watch();

    std::atomic<bool> stopping_{false};
    std::vector<PlayedStep> found_; ///< of the thread, until it has ended
    std::thread thread_;
};

} // namespace sequoiagate::soak

#endif
