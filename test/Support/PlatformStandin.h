#ifndef TEST_SUPPORT_PLATFORMSTANDIN_H
#define TEST_SUPPORT_PLATFORMSTANDIN_H

/// The users' platform, small: its store, and endpoints that speak its headers. Written
/// from the protocol as the edge's adapter speaks it; docs/PlatformDesign.md says what of it
/// is used.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Time.h"

#include "sequoiagate/Standins/HttpStandin.h"

namespace sequoiagate {

/// How the store misbehaves.
enum class StoreFault {
    None,
    Refuse,      ///< 503: nothing was done
    LoseAnswers, ///< appends are done and never answered
    Late,        ///< appends are done seconds later and never answered
    Silent,      ///< no call is answered
};

/// A store of topics that keep the newest row of each key. Thread safe.
class StoreStandin
{
public:
    /// \param workers threads that serve; a held read occupies one.
    explicit StoreStandin(const std::string &ip, std::size_t workers = 64);
    ~StoreStandin();

    const std::string &address() const { return http_.address(); }
    /// Writes a row as the operator or an endpoint does; an empty value removes the key.
    /// \returns its offset
    uint64_t put(const std::string &topic, const std::string &key, const std::string &value);
    /// The newest value of each key.
    std::map<std::string, std::string> newest(const std::string &topic);
    /// Lets the reader at \p ip get each row's value as \p view returns it for topic, key and
    /// value.
    using View = std::function<std::string(const std::string &topic, const std::string &key,
                                           const std::string &value)>;
    void setView(const std::string &ip, View view);
    /// Forgets the history of \p topic; the newest rows stay.
    void forget(const std::string &topic);
    void setFault(StoreFault fault);
    /// When the reader at \p ip first asked for what stands behind \p offset: it has had the
    /// record there, or a snapshot that is newer, and acted on it before it asked.
    std::optional<Instant> readPast(const std::string &ip, const std::string &topic,
                                    uint64_t offset);

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Topic
    {
        std::vector<Record> records;
        std::size_t first = 0; ///< offset of the oldest that is kept
        std::map<std::string, std::size_t> newest;
    };

    void read(const httplib::Request &request, httplib::Response &response);
    void snapshot(const httplib::Request &request, httplib::Response &response);
    void append(const httplib::Request &request, httplib::Response &response);
    void add(Topic &topic, const std::string &key, const std::string &value);
    void notePosition(const httplib::Request &request, uint64_t from);
    std::string valueFor(const httplib::Request &request, const Record &record) const;
    nlohmann::json take(Topic &topic, const httplib::Request &request);
    /// Waits out a fault. \returns whether the call is to be served.
    bool admit(httplib::Response &response);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    std::map<std::string, std::pair<uint64_t, std::string>> writers_; ///< last seq and answer
    /// By reader and topic: what was read from, and when first.
    std::map<std::pair<std::string, std::string>, std::map<uint64_t, Instant>> positions_;
    std::map<std::string, View> views_; ///< by reader
    StoreFault fault_ = StoreFault::None;
    bool stopping_ = false;
    HttpStandin http_;
};

/// An endpoint that answers every request as it was told; one with "X-Events: N" by a stream
/// of so many events, and with "X-Break" without the stream's end. Each event names the endpoint's
/// software version. Thread safe.
class EndpointStandin
{
public:
    EndpointStandin(const std::string &ip, std::string id, std::string version = "");

    const std::string &address() const { return http_.address(); }
    std::string id() const;
    /// It was started anew: requests for the id that it had are refused.
    void setId(const std::string &id);
    /// Calls \p crash, on any thread, for each request with \p part in its prompt or its path that
    /// begins to run, in place of an answer. Set before requests come.
    void crashOn(const std::string &part, std::function<void()> crash);
    const std::string &version() const { return version_; }
    /// Requests that ran here.
    int runs() const { return runs_; }
    /// Breaks off all open streams.
    void breakStreams() { ++breaks_; }
    /// Holds answers back until released.
    void hold(bool held);
    /// Sets the requests per second that answers name as the endpoint's limit; nullopt: none.
    void setLimit(std::optional<double> perSecond);
    /// Lets all answers say that the endpoint is leaving.
    void setLeaving(bool leaving);
    /// Lets it reject all requests and ask for this time without any; nullopt: it serves.
    void setBackoff(std::optional<std::chrono::milliseconds> backoff);
    /// When each request arrived, including those that it didn't run.
    std::vector<Instant> arrivals();
    /// When the request with each id arrived last.
    std::map<std::string, Instant> arrivalsById();

private:
    void serve(const httplib::Request &request, httplib::Response &response);
    /// Notes the arrival, and adds what the endpoint says of itself. \returns whether it rejects
    /// the request
    bool applyNotices(const httplib::Request &request, httplib::Response &response);

    std::string id_;
    std::string version_;
    std::string crashPart_;
    std::function<void()> crash_;
    std::atomic<int> runs_{0};
    std::atomic<int> breaks_{0};
    mutable std::mutex mutex_;
    std::condition_variable released_;
    bool held_ = false;
    std::optional<double> limit_;
    bool leaving_ = false;
    std::optional<std::chrono::milliseconds> backoff_;
    std::vector<Instant> arrivals_;
    std::map<std::string, Instant> arrivalsById_;
    HttpStandin http_;
};

} // namespace sequoiagate

#endif
