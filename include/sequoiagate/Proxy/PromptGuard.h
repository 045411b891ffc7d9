#ifndef SEQUOIAGATE_PROXY_PROMPTGUARD_H
#define SEQUOIAGATE_PROXY_PROMPTGUARD_H

/// Keeps prompts from endpoints that would crash on them.

#include <optional>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Decisions/EndpointProcess.h"
#include "sequoiagate/Proxy/Dialect.h"

namespace sequoiagate {

/// Single-threaded.
class PromptGuard
{
public:
    /// A prompt on which an answer has been written for this long doesn't crash its endpoint.
    static constexpr Interval BeginningOfAnswer = std::chrono::milliseconds(300);

    virtual ~PromptGuard() = default;
    /// \returns the verdict on a prompt that may not be sent; nullopt if it may
    virtual std::optional<Verdict> refusal(const ServiceId &service,
                                           const std::vector<PromptPart> &prompt, Instant now) = 0;
    /// An answer on \p prompt was written, or has been for a while.
    virtual void onAnswerWritten(const ServiceId &service, const std::vector<PromptPart> &prompt,
                                 Instant now) = 0;
    /// The connection to \p process was lost before or just after it began to write an answer to a
    /// request that was sent at \p sentAt.
    virtual void onConnectionLost(const ServiceId &service, const EndpointProcess &process,
                                  const std::vector<PromptPart> &prompt, Instant sentAt,
                                  Instant now) = 0;
};

} // namespace sequoiagate

#endif
