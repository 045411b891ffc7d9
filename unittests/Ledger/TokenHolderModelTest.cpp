/// Random schedules of holders, with a store that loses and delays responses or is unreachable,
/// transfers that are lost or duplicated, killed processes, power losses of one host and of all,
/// changes of the time of day, and processes that seal their predecessors by their peers' clocks.
/// These start late, ask their peers when the store is reachable again, and get responses that are
/// late, duplicated, lost, from a peer that was paused or replaced, or for the previous process. In
/// any order of events the spent tokens must never exceed the budget.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <tuple>

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/ElapsedBound.h"
#include "sequoiagate/Ledger/TokenHolder.h"

using namespace sequoiagate;

namespace {

const WorkspaceId Workspace("w");

/// A safeguard to disable, to verify that the model detects its absence.
enum class DisabledSafeguard {
    None,
    SealOnlyRecentBatches, ///< a predecessor is sealed as if its last batch had just been written
    ClocksSinceBoot,       ///< a predecessor is sealed by the times of day of all hosts
    UsePerSecond, ///< a predecessor is sealed without the use per second that its rows allow
    PeersThatKeptRunning, ///< a peer's clock counts even if another process reads it
    OwnResponsesOnly,     ///< responses to the previous process are accepted as well
    TimeUntilRequest, ///< the time until the response is deducted, not the time until the request
    TransferOnce,     ///< a duplicated transfer is accepted twice
    BatchesInOrder,   ///< a batch that the store executes late counts as the newest one
};

/// A host's clocks.
struct Clocks
{
    Millis sinceBoot{};
    Millis timeOfDay{};
};

/// The clock readings in a batch: the host's own clocks, and the latest readings of each peer's
/// clocks.
struct Batch
{
    Clocks own;
    struct Peer
    {
        std::size_t host;
        Incarnation process;
        Clocks clocks;
    };
    std::vector<Peer> peers;
};

/// A process that ended, unless another one ended on its host before it was sealed.
struct Ended
{
    Incarnation process;
    uint64_t used = 0; ///< of the tokens that it had according to its rows
};

/// The state of sealing the preceding process.
struct Sealing
{
    Ended ended;
    std::optional<Batch> last; ///< of the ended process, once it was looked up
    std::map<std::size_t, PeerClockReadings> responses;
    Millis largestByTimeOfDay{};    ///< of the same readings
    std::vector<AllotmentRow> rows; ///< to be written with the next batch
    bool decided = false;
};

struct Host
{
    std::unique_ptr<TokenHolder> holder;
    Incarnation incarnation;
    std::deque<uint64_t> openReservations; ///< reservations
    std::vector<AllotmentRow> rowsInFlight;
    bool hasBatchInFlight = false;
    Batch batchInFlight; ///< clock readings in the batch in flight
    std::optional<Sealing> sealing;
    Instant startedAt{}; ///< not running before
    Instant pausedUntil{};
    Millis startedAtTimeOfDay{};
    Millis bootedAt{};           ///< simulated time at which the clock since boot was zero
    Millis timeOfDayOffset{};    ///< offset of the time of day
    uint64_t read = 0;           ///< offset in the log
    bool isPartitioned = false;  ///< from the store
    uint64_t transferredOut = 0; ///< to peers
    uint64_t transferredIn = 0;  ///< from peers
    std::map<uint64_t, bool> receivedTransfers;
};

constexpr std::size_t Hosts = 4;
constexpr uint64_t Seeds = 2000;
constexpr int Steps = 1500;

struct LogRow
{
    AllotmentRow row;
};

/// The latest clock readings of a host's process in the store.
struct ReportedClocks
{
    bool isReported = false;
    Incarnation process;
    Clocks clocks;
};

/// A request for a peer's clock readings, or the response to it.
struct ClockMessage
{
    std::size_t asker;
    Incarnation askingProcess;
    std::size_t peer;
    Millis askedAfterStart{};
    bool isResponse = false;
    Incarnation respondingProcess;
    Clocks clocks;
};

/// A batch that the store executes after its writer has ended.
struct LateBatch
{
    Incarnation process;
    std::vector<AllotmentRow> rows;
    Batch batch;
};

struct Transfer
{
    uint64_t id;
    std::size_t to;
    Incarnation incarnation;
    uint64_t tokens;
};

class Simulation
{
public:
    Simulation(uint64_t seed, DisabledSafeguard disabled, ReservePolicy policy)
        : random_(seed), homesRandom_(static_cast<unsigned>(seed)), disabled_(disabled),
          policy_(policy), homes_(seed > Seeds / 2)
    {
        // Some runs have no terminated processes: the tokens that these strand would hide tokens
        // that are created by a fault.
        hasFailures_ = seed % 2 == 0;
        prepaid_ = seed % 4 < 2 ? 6'000 : 400'000;
        hosts_.resize(Hosts);
        reportedClocks_.resize(Hosts);
        for (Host &host : hosts_) {
            start(host, now_);
        }
    }

    /// \returns tokens spent beyond the budget, or tokens returned though a terminated holder had
    /// used them, which tokens stranded by other processes would hide.
    uint64_t simulate(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += std::chrono::milliseconds(randomBelow(60));
            step();
            if (spent_ > prepaid_) {
                return spent_ - prepaid_;
            }
            if (returnedThoughUsed_ > 0) {
                return returnedThoughUsed_;
            }
        }
        return 0;
    }

private:
    uint64_t randomBelow(uint64_t below) { return random_() % below; }
    bool chance(double share) { return static_cast<double>(randomBelow(10'000)) < share * 10'000; }

    TokenHolderSettings settings() const
    {
        TokenHolderSettings settings;
        settings.policy = policy_;
        settings.initialShare = 0.5;
        // Shorter than the longest simulated outages, so that holders continue beyond their rows.
        settings.batchValidity = std::chrono::milliseconds(2400);
        settings.leftoverRetention = Interval::zero();
        return settings;
    }

    Millis simulatedTime() const
    {
        return std::chrono::duration_cast<Millis>(now_.time_since_epoch());
    }

    /// Long after the epoch, so that it stays positive when it is set back.
    Clocks clocksOf(const Host &host) const
    {
        return {simulatedTime() - host.bootedAt,
                Millis(std::chrono::hours(9000)) + simulatedTime() + host.timeOfDayOffset};
    }

    std::optional<Interval> elapsedOf(const Host &host) const
    {
        const Sealing &sealing = *host.sealing;
        if (disabled_ == DisabledSafeguard::SealOnlyRecentBatches) {
            return Interval::zero();
        }
        if (disabled_ == DisabledSafeguard::ClocksSinceBoot) {
            const Millis own = host.startedAtTimeOfDay - sealing.last->own.timeOfDay;
            return std::max({own, sealing.largestByTimeOfDay, Millis::zero()});
        }
        std::vector<PeerClockReadings> spans;
        for (const auto &[peer, span] : sealing.responses) {
            spans.push_back(span);
        }
        const std::optional<Millis> bound = elapsedBound(spans);
        return bound ? std::optional<Interval>(*bound + Millis(1)) : std::nullopt;
    }

    /// Ends the host's process, if there is one. The next one starts at \p at.
    void start(Host &host, Instant at)
    {
        const Host before = std::exchange(host, Host());
        host.bootedAt = before.bootedAt;
        host.timeOfDayOffset = before.timeOfDayOffset;
        host.startedAt = at;
        host.startedAtTimeOfDay =
                clocksOf(host).timeOfDay + std::chrono::duration_cast<Millis>(at - now_);
        host.incarnation = Incarnation("i" + std::to_string(++incarnations_));
        host.holder = std::make_unique<TokenHolder>(host.incarnation, settings());
        host.holder->setBudgets({{Workspace, prepaid_}}, now_);
        host.holder->setHolderCount(Hosts);
        host.holder->setStoreReachable(true);
        if (homes_) {
            // Hosts may disagree on which of them are homes. This may delay requests, but must not
            // cause overspending.
            host.holder->setHomes(Workspace, 2, homesRandom_() % 2 == 0);
        }
        if (before.hasBatchInFlight && chance(0.3)) {
            lateBatches_.push_back({before.incarnation, before.rowsInFlight, before.batchInFlight});
        }
        if (stored_.count(before.incarnation) > 0) {
            const uint64_t out = before.transferredOut + before.holder->spent(Workspace)
                                 + before.holder->reserved(Workspace);
            host.sealing = Sealing();
            host.sealing->ended = {before.incarnation, out - std::min(out, before.transferredIn)};
        } else if (before.sealing && !before.sealing->decided) {
            // It wasn't listed yet, so the next one finds the same predecessor.
            host.sealing = Sealing();
            host.sealing->ended = before.sealing->ended;
        }
    }

    /// Requests clock readings from the peers in the last batch, or decides by their responses.
    void seal(Host &host)
    {
        if (!host.sealing || host.sealing->decided || host.isPartitioned
            || stored_.count(host.incarnation) == 0) {
            return;
        }
        Sealing &sealing = *host.sealing;
        if (!sealing.last) {
            sealing.last = stored_.at(sealing.ended.process);
        }
        const bool all = sealing.responses.size() == sealing.last->peers.size();
        if (!all && !chance(0.1)) {
            for (const Batch::Peer &peer : sealing.last->peers) {
                const auto asked = std::chrono::duration_cast<Millis>(now_ - host.startedAt);
                clockMessages_.push_back(
                        {indexOf(host), host.incarnation, peer.host, asked, false, {}, {}});
            }
            return;
        }
        readAll(host);
        sealing.rows = host.holder->sealRows(sealing.ended.process, elapsedOf(host));
        const Allotment last = lastRow(sealing.ended.process);
        for (AllotmentRow &row : sealing.rows) {
            if (disabled_ == DisabledSafeguard::UsePerSecond
                && row.allotment.tokens < last.tokens) {
                row.allotment.tokens = std::min(last.tokens, last.maxUsed);
            }
        }
        sealing.decided = true;
    }

    void writeSeals(Host &host)
    {
        if (!host.sealing) {
            return;
        }
        for (const AllotmentRow &row : std::exchange(host.sealing->rows, {})) {
            const uint64_t used = host.sealing->ended.used;
            returnedThoughUsed_ += used - std::min(used, row.allotment.tokens);
            append(row);
        }
    }

    /// Either reads a peer's clocks for a response or delivers a response, in any order.
    void deliverClockMessage()
    {
        for (int i = 0; i < 3 && !clockMessages_.empty(); ++i) {
            const auto at = clockMessages_.begin()
                            + static_cast<std::ptrdiff_t>(randomBelow(clockMessages_.size()));
            ClockMessage &message = *at;
            const Host &peer = hosts_[message.peer];
            const Host &reader = message.isResponse ? hosts_[message.asker] : peer;
            if (now_ < reader.pausedUntil) {
                continue;
            }
            const bool lost = chance(0.1) || (!message.isResponse && now_ < peer.startedAt);
            if (!lost && !message.isResponse) {
                message.isResponse = true;
                message.respondingProcess = peer.incarnation;
                message.clocks = clocksOf(peer);
                continue;
            }
            if (!lost) {
                onClocks(message);
            }
            if (lost || chance(0.4)) {
                clockMessages_.erase(at); // else it is duplicated
            }
        }
    }

    void onClocks(const ClockMessage &message)
    {
        Host &host = hosts_[message.asker];
        const bool forItself = message.askingProcess == host.incarnation;
        if (!host.sealing || !host.sealing->last || now_ < host.startedAt
            || (!forItself && disabled_ != DisabledSafeguard::OwnResponsesOnly)) {
            return;
        }
        for (const Batch::Peer &peer : host.sealing->last->peers) {
            if (peer.host != message.peer) {
                continue;
            }
            const bool untilNow = disabled_ == DisabledSafeguard::TimeUntilRequest;
            const Millis asked = untilNow
                                         ? std::chrono::duration_cast<Millis>(now_ - host.startedAt)
                                         : message.askedAfterStart;
            const bool anyProcess = disabled_ == DisabledSafeguard::PeersThatKeptRunning;
            const PeerClockReadings span{peer.process,
                                         anyProcess ? peer.process : message.respondingProcess,
                                         peer.clocks.sinceBoot, message.clocks.sinceBoot, asked};
            if (host.sealing->responses.emplace(peer.host, span).second) {
                host.sealing->largestByTimeOfDay =
                        std::max(host.sealing->largestByTimeOfDay,
                                 message.clocks.timeOfDay - peer.clocks.timeOfDay - asked);
            }
        }
    }

    Allotment lastRow(const Incarnation &process) const
    {
        for (auto entry = log_.rbegin(); entry != log_.rend(); ++entry) {
            if (entry->row.holder == process) {
                return entry->row.allotment;
            }
        }
        return {};
    }

    bool runs(const Host &host) const { return now_ >= host.startedAt && now_ >= host.pausedUntil; }

    std::size_t indexOf(const Host &host) const
    {
        return static_cast<std::size_t>(&host - hosts_.data());
    }

    void append(const AllotmentRow &row) { log_.push_back({row}); }

    void readAll(Host &host)
    {
        while (host.read < log_.size()) {
            host.holder->onRow(log_[host.read].row, host.read, now_);
            ++host.read;
        }
        if (host.holder->onReadUpTo(host.read)) {
            host.hasBatchInFlight = false;
        }
    }

    void step()
    {
        const std::size_t index = randomBelow(hosts_.size());
        Host &host = hosts_[index];
        if (!runs(host)) {
            return;
        }
        constexpr uint64_t Weights = 15;
        const uint64_t action = randomBelow(Weights);
        if (action < 4) {
            reserve(host);
        } else if (action < 5) {
            settle(host);
        } else if (action < 8) {
            sync(host);
        } else if (action < 9) {
            requestTokens(index);
        } else if (action < 10) {
            deliver();
        } else if (action < 12) {
            seal(host);
        } else if (action < 14) {
            deliverClockMessage();
        } else {
            injectFault(host);
        }
    }

    void reserve(Host &host)
    {
        const uint64_t tokens = 20 + randomBelow(400);
        if (host.holder->reserve(Workspace, tokens, now_)) {
            host.openReservations.push_back(tokens);
            // Worst case: all of it is spent, and the process may end at any time.
            spent_ += tokens;
        }
    }

    void settle(Host &host)
    {
        if (host.openReservations.empty()) {
            return;
        }
        const uint64_t tokens = host.openReservations.front();
        host.openReservations.pop_front();
        const uint64_t used = randomBelow(tokens + 1);
        host.holder->settle(Workspace, tokens, used, now_);
        spent_ -= tokens - used;
    }

    void sync(Host &host)
    {
        if (host.isPartitioned) {
            return;
        }
        readAll(host);
        if (host.hasBatchInFlight) {
            // The response was lost: the batch is written again unchanged.
            writeBatch(host);
            return;
        }
        const auto rows = host.holder->nextBatch(now_);
        if (!rows) {
            return;
        }
        host.rowsInFlight = *rows;
        host.hasBatchInFlight = true;
        host.batchInFlight = {clocksOf(host), {}};
        for (std::size_t peer = 0; peer < Hosts; ++peer) {
            if (peer == indexOf(host)) {
                continue;
            }
            // Contains either the current clocks of a running peer or those from its last batch.
            if (runs(hosts_[peer]) && homesRandom_() % 2 == 0) {
                host.batchInFlight.peers.push_back(
                        {peer, hosts_[peer].incarnation, clocksOf(hosts_[peer])});
            } else if (reportedClocks_[peer].isReported) {
                host.batchInFlight.peers.push_back(
                        {peer, reportedClocks_[peer].process, reportedClocks_[peer].clocks});
            }
        }
        writeBatch(host);
    }

    void writeBatch(Host &host)
    {
        if (chance(0.2)) {
            return; // lost
        }
        for (const AllotmentRow &row : host.rowsInFlight) {
            append(row);
        }
        stored_[host.incarnation] = host.batchInFlight;
        writeSeals(host);
        reportedClocks_[indexOf(host)] = {true, host.incarnation, host.batchInFlight.own};
        if (disabled_ == DisabledSafeguard::BatchesInOrder && chance(0.3)) {
            reorderedBatches_.push_back(host.rowsInFlight);
        }
        if (host.rowsInFlight.empty()) {
            host.holder->onBatchWritten();
            host.hasBatchInFlight = false;
        } else if (chance(0.7)) {
            readAll(host);
        }
    }

    void requestTokens(std::size_t index)
    {
        const std::size_t other = randomBelow(hosts_.size());
        if (other == index || !runs(hosts_[other])) {
            return;
        }
        for (const TokenRequest &request : hosts_[index].holder->peerRequests(now_)) {
            transfer(other, index, hosts_[other].holder->transferOut(request, now_));
        }
        if (homes_ && homesRandom_() % 2 == 0) {
            hosts_[index].holder->clearRequiredTokens(Workspace);
            transfer(index, other, hosts_[index].holder->releaseLeftover(Workspace, now_));
        }
    }

    void transfer(std::size_t from, std::size_t to, uint64_t tokens)
    {
        hosts_[from].transferredOut += tokens;
        if (tokens > 0) {
            transfers_.push_back({++lastTransfer_, to, hosts_[to].incarnation, tokens});
        }
    }

    void deliver()
    {
        if (!reorderedBatches_.empty() && chance(0.5)) {
            for (const AllotmentRow &row : reorderedBatches_.front()) {
                append(row);
            }
            reorderedBatches_.pop_front();
        }
        if (!lateBatches_.empty() && chance(0.3)) {
            const LateBatch &lateBatch = lateBatches_.front();
            for (const AllotmentRow &row : lateBatch.rows) {
                append(row);
            }
            stored_[lateBatch.process] = lateBatch.batch;
            lateBatches_.pop_front();
        }
        if (transfers_.empty()) {
            return;
        }
        const Transfer transfer = transfers_.front();
        if (chance(0.6)) {
            transfers_.pop_front(); // else it is duplicated
        }
        Host &host = hosts_[transfer.to];
        if (host.incarnation != transfer.incarnation || chance(0.1)) {
            return;
        }
        const bool first = host.receivedTransfers.emplace(transfer.id, true).second;
        if (first || disabled_ == DisabledSafeguard::TransferOnce) {
            host.holder->transferIn(Workspace, transfer.tokens, now_);
            host.transferredIn += transfer.tokens;
        }
    }

    void injectFault(Host &host)
    {
        if (hasFailures_ && chance(0.25)) {
            // Its reserved tokens may have been spent: they stay in spent_.
            now_ += std::chrono::milliseconds(randomBelow(1500));
            end(host, chance(0.3));
        } else if (chance(0.1)) {
            outage();
        } else if (chance(0.5)) {
            host.isPartitioned = !host.isPartitioned;
            host.holder->setStoreReachable(!host.isPartitioned);
            now_ += std::chrono::milliseconds(host.isPartitioned ? randomBelow(4000) : 0);
        } else if (chance(0.3)) {
            host.pausedUntil = now_ + std::chrono::milliseconds(randomBelow(6000));
        } else if (chance(0.4)) {
            setClocks(host, chance(0.5));
        }
    }

    /// Changes the time of day of one host or of all, by the same or by different amounts.
    void setClocks(Host &host, bool all)
    {
        const auto offset = [this] {
            return Millis(randomBelow(12'000)) - Millis(6000);
        };
        const bool together = chance(0.5);
        const Millis shared = offset();
        for (Host &other : hosts_) {
            if (all || &other == &host) {
                other.timeOfDayOffset = together ? shared : offset();
            }
        }
    }

    /// The store is unreachable for all hosts, which continue with their tokens; then processes may
    /// end.
    void outage()
    {
        setPartitioned(true);
        for (uint64_t i = randomBelow(100); i > 0; --i) {
            now_ += std::chrono::milliseconds(randomBelow(120));
            Host &other = hosts_[randomBelow(hosts_.size())];
            if (runs(other)) {
                reserve(other);
            }
        }
        if (chance(0.5)) {
            setClocks(hosts_.front(), true);
        }
        if (hasFailures_ && chance(0.5)) {
            end(hosts_[randomBelow(hosts_.size())], chance(0.5));
        }
        // The outage may last beyond the start, and all hosts may be down again before it ends.
        if (chance(0.3)) {
            now_ += std::chrono::milliseconds(randomBelow(4000));
            if (hasFailures_ && chance(0.3)) {
                end(hosts_.front(), true);
            }
        }
        setPartitioned(false);
    }

    void setPartitioned(bool isPartitioned)
    {
        for (Host &host : hosts_) {
            host.isPartitioned = isPartitioned;
            host.holder->setStoreReachable(!isPartitioned);
        }
    }

    void end(Host &host, bool all)
    {
        const bool power = all || chance(0.5);
        for (Host &other : hosts_) {
            if (!all && &other != &host) {
                continue;
            }
            // Worst case: it has used all that it may just before.
            for (uint64_t i = chance(0.5) ? 100 : 0; i > 0 && runs(other); --i) {
                reserve(other);
            }
            if (power) {
                // In half of the cases the clock since boot may read slightly more than before the
                // boot.
                const Millis back(randomBelow(12'000));
                other.bootedAt = chance(0.5) ? other.bootedAt + back
                                             : simulatedTime() - Millis(randomBelow(100'000));
            }
            start(other, now_ + std::chrono::milliseconds(chance(0.5) ? randomBelow(3000) : 0));
        }
    }

    std::mt19937_64 random_;
    std::minstd_rand homesRandom_; ///< separate, so that it doesn't affect other choices
    DisabledSafeguard disabled_;
    ReservePolicy policy_;
    bool homes_;
    Instant now_{std::chrono::hours(1)};
    uint64_t prepaid_ = 0;
    bool hasFailures_ = false;
    uint64_t spent_ = 0;
    uint64_t returnedThoughUsed_ = 0;
    uint64_t incarnations_ = 0;
    uint64_t lastTransfer_ = 0;
    std::vector<LogRow> log_;
    std::deque<std::vector<AllotmentRow>> reorderedBatches_;
    std::deque<Transfer> transfers_;
    std::vector<Host> hosts_;
    std::vector<ReportedClocks> reportedClocks_;
    std::deque<ClockMessage> clockMessages_;
    std::deque<LateBatch> lateBatches_;
    std::map<Incarnation, Batch> stored_; ///< the last batch of each process in the store
};

int overspentRuns(DisabledSafeguard disabled, ReservePolicy policy)
{
    int overspent = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        overspent += Simulation(seed, disabled, policy).simulate(Steps) > 0 ? 1 : 0;
    }
    return overspent;
}

constexpr ReservePolicy Policies[] = {ReservePolicy::MeanDemand, ReservePolicy::PeakDemand};

class TokenHolderModel : public testing::TestWithParam<ReservePolicy>
{};

TEST_P(TokenHolderModel, NeverOverspends)
{
    EXPECT_EQ(overspentRuns(DisabledSafeguard::None, GetParam()), 0);
}

INSTANTIATE_TEST_SUITE_P(Policies, TokenHolderModel, testing::ValuesIn(Policies));

class DisabledSafeguardTest
    : public testing::TestWithParam<std::tuple<DisabledSafeguard, ReservePolicy>>
{};

TEST_P(DisabledSafeguardTest, Overspends)
{
    EXPECT_GT(overspentRuns(std::get<0>(GetParam()), std::get<1>(GetParam())), 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, DisabledSafeguardTest,
                         testing::Combine(testing::Values(DisabledSafeguard::SealOnlyRecentBatches,
                                                          DisabledSafeguard::ClocksSinceBoot,
                                                          DisabledSafeguard::UsePerSecond,
                                                          DisabledSafeguard::PeersThatKeptRunning,
                                                          DisabledSafeguard::OwnResponsesOnly,
                                                          DisabledSafeguard::TimeUntilRequest,
                                                          DisabledSafeguard::TransferOnce,
                                                          DisabledSafeguard::BatchesInOrder),
                                          testing::ValuesIn(Policies)));

} // namespace
