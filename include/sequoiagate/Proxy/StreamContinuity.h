#ifndef SEQUOIAGATE_PROXY_STREAMCONTINUITY_H
#define SEQUOIAGATE_PROXY_STREAMCONTINUITY_H

/// Keeps a stream at the software version that began it, over the attempts of one request and over
/// the requests of its caller.

#include <functional>
#include <optional>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/StreamOrigins.h"
#include "sequoiagate/Proxy/Dialect.h"

namespace sequoiagate {

/// Knows at which software version streams began. Single-threaded.
class StreamOriginSource
{
public:
    virtual ~StreamOriginSource() = default;
    /// Called before an event of a stream is forwarded for the first time in a request.
    /// \param first the request that brought the stream's first event
    virtual void onStreamBegan(const ServiceId &service, const RequestId &first,
                               const SoftwareVersion &version, Instant now) = 0;
    /// Calls \p handler once, possibly from inside this call, within a fraction of a second.
    /// \param first empty if the caller doesn't name it
    virtual void find(const ServiceId &service, const RequestId &first, Instant now,
                      std::function<void(const StreamOrigin &)> handler) = 0;
};

/// The stream of one request. Not thread safe.
class StreamContinuity
{
public:
    /// \pre \p origins outlives it
    explicit StreamContinuity(StreamOriginSource &origins) : origins_(origins) {}

    /// \param isStream whether the route's responses are streams
    /// \param isRecorded whether callers may take the stream up
    void begin(const RequestMetadata &request, bool isStream, bool isRecorded);
    /// Whether the caller takes up a stream that began in an earlier request.
    bool isResumed() const { return isResumed_; }
    /// The id that chooses among the services of a route: all requests for a stream go to one.
    const RequestId &serviceKey() const { return first_; }
    /// Finds the version at which the resumed stream began, and calls \p handler, possibly from
    /// inside this call. \pre isResumed()
    void findOrigin(const ServiceId &service, Instant now,
                    std::function<void(const StreamOrigin &)> handler);
    void onOriginFound(const StreamOrigin &origin);
    /// Called before the first event of each attempt is forwarded. A version that isn't confirmed
    /// isn't recorded: a resumption is rather refused than continued at the wrong version.
    void onFirstEvent(const ServiceId &service, const SoftwareVersion &version, bool isConfirmed,
                      Instant now);
    /// Whether another endpoint may continue the stream: not after an event of an endpoint whose
    /// version isn't confirmed, since its listed version may not be the one that it runs.
    bool mayContinue() const { return mayContinue_; }
    /// The version at which the stream has to go on; nullopt before it has begun.
    const std::optional<SoftwareVersion> &version() const { return version_; }

private:
    StreamOriginSource &origins_;
    RequestId own_;
    RequestId first_; ///< the request that brought the first event, or this one
    bool isResumed_ = false;
    bool isNamed_ = true; ///< whether the caller says which request began a stream
    bool isRecorded_ = false;
    bool isForwarding_ = false; ///< an event was forwarded in this request
    bool mayContinue_ = true;
    std::optional<SoftwareVersion> version_;
};

} // namespace sequoiagate

#endif
