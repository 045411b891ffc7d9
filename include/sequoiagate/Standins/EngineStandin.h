#ifndef SEQUOIAGATE_STANDINS_ENGINESTANDIN_H
#define SEQUOIAGATE_STANDINS_ENGINESTANDIN_H

/// A stand-in of a model engine: batches continuously, keeps streams that can be
/// resumed and cancelled, caches prompt prefixes in little memory, and reports
/// its load with a lag. Its answers are made from the workspace, the request and
/// the position, so that an answer that reached the wrong caller shows.

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Standins/HttpStandin.h"

namespace sequoiagate {

struct EngineSettings
{
    std::string name;
    std::string ip = "127.0.0.1";
    int port = 0;
    std::size_t workers = 128;
    uint32_t slots = 32; ///< streams batched at once; others wait
    Interval firstToken = std::chrono::milliseconds(20);
    Interval betweenTokens = std::chrono::milliseconds(5);
    Interval loadLag = std::chrono::milliseconds(500);
    std::size_t cachedPrefixes = 64;
};

/// One answer in the making. Guarded by the engine's mutex.
struct EngineStream
{
    std::string id;
    std::string workspace;
    std::string request;
    std::string attempt;
    uint64_t promptTokens = 0;
    uint64_t length = 0; ///< tokens it will generate
    uint64_t generated = 0;
    uint64_t ceiling = 0; ///< the caller's max_tokens
    bool running = false; ///< has a slot
    bool cancelled = false;
    Instant nextTokenAt = Never;

    bool finished() const { return cancelled || generated >= length; }
    /// The token at \p position: a pure function of whose answer it is.
    std::string token(uint64_t position) const;
};

/// Thread safe.
class EngineStandin
{
public:
    EngineStandin(EngineSettings settings, EventLog &log);
    ~EngineStandin();

    void start();
    void stop();
    const std::string &address() const { return http_.address(); }
    const std::string &name() const { return settings_.name; }

private:
    struct Faults
    {
        bool leaving = false;
        int64_t cutAfter = -1; ///< chunks; the next connection only
        double slowFactor = 1.0;
        bool refuse = false;
        bool swapChunks = false;
        bool hang = false;
    };
    struct LoadSample
    {
        Instant at;
        uint32_t running = 0;
        uint32_t waiting = 0;
    };
    using StreamPtr = std::shared_ptr<EngineStream>;

    void route();
    void complete(const httplib::Request &request, httplib::Response &response);
    void answerWhole(const StreamPtr &stream, httplib::Response &response);
    void answerChunks(const StreamPtr &stream, uint64_t from, httplib::Response &response);
    void resume(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void list(const httplib::Request &request, httplib::Response &response);
    void load(httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);

    StreamPtr openStream(const httplib::Request &request, const nlohmann::json &body);
    StreamPtr find(const std::string &id);
    bool cached(const std::string &prompt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void generate();
    Instant step(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void finish(EngineStream &stream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Waits for the token at \p position or the stream's end.
    /// \returns whether the token is there.
    bool awaitToken(const StreamPtr &stream, uint64_t position);
    nlohmann::json status(const EngineStream &stream) const;

    EngineSettings settings_;
    EventLog &log_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    Faults faults_ ABSL_GUARDED_BY(mutex_);
    std::unordered_map<std::string, StreamPtr> streams_ ABSL_GUARDED_BY(mutex_);
    std::deque<StreamPtr> unfinished_ ABSL_GUARDED_BY(mutex_);
    std::deque<std::string> prefixes_ ABSL_GUARDED_BY(mutex_);
    std::deque<LoadSample> samples_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread generator_;
    HttpStandin http_;
};

} // namespace sequoiagate

#endif
