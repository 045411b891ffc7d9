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

/// A request whose connection was lost before or just after its endpoint began to write an answer.
struct LostRequest
{
    ServiceId service;
    EndpointProcess process;
    HostId relay; ///< the host that relayed it; empty if none did
    Instant sentAt{};
};

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
    virtual void onConnectionLost(const LostRequest &request, const std::vector<PromptPart> &prompt,
                                  Instant now) = 0;
};

} // namespace sequoiagate

#endif
