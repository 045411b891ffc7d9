#ifndef SEQUOIAGATE_PROXY_EVENTSPLITTER_H
#define SEQUOIAGATE_PROXY_EVENTSPLITTER_H

/// Cuts the bytes of an event stream into whole events. An endpoint may stop in the middle
/// of one: what isn't whole is never passed on, or another endpoint's events would be
/// joined to half of one.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiagate {

struct StreamEvent
{
    std::string bytes;          ///< as they came, the blank line included
    std::optional<uint64_t> id; ///< of its "id" line
};

/// Not thread safe.
class EventSplitter
{
public:
    /// An event larger than this is a fault of the endpoint.
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /// \returns the events that \p bytes make whole.
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// Bytes of an event that isn't whole.
    std::size_t pending() const { return pending_.size(); }
    bool overflowed() const { return pending_.size() > MaxEventBytes; }

private:
    std::string pending_;
};

} // namespace sequoiagate

#endif
