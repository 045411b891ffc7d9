/// The rows by which the versions of a service outlive the hosts, and which host writes them.

#include <gtest/gtest.h>

#include "lib/Edge/LedgerRows.h"
#include "lib/Edge/VersionRecorder.h"

using namespace sequoiagate;

namespace {

const ServiceId S("s");

/// A store that keeps the newest row of each key, or refuses.
class RowStore : public Store
{
public:
    explicit RowStore(boost::asio::io_context &io) : io_(io) {}

    void tail(const std::string &, uint64_t, Interval, std::function<void(TailAnswer)>) override {}
    void snapshot(const std::string &, const std::string &,
                  std::function<void(SnapshotAnswer)>) override
    {}
    void append(const StoreBatch &batch, std::function<void(AppendAnswer)> handler) override
    {
        ++appends;
        if (isReachable) {
            for (const StoreRow &row : batch.rows) {
                rows[row.key] = row;
            }
        }
        const AppendAnswer answer{isReachable ? StoreOutcome::Ok : StoreOutcome::Refused, 0,
                                  std::nullopt};
        io_.post([handler = std::move(handler), answer] { handler(answer); });
    }

    std::map<std::string, StoreRow> rows;
    int appends = 0;
    bool isReachable = true;

private:
    boost::asio::io_context &io_;
};

class NoLines : public LineSink
{
public:
    void write(std::string_view) override {}
};

/// Hosts that read what the store has whenever a test says so. Time is the test's, but for retries.
class RecordingFleet : public testing::Test
{
protected:
    struct Host
    {
        VersionHistory versions;
        std::unique_ptr<EventLog> log;
        std::unique_ptr<VersionRecorder> recorder;
    };

    static constexpr int Count = 5;

    RecordingFleet() : store_(io_), now_(std::chrono::steady_clock::now()) {}

    void startAll()
    {
        hosts_.clear();
        for (int i = 0; i < Count; ++i) {
            const HostId id("h" + std::to_string(i));
            auto host = std::make_unique<Host>();
            host->log = std::make_unique<EventLog>(
                    ProcessIdentity{"test", id, DomainId("d"), Incarnation("i")},
                    std::make_unique<NoLines>());
            host->recorder = std::make_unique<VersionRecorder>(io_, store_, "topic", id.text(), id,
                                                               host->versions, *host->log);
            std::vector<Peer> others;
            for (int other = 0; other < Count; ++other) {
                if (other != i) {
                    Peer peer;
                    peer.host = HostId("h" + std::to_string(other));
                    others.push_back(peer);
                }
            }
            host->recorder->setHosts(others);
            hosts_.push_back(std::move(host));
        }
        read();
    }

    void read()
    {
        for (const auto &host : hosts_) {
            for (const auto &[key, row] : store_.rows) {
                host->recorder->onRow(row);
            }
            host->recorder->onTopicRead(now_);
        }
    }

    void list(const std::vector<std::string> &versions)
    {
        std::vector<ListedVersion> listed;
        for (const std::string &version : versions) {
            listed.push_back({S, SoftwareVersion(version)});
        }
        for (const auto &host : hosts_) {
            host->versions.setListed(listed, now_);
            host->versions.onRead(now_);
        }
    }

    /// Hosts below \p first take no part.
    void run(Interval time, std::size_t first = 0)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(100);
            for (std::size_t i = first; i < hosts_.size(); ++i) {
                hosts_[i]->recorder->tick(now_);
            }
            io_.restart();
            io_.poll();
            read();
        }
    }

    VersionView viewOf(std::size_t host) { return hosts_.at(host)->versions.view(S, now_); }

    boost::asio::io_context io_;
    RowStore store_;
    Instant now_;
    std::vector<std::unique_ptr<Host>> hosts_;
};

// Guards against hosts that have all started again and take the newest version for the only one.
TEST_F(RecordingFleet, RemembersAVersionThatLeftBeforeAllHostsEnded)
{
    startAll();
    list({"v1"});
    run(std::chrono::seconds(7));
    list({"v1", "v2"});
    run(std::chrono::seconds(7));
    list({"v2"});
    run(std::chrono::seconds(7));
    startAll();
    list({"v2"});
    EXPECT_EQ(viewOf(0).knowledge, VersionKnowledge::Several);
}

// Guards against a version that replaced the other one while no host was up.
TEST_F(RecordingFleet, RemembersAVersionThatWasReplacedWhileNoHostWasUp)
{
    startAll();
    list({"v1"});
    run(std::chrono::seconds(7));
    startAll();
    list({"v2"});
    EXPECT_EQ(viewOf(0).knowledge, VersionKnowledge::Several);
}

// Guards against streams that began at another service, from which their route was moved before all
// hosts ended.
TEST_F(RecordingFleet, RemembersThatARouteWasMoved)
{
    startAll();
    list({"v1"});
    run(std::chrono::seconds(7));
    for (const auto &host : hosts_) {
        host->versions.onRouteMoved(S, now_);
    }
    run(std::chrono::seconds(7));
    startAll();
    list({"v1"});
    EXPECT_FALSE(viewOf(0).isRecorded);
}

TEST_F(RecordingFleet, KnowsThatThereWasOneVersion)
{
    startAll();
    list({"v1"});
    EXPECT_FALSE(viewOf(0).isRecorded);
    run(std::chrono::seconds(7));
    startAll();
    list({"v1"});
    EXPECT_TRUE(viewOf(0).isRecorded);
    EXPECT_EQ(viewOf(0).version, SoftwareVersion("v1"));
}

// Guards against a write by each host for each change of a version.
TEST_F(RecordingFleet, WritesOncePerChange)
{
    startAll();
    list({"v1"});
    run(std::chrono::seconds(7));
    EXPECT_EQ(store_.appends, 1);
    list({"v1", "v2"});
    run(std::chrono::seconds(7));
    EXPECT_EQ(store_.appends, 2);
    list({"v2"});
    run(std::chrono::seconds(7));
    EXPECT_EQ(store_.appends, 2);
}

// Guards against a record that nobody writes since the host that should is gone.
TEST_F(RecordingFleet, IsWrittenByAnotherHostIfTheFirstOnesAreGone)
{
    startAll();
    list({"v1"});
    run(std::chrono::seconds(12), Count - 1);
    EXPECT_EQ(store_.rows.count("versions/s"), 1U);
}

// Guards against streams that are refused long after a version has left.
TEST_F(RecordingFleet, ForgetsAVersionThatHasBeenGoneForLong)
{
    startAll();
    for (const auto &host : hosts_) {
        host->versions.onGap(now_);
    }
    list({"v1", "v2"});
    run(std::chrono::seconds(7));
    list({"v2"});
    now_ += VersionHistory::RemovedVersionSpan;
    list({"v2"});
    run(std::chrono::seconds(1));
    startAll();
    list({"v2"});
    EXPECT_TRUE(viewOf(0).isRecorded);
}

struct RowCase
{
    const char *name;
    std::string value;
};

class UnreadableVersionRows : public testing::TestWithParam<RowCase>
{};

// Guards against a record of a later format, or a broken one, that is taken for none.
TEST_P(UnreadableVersionRows, SayThatStreamsMayHaveBegunElsewhere)
{
    const VersionRow row = decodeVersionRow({"versions/s", GetParam().value, 0});
    EXPECT_EQ(row.service, S);
    EXPECT_TRUE(row.record.hasMovedRoute);
    VersionHistory history;
    history.setListed({{S, SoftwareVersion("v1")}}, Instant(std::chrono::hours(1)));
    history.setRecord(S, row.record);
    history.onRecordsRead();
    EXPECT_FALSE(history.view(S, Instant(std::chrono::hours(1))).isRecorded);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, UnreadableVersionRows,
        testing::Values(RowCase{"Empty", ""}, RowCase{"NotJson", "none"},
                        RowCase{"LaterFormat", R"({"format":2,"versions":[],"route_moved":false})"},
                        RowCase{"OtherType", R"({"format":1,"versions":[7],"route_moved":false})"},
                        RowCase{"MissingField", R"({"format":1,"versions":["v1"]})"}),
        [](const auto &row) { return row.param.name; });

TEST(VersionRow, IsDecodedAsItWasEncoded)
{
    const VersionRecord record{{SoftwareVersion("v1"), SoftwareVersion("v2")}, true};
    const StoreRow row = encodeVersionRow(S, record);
    EXPECT_EQ(ledgerRowKind(row.key), LedgerRowKind::Versions);
    EXPECT_EQ(decodeVersionRow(row).record, record);
}

} // namespace
