#include "sequoiagate/Proxy/StreamContinuity.h"

#include <utility>

namespace sequoiagate {

void StreamContinuity::begin(const RequestMetadata &request, bool isStream, bool isRecorded)
{
    own_ = request.id;
    isResumed_ = isStream && request.lastEventId.has_value();
    isRecorded_ = isRecorded;
    isNamed_ = !isResumed_ || !request.resumedStream.empty();
    first_ = isResumed_ && isNamed_ ? request.resumedStream : own_;
}

void StreamContinuity::findOrigin(const ServiceId &service, Instant now,
                                  std::function<void(const StreamOrigin &)> handler)
{
    origins_.find(service, isNamed_ ? first_ : RequestId(), now, std::move(handler));
}

void StreamContinuity::onOriginFound(const StreamOrigin &origin)
{
    if (origin.source != OriginSource::Unknown) {
        version_ = origin.version;
    }
}

void StreamContinuity::onFirstEvent(const ServiceId &service, const SoftwareVersion &version,
                                    bool isConfirmed, Instant now)
{
    if (isForwarding_) {
        return;
    }
    isForwarding_ = true;
    version_ = version;
    mayContinue_ = isConfirmed;
    if (!isRecorded_ || !isConfirmed) {
        return;
    }
    origins_.onStreamBegan(service, first_, version, now);
    if (isResumed_ && first_ != own_) {
        // A caller may name its last request in place of the first one.
        origins_.onStreamBegan(service, own_, version, now);
    }
}

} // namespace sequoiagate
