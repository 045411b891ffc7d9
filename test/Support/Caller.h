#ifndef TEST_SUPPORT_CALLER_H
#define TEST_SUPPORT_CALLER_H

/// A caller of the system, who writes down what it sent and what it saw, so
/// that the history checker can hold that against what endpoints did.

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// What came back for a request.
struct CallerAnswer
{
    int status = 0;        ///< 0: no answer
    std::string content;   ///< of a chat: all chunks; of a plain call: the body
    bool whole = false;    ///< its end was seen
    std::string code;      ///< of an error: the reason's name
    std::string execution; ///< of an error: not_run, may_have_run, ran
    uint64_t retryAfterMs = 0;
    std::string lastEventId;
    uint64_t chunks = 0;
};

struct ChatCall
{
    std::string router;    ///< IP:port
    std::string key;       ///< API key
    WorkspaceId workspace; ///< as the test knows it; not sent
    RequestId request;
    std::string model = "chat";
    std::string prompt = "hello";
    uint64_t maxTokens = 64;
    bool stream = true;
    std::string lastEventId;  ///< resume from there
    uint64_t hangUpAfter = 0; ///< chunks; 0: never
    std::string workClass;
};

struct PlainCall
{
    std::string router;
    std::string key;
    WorkspaceId workspace;
    std::string service;
    std::string operation;
    std::string idempotencyKey;
    std::string body = "{}";
};

/// Thread safe.
class Caller
{
public:
    /// Writes its events to \p path.
    explicit Caller(const std::string &path);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    CallerAnswer chat(const ChatCall &call);
    CallerAnswer plain(const PlainCall &call);
    /// What is known of the call's key: the `state` of GET /v1/runs/{key}.
    std::string runState(const PlainCall &call);

private:
    void sawChat(const ChatCall &call, const AttemptId &callerTry, const CallerAnswer &answer);

    std::FILE *file_;
    EventLog log_;
};

/// POSTs to a stand-in's /admin/faults. \throws std::runtime_error
void setFaults(const std::string &address, const nlohmann::json &faults);

/// A UUIDv7 of now. \p age makes it older.
std::string uuidV7(Seconds age = Seconds(0));

} // namespace sequoiagate

#endif
