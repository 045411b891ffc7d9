#include "Predecessor.h"

#include <algorithm>

namespace sequoiagate {

namespace {

constexpr Interval AskAgainAfter = std::chrono::milliseconds(100);
/// Peers that lost power together with this host are back about as soon.
constexpr Interval AllAnswerWithin = std::chrono::milliseconds(500);
/// Waiting makes no bound larger; its tokens are given back that much later.
constexpr Interval GiveUpAfter = std::chrono::seconds(10);

} // namespace

Predecessor::Predecessor(BatchMoment last, DomainId domain, ClockReading started,
                         const std::map<Address, DomainId> &domainOf, Instant now)
    : last_(std::move(last)), domain_(std::move(domain)), started_(std::move(started)),
      allAnswerBy_(now + AllAnswerWithin), giveUpAt_(now + GiveUpAfter)
{
    for (const PeerClock &peer : last_.peers) {
        const auto found = domainOf.find(peer.address);
        if (found != domainOf.end()) {
            asked_[peer.address] = {peer, found->second, std::nullopt};
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
    ElapsedEvidence evidence{domain_, last_.clocks, started_, {}};
    for (const auto &[address, asked] : asked_) {
        if (asked.answer) {
            evidence.peers.push_back({asked.domain, asked.before.process,
                                      Incarnation(processMark(asked.answer->process)),
                                      asked.before.clocks, asked.answer->clocks,
                                      asked.answer->askedAfterStart});
        }
    }
    return elapsedBound(evidence);
}

} // namespace sequoiagate
