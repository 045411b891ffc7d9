#ifndef SEQUOIAGATE_ROUTER_CHATSERVICE_H
#define SEQUOIAGATE_ROUTER_CHATSERVICE_H

/// POST /v1/chat/completions.

#include <memory>
#include <optional>

#include <httplib.h>

#include "sequoiagate/Router/RouterContext.h"

namespace sequoiagate {

/// Thread safe.
class ChatService
{
public:
    /// \pre \p context outlives this and all work inside its gate.
    explicit ChatService(RouterContext &context) : context_(context) {}

    /// \throws VerdictError when the request is refused.
    void handle(const httplib::Request &request, httplib::Response &response);

    /// POST /internal/v1/keep, from a router that takes one of this router's streams
    /// up: the stream isn't cancelled here because its caller left this router.
    /// \throws VerdictError when there is no such stream.
    void keep(const httplib::Request &request, httplib::Response &response);

private:
    struct Reader;

    std::optional<ResumePoint> resumePointOf(const httplib::Request &request,
                                             const WorkspaceId &workspace) const;
    std::shared_ptr<ChatRun> runFor(const ChatOrder &order,
                                    const std::optional<ResumePoint> &resumeFrom);
    void start(const std::shared_ptr<ChatRun> &run, const std::optional<ResumePoint> &resumeFrom);
    void answerStream(std::shared_ptr<Reader> reader, httplib::Response &response);
    void answerWhole(Reader &reader, httplib::Response &response);
    bool writeNext(Reader &reader, httplib::DataSink &sink);

    RouterContext &context_;
};

} // namespace sequoiagate

#endif
