#ifndef SEQUOIAGATE_LIB_EDGE_STORELOSS_H
#define SEQUOIAGATE_LIB_EDGE_STORELOSS_H

/// Since when the store doesn't respond. Pure.
///
/// An unanswered read shows this only after 1.6 s, since the store may hold a read for 0.9 s. In
/// that time a fleet under doubled demand uses most of the tokens that it holds. An append without
/// a response within 0.6 s shows it earlier, unless a read has been answered in the meantime.

#include <optional>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class StoreLoss
{
public:
    /// An append sent at \p sentAt got no response in time.
    void onUnansweredAppend(Instant sentAt) { unansweredSince_ = sentAt; }

    /// When the store last responded; nullopt if it seems to respond.
    /// \param readsAnswered whether the last read was answered
    /// \param lastAnswerAt when a read was last answered
    std::optional<Instant> since(bool readsAnswered, Instant lastAnswerAt) const
    {
        const bool appendsFail = unansweredSince_ && lastAnswerAt < *unansweredSince_;
        return readsAnswered && !appendsFail ? std::nullopt : std::optional(lastAnswerAt);
    }

private:
    std::optional<Instant> unansweredSince_; ///< when the last unanswered append was sent
};

} // namespace sequoiagate

#endif
