#ifndef SEQUOIAGATE_SERVICE_EVENTLOG_H
#define SEQUOIAGATE_SERVICE_EVENTLOG_H

/// Structured logs: one JSON object a line on standard error. The same lines
/// are what sequoia-timeline merges and what the history checker reads.
///
/// Every line has: hlc (hybrid logical clock, sorts as text), host, incarnation,
/// program, event. Further fields are added with Event::with; the names that
/// the checker relies on are in Events.h.

#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// A hybrid logical clock: wall microseconds and a counter, never behind
/// anything it has observed, so that an effect sorts after its cause even
/// where hosts' clocks disagree.
class HybridClock
{
public:
    /// The stamp of a new local event, as text of fixed width. Thread safe.
    std::string tick();
    /// Moves the clock past a stamp that came with a message; a malformed one, or one
    /// more than a day ahead of this host, is ignored. Thread safe.
    void observe(std::string_view stamp);

private:
    std::mutex mutex_;
    int64_t wallMicros_ = 0;
    uint32_t counter_ = 0;
};

/// One line to be. Build it with with(), then hand it to EventLog::write.
class Event
{
public:
    explicit Event(std::string_view name) : name_(name) {}

    template <typename Value>
    Event &&with(std::string_view key, const Value &value) &&
    {
        fields_[std::string(key)] = value;
        return std::move(*this);
    }
    template <typename Tag>
    Event &&with(std::string_view key, const Id<Tag> &id) &&
    {
        fields_[std::string(key)] = id.text();
        return std::move(*this);
    }
    /// Adds a field to an event that is built in several statements. Assigning the result of with()
    /// to the event itself would move it onto itself, which clears its name.
    template <typename Value>
    void add(std::string_view key, const Value &value)
    {
        static_cast<void>(std::move(*this).with(key, value));
    }
    /// Marks a line that others can't be understood without. Its writer bounds how often it comes.
    Event &&essential(bool is = true) &&
    {
        isEssential_ = is;
        return std::move(*this);
    }
    bool isEssential() const { return isEssential_; }
    const std::string &name() const { return name_; }
    const nlohmann::json &fields() const { return fields_; }

private:
    std::string name_;
    nlohmann::json fields_ = nlohmann::json::object();
    bool isEssential_ = false;
};

/// Who writes.
struct ProcessIdentity
{
    std::string program;
    HostId host;
    DomainId domain;
    Incarnation incarnation;
};

/// Where lines go. Thread safe through the EventLog that owns it.
class LineSink
{
public:
    virtual ~LineSink() = default;
    /// \param line ends in a line feed
    virtual void write(std::string_view line) = 0;
    /// The same for an essential line, which is dropped last.
    virtual void writeEssential(std::string_view line) { write(line); }
};

/// Writes each line to \p out and flushes it.
std::unique_ptr<LineSink> flushedFileSink(std::FILE *out);

/// Writes events of one process. Thread safe.
class EventLog
{
public:
    /// Writes to \p out and flushes each line, so that a killed process loses none.
    explicit EventLog(ProcessIdentity identity, std::FILE *out = stderr);
    EventLog(ProcessIdentity identity, std::unique_ptr<LineSink> sink);

    void write(const Event &event);
    HybridClock &clock() { return clock_; }
    const ProcessIdentity &identity() const { return identity_; }

private:
    ProcessIdentity identity_;
    std::unique_ptr<LineSink> sink_;
    HybridClock clock_;
    std::mutex mutex_;
};

} // namespace sequoiagate

#endif
