#ifndef SEQUOIAGATE_BASE_IDS_H
#define SEQUOIAGATE_BASE_IDS_H

/// Identifiers as distinct types, so that a host can't be passed where a workspace
/// is expected.

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sequoiagate {

/// A string that identifies an object of one kind. Value type; comparing ids of two
/// kinds doesn't compile.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text) : text_(std::move(text)) {}

    const std::string &text() const { return text_; }
    bool empty() const { return text_.empty(); }

    friend bool operator==(const Id &, const Id &) = default;
    friend auto operator<=>(const Id &a, const Id &b) { return a.text_ <=> b.text_; }
    template <typename H>
    friend H AbslHashValue(H state, const Id &id)
    {
        return H::combine(std::move(state), id.text_);
    }
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.text_; }

private:
    std::string text_;
};

using HostId = Id<struct HostTag>;
using DomainId = Id<struct DomainTag>;
using RegionId = Id<struct RegionTag>; ///< a group of failure domains
using WorkspaceId = Id<struct WorkspaceTag>;
using EndpointId = Id<struct EndpointTag>;
using RequestId = Id<struct RequestTag>;
using GrantId = Id<struct GrantTag>;
using ReservationId = Id<struct ReservationTag>;
using AttemptId = Id<struct AttemptTag>;
using RunKey = Id<struct RunKeyTag>;
using ServiceId = Id<struct ServiceTag>; ///< a model or a plain service, as named by callers
using SoftwareVersion = Id<struct SoftwareVersionTag>; ///< of an endpoint; empty: not stated

/// Identifies one run of a process: random at each start, never reused. Whatever a
/// process promised ends with its incarnation.
using Incarnation = Id<struct IncarnationTag>;

/// A random 128-bit identifier as 32 hex digits. Thread safe.
/// \throws std::runtime_error if the system's random source fails.
std::string randomHex128();

template <typename IdType>
IdType randomId()
{
    return IdType(randomHex128());
}

} // namespace sequoiagate

template <typename Tag>
struct std::hash<sequoiagate::Id<Tag>>
{
    std::size_t operator()(const sequoiagate::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};

#endif
