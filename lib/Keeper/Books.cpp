#include "sequoiagate/Keeper/Books.h"

#include <cassert>
#include <charconv>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

std::size_t RequestKeyHash::operator()(const RequestKey &key) const noexcept
{
    return stableHash(key.request.text(), stableHash(key.workspace.text()));
}

OpenReservation *ReservationBook::find(const RequestKey &key)
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &found->second;
}

OpenReservation *ReservationBook::find(const ReservationId &id)
{
    const auto found = keys_.find(id);
    return found == keys_.end() ? nullptr : find(found->second);
}

void ReservationBook::open(OpenReservation reservation)
{
    assert(find(reservation.key) == nullptr && "one reservation a request");
    keys_.emplace(reservation.id, reservation.key);
    const RequestKey key = reservation.key;
    byKey_.emplace(key, std::move(reservation));
}

void ReservationBook::close(const ReservationId &id)
{
    const auto found = keys_.find(id);
    if (found == keys_.end()) {
        return;
    }
    byKey_.erase(found->second);
    keys_.erase(found);
}

std::vector<OpenReservation *> ReservationBook::all()
{
    std::vector<OpenReservation *> reservations;
    reservations.reserve(byKey_.size());
    for (auto &[key, reservation] : byKey_) {
        reservations.push_back(&reservation);
    }
    return reservations;
}

HeldBill *BillBook::find(const RequestKey &key)
{
    const auto found = bills_.find(key);
    return found == bills_.end() ? nullptr : &found->second;
}

void BillBook::hold(const RequestKey &key, wire::Bill bill, std::string bodyHash)
{
    assert(find(key) == nullptr && "one bill a request");
    HeldBill held;
    held.bill = std::move(bill);
    held.bodyHash = std::move(bodyHash);
    bills_.emplace(key, std::move(held));
    ++pending_;
}

void BillBook::markDurable(const RequestKey &key, uint64_t offset, Instant forgetAt)
{
    HeldBill *held = find(key);
    if (held == nullptr || held->durableOffset != 0) {
        return;
    }
    held->durableOffset = offset;
    held->forgetAt = forgetAt;
    --pending_;
}

void BillBook::forget(Instant now)
{
    std::erase_if(bills_, [&](const auto &entry) { return entry.second.forgetAt <= now; });
}

std::vector<RequestKey> BillBook::pendingKeys() const
{
    std::vector<RequestKey> keys;
    for (const auto &[key, held] : bills_) {
        if (held.durableOffset == 0) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::optional<WallTime> uuid7Time(const std::string &key)
{
    constexpr std::size_t Length = 36;
    constexpr std::size_t VersionAt = 14;
    if (key.size() != Length || key[VersionAt] != '7') {
        return std::nullopt;
    }
    std::string digits;
    for (std::size_t index = 0; index < key.size(); ++index) {
        const bool hyphenPlace = index == 8 || index == 13 || index == 18 || index == 23;
        const bool isHyphen = key[index] == '-';
        if (hyphenPlace != isHyphen || (!isHyphen && !std::isxdigit(key[index]))) {
            return std::nullopt;
        }
        if (!isHyphen) {
            digits.push_back(key[index]);
        }
    }
    constexpr std::size_t TimeDigits = 12;
    uint64_t millis = 0;
    std::from_chars(digits.data(), digits.data() + TimeDigits, millis, 16);
    return WallTime(std::chrono::milliseconds(millis));
}

} // namespace sequoiagate
