#ifndef SEQUOIAGATE_PROXY_EVENTSPLITTER_H
#define SEQUOIAGATE_PROXY_EVENTSPLITTER_H

/// Splits the bytes of an event stream into complete events. An endpoint may stop inside an
/// event. Partial events are never forwarded, since events of another endpoint would
/// otherwise be appended to them.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiagate {

struct StreamEvent
{
    std::string bytes;          ///< unchanged, including the blank line
    std::optional<uint64_t> id; ///< value of the "id" field
};

/// Not thread-safe.
class EventSplitter
{
public:
    /// A larger event is treated as an error of the endpoint.
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /// \returns the events that are completed by \p bytes.
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// Number of buffered bytes of an incomplete event.
    std::size_t pending() const { return pending_.size(); }
    bool overflowed() const { return pending_.size() > MaxEventBytes; }

private:
    std::string pending_;
};

} // namespace sequoiagate

#endif
