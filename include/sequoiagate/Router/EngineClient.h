#ifndef SEQUOIAGATE_ROUTER_ENGINECLIENT_H
#define SEQUOIAGATE_ROUTER_ENGINECLIENT_H

/// A model engine over HTTP, as docs/Platform.md describes it.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// How a connection to an endpoint ended.
enum class ConnectionEnd {
    NotSent, ///< no byte of the request left
    Refused, ///< it was answered with a status that says nothing was run
    Closed,  ///< the answer came to its end
    Cut,     ///< it broke, or fell silent, after a byte had left
    Stopped, ///< this side stopped it
};

struct ConnectionResult
{
    ConnectionEnd end = ConnectionEnd::NotSent;
    int status = 0; ///< 0: no answer came
    std::string detail;
};

/// What an engine says of one of its streams.
struct EngineStreamStatus
{
    std::string streamId;
    uint64_t generated = 0;
    uint64_t promptTokens = 0;
    bool finished = false;
    bool cancelled = false;
};

/// A request as the engine is to see it.
struct EngineRequest
{
    RequestId request;
    WorkspaceId workspace;
    AttemptId attempt;
    std::string body;
};

/// What a stream's reader is told, on the thread that opened the connection.
struct EngineStreamHandlers
{
    std::function<void(const std::string &streamId)> onStreamId;
    std::function<bool(const std::string &data)> onEvent; ///< false stops the connection
};

/// Thread safe: each call makes a connection of its own.
class EngineClient
{
public:
    /// \pre \p address is IP:port.
    EngineClient(std::string address, Millis connectTimeout, Millis stallTimeout);

    /// Sends the request once and reads its stream to the connection's end.
    ConnectionResult open(const EngineRequest &request, const EngineStreamHandlers &handlers) const;
    /// Reads a stream from \p position on.
    ConnectionResult resume(const std::string &streamId, uint64_t position,
                            const EngineStreamHandlers &handlers) const;
    /// nullopt: no answer, or the stream is unknown.
    std::optional<EngineStreamStatus> cancel(const std::string &streamId) const;
    /// The streams of a request. nullopt: no answer.
    std::optional<std::vector<EngineStreamStatus>> streamsOf(const RequestId &request,
                                                             const WorkspaceId &workspace) const;

private:
    std::string address_;
    Millis connectTimeout_;
    Millis stallTimeout_;
};

} // namespace sequoiagate

#endif
