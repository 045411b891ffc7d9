#ifndef SEQUOIAGATE_ROUTER_RESUMETOKEN_H
#define SEQUOIAGATE_ROUTER_RESUMETOKEN_H

/// The SSE event id. It holds all that another router needs to take a stream up
/// after this one died, so that the state travels with the caller; an HMAC keeps
/// callers from reading streams by made-up ids.

#include <cstdint>
#include <optional>
#include <string>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// A place in an engine's stream, and what settles it.
struct ResumePoint
{
    WorkspaceId workspace;
    RequestId request;
    ServiceId model;
    EndpointId endpoint;
    std::string endpointAddress;
    std::string engineStream;
    ReservationId reservation;
    Incarnation keeper;    ///< that holds the reservation
    std::string router;    ///< address of the router that last read the stream
    uint64_t position = 0; ///< of the last chunk the caller has
    uint64_t promptTokens = 0;
    uint64_t outputCeiling = 0;

    friend bool operator==(const ResumePoint &, const ResumePoint &) = default;
};

/// Immutable, so thread safe.
class ResumeSigner
{
public:
    /// \param key shared by all routers
    explicit ResumeSigner(std::string key) : key_(std::move(key)) {}

    /// Text without spaces or line ends.
    std::string sign(const ResumePoint &point) const;
    /// nullopt: forged, damaged, or signed under another key.
    std::optional<ResumePoint> verify(const std::string &token) const;

private:
    friend class StreamSigner;
    std::string macOf(const std::string &text) const;

    std::string key_;
};

/// Signs the positions of one stream. What they share is encoded once: the id rides
/// on every chunk. Not thread safe.
class StreamSigner
{
public:
    /// \pre \p signer outlives this.
    StreamSigner(const ResumeSigner &signer, const ResumePoint &source);

    std::string sign(uint64_t position) const;

private:
    const ResumeSigner &signer_;
    std::string prefix_;
};

} // namespace sequoiagate

#endif
