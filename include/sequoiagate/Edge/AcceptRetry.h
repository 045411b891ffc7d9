#ifndef SEQUOIAGATE_EDGE_ACCEPTRETRY_H
#define SEQUOIAGATE_EDGE_ACCEPTRETRY_H

/// Delays the retry after a failed accept, which mostly fails for lack of file descriptors. The
/// connection stays in the listener's queue, so an immediate retry would keep the event loop busy.

#include <chrono>
#include <utility>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

/// Single-threaded: to be used only on the io_context's thread.
class AcceptRetry
{
public:
    explicit AcceptRetry(boost::asio::io_context &io) : timer_(io) {}

    /// Calls \p accept after the delay, unless this object is destroyed first.
    template <typename Accept>
    void arm(Accept accept)
    {
        timer_.arm(std::chrono::steady_clock::now() + RetryDelay, std::move(accept));
    }

private:
    static constexpr Interval RetryDelay = std::chrono::milliseconds(100);

    DeadlineTimer timer_;
};

} // namespace sequoiagate

#endif
