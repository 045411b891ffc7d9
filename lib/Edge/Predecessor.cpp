#include "Predecessor.h"

#include <algorithm>

namespace sequoiagate {

namespace {

constexpr Interval AskAgainAfter = std::chrono::milliseconds(100);
constexpr Interval AllAnswerWithin = std::chrono::milliseconds(500);
/// Waiting makes no bound larger; its tokens are given back that much later.
constexpr Interval GiveUpAfter = std::chrono::seconds(10);

} // namespace

Predecessor::Predecessor(BatchMoment last, const std::set<Address> &listed, Instant now)
    : process_(std::move(last.holder)), allAnswerBy_(now + AllAnswerWithin),
      giveUpAt_(now + GiveUpAfter)
{
    for (PeerClock &peer : last.peers) {
        if (listed.count(peer.address) > 0) {
            const Address address = peer.address;
            asked_[address] = {std::move(peer), std::nullopt};
        }
    }
}

std::vector<Predecessor::Address> Predecessor::asks(Instant now)
{
    std::vector<Address> addresses;
    if (now < askAgainAt_) {
        return addresses;
    }
    askAgainAt_ = now + AskAgainAfter;
    for (const auto &[address, asked] : asked_) {
        if (!asked.answer) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void Predecessor::onAnswer(const ClockAnswer &answer)
{
    const auto found = asked_.find(answer.address);
    if (found != asked_.end() && !found->second.answer) {
        found->second.answer = answer;
    }
}

std::size_t Predecessor::answered() const
{
    return static_cast<std::size_t>(
            std::count_if(asked_.begin(), asked_.end(),
                          [](const auto &entry) { return entry.second.answer.has_value(); }));
}

bool Predecessor::decided(Instant now) const
{
    return answered() == asked() || now >= giveUpAt_ || (now >= allAnswerBy_ && bound());
}

std::optional<Millis> Predecessor::bound() const
{
    std::vector<PeerClockReadings> spans;
    for (const auto &[address, asked] : asked_) {
        if (asked.answer) {
            spans.push_back({asked.before.process, Incarnation(processMark(asked.answer->process)),
                             asked.before.sinceBoot, asked.answer->sinceBoot,
                             asked.answer->askedAfterStart});
        }
    }
    return elapsedBound(spans);
}

} // namespace sequoiagate
