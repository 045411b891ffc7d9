#ifndef TEST_ROUTER_RUDEENGINE_H
#define TEST_ROUTER_RUDEENGINE_H

/// An engine that sends just the chunks it is told to, in that order, whatever
/// was asked for: what the well-behaved stand-in never does.

#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <httplib.h>

namespace sequoiagate {

/// One chunk. Unless it ends the stream its content is "P<position> ", or "F<position> "
/// where the stream is another than "s1".
struct RudeChunk
{
    uint64_t position = 0;
    const char *stream = "s1";
    const char *finishReason = nullptr;
};

/// Thread safe.
class RudeEngine
{
public:
    RudeEngine();
    ~RudeEngine();
    RudeEngine(const RudeEngine &) = delete;
    RudeEngine &operator=(const RudeEngine &) = delete;

    const std::string &address() const { return address_; }
    /// Sent on the first connection, which then closes; a resumed one gets the chunks
    /// of \p later from the asked position on.
    void script(std::vector<RudeChunk> first, std::vector<RudeChunk> later);
    bool cancelled() const;

private:
    mutable absl::Mutex mutex_;
    std::vector<RudeChunk> first_;
    std::vector<RudeChunk> later_;
    bool cancelled_ = false;
    std::string address_;
    httplib::Server server_;
    std::thread thread_;
};

} // namespace sequoiagate

#endif
