#include "VersionRecorder.h"

#include <algorithm>
#include <string_view>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/JsonDepth.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

constexpr int RowFormat = 1;

} // namespace

StoreRow encodeVersionRow(const ServiceId &service, const VersionRecord &record)
{
    nlohmann::json value = {{"format", RowFormat},
                            {"versions", nlohmann::json::array()},
                            {"route_moved", record.hasMovedRoute}};
    for (const SoftwareVersion &version : record.versions) {
        value["versions"].push_back(version.text());
    }
    return {VersionRowPrefix + service.text(),
            value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0};
}

VersionRow decodeVersionRow(const StoreRow &row)
{
    const VersionRow unreadable{
            ServiceId(row.key.substr(std::string_view(VersionRowPrefix).size())), {{}, true}};
    if (isNestedTooDeeply(row.value)) {
        return unreadable;
    }
    try {
        const nlohmann::json value = nlohmann::json::parse(row.value);
        if (value.at("format").get<int>() != RowFormat) {
            return unreadable;
        }
        VersionRow decoded{unreadable.service, {}};
        for (const nlohmann::json &version : value.at("versions")) {
            decoded.record.versions.insert(SoftwareVersion(version.get<std::string>()));
        }
        decoded.record.hasMovedRoute = value.at("route_moved").get<bool>();
        return decoded;
    } catch (const nlohmann::json::exception &) {
        return unreadable;
    }
}

VersionRecorder::VersionRecorder(boost::asio::io_context &io, Store &store, std::string topic,
                                 std::string writer, const HostId &self, VersionHistory &versions,
                                 EventLog &log)
    : self_(self), versions_(versions), log_(log),
      appender_(io, store, std::move(topic), std::move(writer),
                {[this] { return compose(tickedAt_); },
                 [this](const StoreBatch &batch, bool isTaken, StoreOutcome outcome) {
                     log_.write(Event(isTaken ? "versions.stored" : "versions.not_stored")
                                        .with("rows", batch.rows.size())
                                        .with("outcome", storeOutcomeName(outcome)));
                 }})
{}

void VersionRecorder::setHosts(const std::vector<Peer> &others)
{
    others_.clear();
    for (const Peer &peer : others) {
        others_.push_back(peer.host);
    }
}

void VersionRecorder::onRow(const StoreRow &row)
{
    const VersionRow decoded = decodeVersionRow(row);
    log_.write(Event("versions.recorded")
                       .with("service", decoded.service)
                       .with("versions", decoded.record.versions.size())
                       .with("route_moved", decoded.record.hasMovedRoute));
    versions_.setRecord(decoded.service, decoded.record);
}

std::size_t VersionRecorder::rankFor(const ServiceId &service) const
{
    const uint64_t own = rendezvousWeight(service.text(), self_.text());
    return static_cast<std::size_t>(
            std::count_if(others_.begin(), others_.end(), [&service, own](const HostId &host) {
                return rendezvousWeight(service.text(), host.text()) > own;
            }));
}

void VersionRecorder::onTopicRead(Instant now)
{
    versions_.onRecordsRead();
    writesFrom_ = std::min(writesFrom_, now + StartDelay);
}

bool VersionRecorder::isDue(const ServiceId &service, Instant now) const
{
    const auto since = outdatedSince_.find(service);
    return since != outdatedSince_.end()
           && now >= since->second + DelayPerRank * std::min(rankFor(service), MaxRank);
}

void VersionRecorder::tick(Instant now)
{
    tickedAt_ = now;
    if (now < writesFrom_) {
        return;
    }
    const auto outdated = versions_.outdatedRecords(now);
    std::erase_if(outdatedSince_,
                  [&outdated](const auto &entry) { return outdated.count(entry.first) == 0; });
    bool anyDue = false;
    for (const auto &[service, record] : outdated) {
        outdatedSince_.try_emplace(service, now);
        anyDue = anyDue || isDue(service, now);
    }
    if (anyDue) {
        appender_.write();
    }
}

std::vector<StoreRow> VersionRecorder::compose(Instant now)
{
    std::vector<StoreRow> rows;
    for (const auto &[service, record] : versions_.outdatedRecords(now)) {
        if (isDue(service, now)) {
            // Not again before the row can have been read back.
            outdatedSince_[service] = now + DelayPerRank;
            rows.push_back(encodeVersionRow(service, record));
        }
    }
    return rows;
}

} // namespace sequoiagate
