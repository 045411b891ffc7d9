#include "unittests/Support/FleetPolicies.h"

#include <algorithm>
#include <random>
#include <unordered_map>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate::model {

namespace {

class LimitedAdmission : public AdmissionStrategy
{
public:
    explicit LimitedAdmission(AdmissionSettings settings) : admission_(settings) {}

    AdmissionOutcome offer(const WorkItem &item, Instant now) override
    {
        return admission_.offer(item, now);
    }
    void onFirstToken(const RequestId &request, Instant now) override
    {
        admission_.onFirstToken(request, now);
    }
    void finished(const RequestId &request, uint64_t tokens, Instant now) override
    {
        admission_.finished(request, tokens, now);
    }
    void setSlots(uint32_t slots, Instant now) override { admission_.setSlots(slots, now); }
    std::vector<QueueRelease> poll(Instant now) override { return admission_.poll(now); }
    Instant nextDeadline() const override { return admission_.nextDeadline(); }

private:
    Admission admission_;
};

class UnlimitedAdmission : public AdmissionStrategy
{
public:
    AdmissionOutcome offer(const WorkItem &item, Instant /*now*/) override
    {
        return Admitted{item.request};
    }
    void onFirstToken(const RequestId & /*request*/, Instant /*now*/) override {}
    void finished(const RequestId & /*request*/, uint64_t /*tokens*/, Instant /*now*/) override {}
    void setSlots(uint32_t /*slots*/, Instant /*now*/) override {}
    std::vector<QueueRelease> poll(Instant /*now*/) override { return {}; }
    Instant nextDeadline() const override { return Never; }
};

class SequoiagateChoice : public ChoiceStrategy
{
public:
    SequoiagateChoice(const DomainId &self, EndpointSelectorSettings settings)
        : choice_(self, settings)
    {}

    void setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant now) override
    {
        choice_.setEndpoints(endpoints, now);
    }
    SelectionOutcome choose(const WorkItem &item, const std::vector<EndpointId> &tried,
                            Instant now) override
    {
        return choice_.select(item, tried, now);
    }
    void onSent(const EndpointId &endpoint, const WorkItem &item, Instant now) override
    {
        choice_.onSent(endpoint, item, now);
    }
    void onFirstToken(const EndpointId &endpoint, const RequestId &request, Instant now) override
    {
        choice_.onFirstToken(endpoint, request, now);
    }
    void onEnd(const AttemptResult &result, Instant now) override { choice_.onEnd(result, now); }
    void onReport(const LoadReport &report, Instant now) override { choice_.onReport(report, now); }
    void onCacheEvent(const EndpointId &endpoint, uint64_t prefix, bool stored,
                      Instant observedAt) override
    {
        choice_.onCacheEvent(endpoint, prefix, stored, observedAt);
    }
    uint32_t totalSlots(Instant now) const override { return choice_.concurrencyLimit(now); }

private:
    EndpointSelector choice_;
};

/// The policies that one would write first. They leave out what is known to be away
/// and what was tried, as anybody's would.
class BaselineChoice : public ChoiceStrategy
{
public:
    BaselineChoice(PlainChoice kind, uint64_t seed) : kind_(kind), random_(seed) {}

    void setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant /*now*/) override
    {
        endpoints_.clear();
        for (const EndpointSpec &spec : endpoints) {
            endpoints_.push_back({spec, 0, true});
        }
    }
    SelectionOutcome choose(const WorkItem &item, const std::vector<EndpointId> &tried,
                            Instant now) override;
    void onSent(const EndpointId &endpoint, const WorkItem & /*item*/, Instant /*now*/) override
    {
        ++find(endpoint).inFlight;
    }
    void onFirstToken(const EndpointId & /*endpoint*/, const RequestId & /*request*/,
                      Instant /*now*/) override
    {}
    void onEnd(const AttemptResult &result, Instant /*now*/) override
    {
        --find(result.endpoint).inFlight;
    }
    void onReport(const LoadReport &report, Instant /*now*/) override
    {
        find(report.endpoint).usable = report.reachable && !report.leaving;
    }
    void onCacheEvent(const EndpointId & /*endpoint*/, uint64_t /*prefix*/, bool /*stored*/,
                      Instant /*observedAt*/) override
    {}
    uint32_t totalSlots(Instant /*now*/) const override { return 0; }

private:
    struct Endpoint
    {
        EndpointSpec spec;
        int inFlight;
        bool usable;
    };

    Endpoint &find(const EndpointId &id)
    {
        return *std::find_if(endpoints_.begin(), endpoints_.end(),
                             [&](const Endpoint &e) { return e.spec.id == id; });
    }
    Endpoint *pick(const WorkItem &item, const std::vector<Endpoint *> &usable);

    PlainChoice kind_;
    std::vector<Endpoint> endpoints_;
    std::mt19937_64 random_;
    std::size_t next_ = 0;
};

SelectionOutcome BaselineChoice::choose(const WorkItem &item, const std::vector<EndpointId> &tried,
                                        Instant now)
{
    std::vector<Endpoint *> usable;
    for (Endpoint &endpoint : endpoints_) {
        const bool wasTried =
                std::find(tried.begin(), tried.end(), endpoint.spec.id) != tried.end();
        if (endpoint.usable && !wasTried) {
            usable.push_back(&endpoint);
        }
    }
    if (usable.empty()) {
        return Verdict{Execution::NotRun, Reason::NoEndpoint, "no endpoint can be used",
                       now + Seconds(1)};
    }
    return SelectedEndpoint{pick(item, usable)->spec.id, "baseline"};
}

BaselineChoice::Endpoint *BaselineChoice::pick(const WorkItem &item,
                                               const std::vector<Endpoint *> &usable)
{
    switch (kind_) {
    case PlainChoice::Random:
        return usable[random_() % usable.size()];
    case PlainChoice::RoundRobin:
        return usable[next_++ % usable.size()];
    case PlainChoice::LeastInFlight:
        return *std::min_element(
                usable.begin(), usable.end(),
                [](const Endpoint *a, const Endpoint *b) { return a->inFlight < b->inFlight; });
    case PlainChoice::ConsistentHash:
        break;
    }
    std::vector<std::string_view> names;
    for (const Endpoint *endpoint : usable) {
        names.push_back(endpoint->spec.id.text());
    }
    const uint64_t key = item.prefixHash != 0 ? item.prefixHash : random_();
    return usable[rendezvousChoice(std::to_string(key), names)];
}

} // namespace

Policy sequoiagatePolicy(AdmissionSettings admission, EndpointSelectorSettings choice)
{
    Policy policy;
    policy.name = "sequoiagate";
    policy.admission = [admission](uint64_t seed) {
        AdmissionSettings settings = admission;
        settings.seed = seed;
        return std::make_unique<LimitedAdmission>(settings);
    };
    policy.choice = [choice](const DomainId &self, uint64_t seed) {
        EndpointSelectorSettings settings = choice;
        settings.seed = seed;
        return std::make_unique<SequoiagateChoice>(self, settings);
    };
    return policy;
}

Policy plainChoicePolicy(const std::string &name, PlainChoice choice)
{
    Policy policy = sequoiagatePolicy();
    policy.name = name;
    policy.choice = [choice](const DomainId & /*self*/, uint64_t seed) {
        return std::make_unique<BaselineChoice>(choice, seed);
    };
    return policy;
}

Policy unlimitedPolicy(const std::string &name, PlainChoice choice)
{
    Policy policy = plainChoicePolicy(name, choice);
    policy.admission = [](uint64_t /*seed*/) {
        return std::make_unique<UnlimitedAdmission>();
    };
    policy.retryBudget = false;
    return policy;
}

} // namespace sequoiagate::model
