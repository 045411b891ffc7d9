#include "sequoiagate/Keeper/KeeperCore.h"

#include <algorithm>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Platform/Streams.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

/// How long a bill or an outcome that the log has is remembered, to answer a router that asks
/// again.
static constexpr Seconds RememberFor{600};
/// While the chosen keeper may still write the checkpoint, the others wait so many times longer.
static constexpr uint64_t CheckpointPatience = 2;

KeeperCore::KeeperCore(const KeeperCoreSettings &settings, const wire::MemberEntry &self,
                       const Statechart &drainChart, Instant now)
    : settings_(settings), self_(self.incarnation()), view_(self, settings.suspectGrace),
      drain_(drainChart), configQueue_(self_, HostId(self.host()), settings.appendRetry)
{
    configPlace_.heardAt = now;
    peersHeardAt_ = now + settings.configPeerGrace;
    for (uint32_t index = 0; index < settings.ledgerShards; ++index) {
        shards_.push_back(std::make_unique<Shard>(
                Shard{LedgerFold(),
                      GrantWitness(self_, settings.grants),
                      AppendQueue(self_, HostId(self.host()), settings.appendRetry),
                      StreamPlace(),
                      {},
                      {}}));
        shards_.back()->place.heardAt = now;
        shardIndex_.emplace(ledgerStreamOfShard(index), index);
    }
}

// ---- streams ----

std::string KeeperCore::streamName(std::size_t stream) const
{
    return stream == 0 ? configStream() : ledgerStreamOfShard(static_cast<uint32_t>(stream - 1));
}

LogOffset KeeperCore::nextOffset(std::size_t stream) const
{
    return stream == 0 ? config_.state().offset() : shards_[stream - 1]->fold.nextOffset();
}

StreamState KeeperCore::streamState(std::size_t stream) const
{
    return stream == 0 ? configPlace_.state : shards_[stream - 1]->place.state;
}

AppendQueue &KeeperCore::queue(std::size_t stream)
{
    return stream == 0 ? configQueue_ : shards_[stream - 1]->queue;
}

KeeperCore::Shard &KeeperCore::shardOf(const WorkspaceId &workspace)
{
    return *shards_[shardIndex_.at(ledgerStream(workspace, settings_.ledgerShards))];
}

const KeeperCore::Shard &KeeperCore::shardOf(const WorkspaceId &workspace) const
{
    return *shards_[shardIndex_.at(ledgerStream(workspace, settings_.ledgerShards))];
}

bool KeeperCore::reachable(const StreamPlace &place, Instant now) const
{
    return place.state == StreamState::Current && now < place.reachableUntil;
}

bool KeeperCore::configLogSilent(Instant now) const
{
    return now >= configPlace_.reachableUntil;
}

uint64_t KeeperCore::push(AppendQueue &queue, wire::Record record, Instant sendBy)
{
    const Instant dueBefore = queue.nextDeadline();
    const uint64_t sequence = queue.push(std::move(record), sendBy, wall_);
    // The writer waits for the earliest deadline by itself: a bill that shares the next
    // append with others must not wake it.
    if (queue.nextDeadline() < dueBefore) {
        addWork(WorkKind::Append);
    }
    return sequence;
}

/// Takes note of a read's answer. \returns whether its entries can be folded.
bool KeeperCore::placeSlice(StreamPlace &place, LogOffset next, const LogSlice &slice, Instant now)
{
    place.heardAt = now;
    place.reachableUntil = now + settings_.logSilent;
    // Records expired that this fold never saw: a grant or a bill may be among them,
    // and a budget read without them would look larger than it is. Nothing is served
    // from the stream until a checkpoint from beyond the gap has been found.
    if (slice.oldest > next) {
        place.state = StreamState::Gap;
        return false;
    }
    const LogOffset after = slice.entries.empty() ? next : slice.entries.back().offset + 1;
    place.state = after >= slice.next               ? StreamState::Current
                  : place.state == StreamState::Gap ? StreamState::CatchingUp
                                                    : place.state;
    return true;
}

void KeeperCore::onSlice(std::size_t stream, const LogSlice &slice, Instant now, WallTime wall)
{
    wall_ = wall;
    StreamPlace &place = stream == 0 ? configPlace_ : shards_[stream - 1]->place;
    const StreamState before = place.state;
    if (!placeSlice(place, nextOffset(stream), slice, now)) {
        return;
    }
    if (stream == 0) {
        foldConfigSlice(slice, now);
    } else {
        foldLedgerSlice(*shards_[stream - 1], slice, now);
    }
    if (before != place.state) {
        ++progress_;
    }
}

void KeeperCore::foldLedgerSlice(Shard &shard, const LogSlice &slice, Instant now)
{
    for (const LogEntry &entry : slice.entries) {
        // What can't be parsed must move the fold on all the same, or no reader of this
        // version would ever get past it; an empty record is refused by every fold.
        if (entry.offset != shard.fold.nextOffset()) {
            continue;
        }
        wire::Record record;
        if (!record.ParseFromString(entry.data)) {
            record.Clear();
        }
        const FoldResult result = shard.fold.apply(record, entry.offset);
        afterLedgerRecord(shard, record, result, entry.offset, now);
    }
    if (!slice.entries.empty()) {
        afterFold(shard, now);
    }
}

void KeeperCore::afterLedgerRecord(Shard &shard, const wire::Record &record,
                                   const FoldResult &result, LogOffset offset, Instant now)
{
    if (record.has_bill()) {
        const RequestKey key{WorkspaceId(record.bill().workspace()),
                             RequestId(record.bill().request())};
        bills_.markDurable(key, offset + 1, now + RememberFor);
        closeBilledElsewhere(key, record.bill(), now);
    }
    if (record.has_checkpoint() && record.checkpoint().has_ledger()) {
        noteCheckpoint(shard.place, record.checkpoint().ledger().offset(), now);
    }
    if (record.writer() == self_.text() && result.outcome != FoldOutcome::Duplicate) {
        noteRecord(record, result, offset);
    }
}

/// Logs what became of a record of this keeper's own.
void KeeperCore::noteRecord(const wire::Record &record, const FoldResult &result, LogOffset offset)
{
    if (result.outcome == FoldOutcome::Refused) {
        events_.push_back(Event("record.refused")
                                  .with("offset", offset)
                                  .with("sequence", record.sequence())
                                  .with("why", result.reason));
        return;
    }
    switch (record.body_case()) {
    case wire::Record::kGrantClaim:
        events_.push_back(Event(events::GrantAccepted)
                                  .with("grant", record.grant_claim().grant())
                                  .with("workspace", record.grant_claim().workspace())
                                  .with("tokens", record.grant_claim().tokens())
                                  .with("witness", record.grant_claim().witness())
                                  .with("offset", offset));
        break;
    case wire::Record::kGrantSeal:
        events_.push_back(Event(events::GrantEnded)
                                  .with("grant", record.grant_seal().grant())
                                  .with("refund", result.refundTokens)
                                  .with("how", "seal"));
        break;
    case wire::Record::kGrantClose:
        events_.push_back(Event(events::GrantEnded)
                                  .with("grant", record.grant_close().grant())
                                  .with("refund", result.refundTokens)
                                  .with("how", "close"));
        break;
    case wire::Record::kGrantRewitness:
        events_.push_back(Event("grant.rewitnessed")
                                  .with("grant", record.grant_rewitness().grant())
                                  .with("witness", record.grant_rewitness().witness()));
        break;
    case wire::Record::kBill:
        events_.push_back(Event(events::BillDurable)
                                  .with("workspace", record.bill().workspace())
                                  .with("request", record.bill().request())
                                  .with("tokens", record.bill().prompt_tokens()
                                                          + record.bill().completion_tokens())
                                  .with("in_doubt", record.bill().in_doubt())
                                  .with("offset", offset));
        break;
    default:
        break;
    }
}

void KeeperCore::afterFold(Shard &shard, Instant now)
{
    shard.queue.dropFolded([&](uint64_t sequence) { return shard.fold.folded(self_, sequence); });
    for (auto &[workspace, holder] : shard.holders) {
        holder.onFold(shard.fold, now);
    }
    shard.witness.onFold(shard.fold, now);
    for (auto &[attempt, pending] : claims_) {
        if (pending.withdrawn) {
            undoClaim(pending, now);
        }
    }
    pumpAll(shard, now);
    fundWorkspaces(now);
    ++progress_;
}

void KeeperCore::foldConfigSlice(const LogSlice &slice, Instant now)
{
    const uint64_t before = config_.version();
    const wire::ConfigState old = slice.entries.empty() ? wire::ConfigState() : config_.state();
    for (const LogEntry &entry : slice.entries) {
        // A peer's newer state may have been taken while this read was under way.
        if (entry.offset != config_.state().offset()) {
            continue;
        }
        wire::Record record;
        if (!record.ParseFromString(entry.data)) {
            record.Clear();
        }
        config_.apply(record, entry.offset);
        if (record.has_checkpoint() && record.checkpoint().has_config()) {
            noteCheckpoint(configPlace_, record.checkpoint().config().offset(), now);
        }
        if (record.writer() == self_.text()) {
            const uint64_t sequence = record.sequence();
            configQueue_.dropFolded([&](uint64_t queued) { return queued <= sequence; });
        }
    }
    afterConfig(before, old, now);
}

bool KeeperCore::onPeerConfig(const wire::ConfigState &config, Instant now)
{
    const uint64_t before = config_.version();
    const wire::ConfigState old = config_.state();
    const bool taken = config_.adoptIfNewer(config);
    configFromPeer_ = configFromPeer_ || taken;
    if (taken) {
        events_.push_back(Event("config.from_peer").with("version", config_.version()));
    }
    afterConfig(before, old, now);
    return taken;
}

/// Serves the newest version, once it is known to be the newest that can be had. A
/// process that starts folds the stream from its oldest record: were each version served
/// on the way, the host would go back to configurations that were replaced long ago. The
/// same would come of taking the first peer's word while the log is away, if that peer was
/// cut off itself; so all peers are heard for a while, and none below the highest version
/// heard of is taken. The log's own word counts in the end, whatever was heard.
void KeeperCore::putInForce(Instant now)
{
    configFromLog_ = configFromLog_ || configPlace_.state == StreamState::Current;
    const uint64_t version = config_.version();
    const bool highest = version >= highestVersionSeen_;
    const bool heardAll = now >= peersHeardAt_;
    const bool newest = inForceVersion_ > 0 || (configFromLog_ && (highest || heardAll))
                        || (configFromPeer_ && highest && heardAll);
    if (!newest || version <= inForceVersion_) {
        return;
    }
    inForceVersion_ = version;
    events_.push_back(Event(events::ConfigInForce).with("version", version));
    ++progress_;
}

void KeeperCore::onVersionSeen(uint64_t version)
{
    highestVersionSeen_ = std::max(highestVersionSeen_, version);
}

void KeeperCore::afterConfig(uint64_t before, const wire::ConfigState &old, Instant now)
{
    putInForce(now);
    if (config_.version() == before) {
        return;
    }
    fundingDue_.clear();
    const FundingDue due{0, config_.version(), now + settings_.fundingFallback, false};
    for (const wire::WorkspaceConfig &workspace : config_.state().workspaces()) {
        FundingDue &added = fundingDue_.emplace(workspace.workspace(), due).first->second;
        added.total = prepaidTotal(workspace);
    }
    // A workspace that was taken out of the configuration has nothing to spend any more.
    for (const wire::WorkspaceConfig &workspace : old.workspaces()) {
        fundingDue_.emplace(workspace.workspace(), due);
    }
    fundWorkspaces(now);
}

/// Records the prepaid totals that a configuration brought. One keeper is chosen for
/// each workspace, so that a change costs one append and not one a host; the others
/// step in when it hasn't appeared in time, so that the chosen one's death costs that
/// delay only. The fold takes one record a version, whoever wrote it.
void KeeperCore::fundWorkspaces(Instant now)
{
    for (auto entry = fundingDue_.begin(); entry != fundingDue_.end();) {
        const bool settled = fundWorkspace(entry->first, entry->second, now);
        entry = settled ? fundingDue_.erase(entry) : std::next(entry);
    }
}

/// \returns whether the ledger has the total.
bool KeeperCore::fundWorkspace(const WorkspaceId &workspace, FundingDue &due, Instant now)
{
    Shard &shard = shardOf(workspace);
    const LedgerBudget *budget = shard.fold.budget(workspace);
    const bool recorded = budget != nullptr && budget->configVersion > 0
                          && (budget->configVersion >= due.version || budget->total == due.total);
    if (recorded) {
        return true;
    }
    const bool mine = view_.chosen(workspace.text(), DomainId()) || now >= due.fallbackAt;
    if (mine && !due.pushed && reachable(shard.place, now)) {
        wire::Record record;
        record.mutable_funding()->set_workspace(workspace.text());
        record.mutable_funding()->set_config_version(due.version);
        record.mutable_funding()->set_total_tokens(due.total);
        push(shard.queue, std::move(record), now);
        due.pushed = true;
    }
    return false;
}

// ---- checkpoints ----

void KeeperCore::noteCheckpoint(StreamPlace &place, LogOffset offset, Instant now)
{
    place.checkpointedTo = std::max(place.checkpointedTo, offset);
    place.checkpointDueAt = now + settings_.checkpointEvery;
}

void KeeperCore::onCheckpoint(std::size_t stream, const wire::Checkpoint &checkpoint, Instant now)
{
    if (stream == 0) {
        onPeerConfig(checkpoint.config(), now);
        noteCheckpoint(configPlace_, checkpoint.config().offset(), now);
        return;
    }
    Shard &shard = *shards_[stream - 1];
    if (checkpoint.ledger().offset() < shard.fold.nextOffset()) {
        return;
    }
    shard.fold.restore(checkpoint.ledger());
    shard.place.state = StreamState::CatchingUp;
    noteCheckpoint(shard.place, checkpoint.ledger().offset(), now);
    for (const RequestKey &key : bills_.pendingKeys()) {
        if (&shardOf(key.workspace) == &shard && shard.fold.billed(key.workspace, key.request)) {
            bills_.markDurable(key, shard.fold.nextOffset(), now + RememberFor);
        }
    }
    afterFold(shard, now);
}

/// A checkpoint must stand well before the records that it replaces expire, or a host
/// that starts then finds a gap and can't serve. One keeper is chosen; the others wait
/// for twice as long and then write it too, which is harmless, since the state at an
/// offset is the same whoever wrote it.
bool KeeperCore::checkpointDue(StreamPlace &place, const std::string &stream, LogOffset next,
                               Instant now) const
{
    if (!reachable(place, now) || next <= place.checkpointedTo) {
        return false;
    }
    if (place.checkpointDueAt == Never) {
        place.checkpointDueAt = now + settings_.checkpointEvery;
    }
    const bool mine = view_.chosen(stream, DomainId());
    const uint64_t patience = mine ? 1 : CheckpointPatience;
    const uint64_t records = settings_.checkpointRecords * patience;
    const LogOffset since = std::max(place.checkpointedTo, place.checkpointAsked);
    const Instant dueAt =
            mine ? place.checkpointDueAt : place.checkpointDueAt + settings_.checkpointEvery;
    const bool manyRecords = next >= since + records;
    const bool overdue = now >= dueAt && place.checkpointAsked <= place.checkpointedTo;
    return manyRecords || overdue;
}

void KeeperCore::writeCheckpoints(Instant now)
{
    const LogOffset configNext = config_.state().offset();
    if (checkpointDue(configPlace_, configStream(), configNext, now)) {
        wire::Record record;
        *record.mutable_checkpoint()->mutable_config() = config_.state();
        push(configQueue_, std::move(record), now);
        configPlace_.checkpointAsked = configNext;
    }
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        Shard &shard = *shards_[index];
        const LogOffset next = shard.fold.nextOffset();
        if (!checkpointDue(shard.place, streamName(index + 1), next, now)) {
            continue;
        }
        wire::Record record;
        *record.mutable_checkpoint()->mutable_ledger() = shard.fold.checkpoint();
        push(shard.queue, std::move(record), now);
        shard.place.checkpointAsked = next;
    }
}

// ---- timers ----

void KeeperCore::onTick(Instant now, WallTime wall)
{
    wall_ = wall;
    for (const auto &shard : shards_) {
        for (auto &[workspace, holder] : shard->holders) {
            if (!draining() && now >= holder.nextDeadline()) {
                holder.onTick(view_.witnessesFor(workspace), shard->fold,
                              reachable(shard->place, now), now);
            }
        }
        suspectPeers(*shard, now);
        pumpAll(*shard, now);
    }
    askAfterSilentRouters(now);
    putInForce(now);
    fundWorkspaces(now);
    writeCheckpoints(now);
    bills_.forget(now);
    std::erase_if(claims_, [&](const auto &entry) { return entry.second.forgetAt <= now; });
    std::erase_if(outcomes_, [&](const auto &entry) { return entry.second.forgetAt <= now; });
}

std::vector<Event> KeeperCore::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace sequoiagate
