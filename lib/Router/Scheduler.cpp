#include "sequoiagate/Router/Scheduler.h"

#include <algorithm>

#include <absl/time/time.h>

namespace sequoiagate {

namespace {

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

EndpointSpec specOf(const wire::EndpointChange &endpoint)
{
    EndpointSpec spec;
    spec.id = EndpointId(endpoint.endpoint());
    spec.domain = DomainId(endpoint.domain());
    for (const std::string &service : endpoint.services()) {
        spec.services.emplace_back(service);
    }
    spec.slots = std::max<uint32_t>(endpoint.slots(), 1);
    spec.plainService = endpoint.kind() == wire::PLAIN_SERVICE;
    spec.leaving = endpoint.leaving();
    return spec;
}

LoadReport reportOf(const wire::EndpointObservation &observation, Instant now)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto wallMicros = std::chrono::duration_cast<std::chrono::microseconds>(wall);
    const std::chrono::microseconds age =
            wallMicros - std::chrono::microseconds(observation.observed_wall_us());
    LoadReport report;
    report.endpoint = EndpointId(observation.endpoint());
    report.running = observation.running();
    report.waiting = observation.waiting();
    report.kvUsed = observation.kv_used();
    report.leaving = observation.leaving();
    report.reachable = observation.reachable();
    // Hosts' clocks disagree: a report from the future counts as new.
    report.observedAt = now - std::max(age, std::chrono::microseconds::zero());
    return report;
}

} // namespace

Scheduler::Scheduler(const AdmissionSettings &admission, DomainId domain)
    : admission_(admission), choice_(std::move(domain)), slotLimit_(admission.slots)
{}

void Scheduler::admit(const WorkItem &item)
{
    absl::MutexLock lock(&mutex_);
    retries_.onFirstAttempt(steadyNow());
    // Known before the offer, whose poll may already say that its wait is over.
    Waiter waiter;
    waiters_.emplace(item.request, &waiter);
    const AdmissionOutcome outcome = admission_.offer(item, steadyNow());
    releaseWaiters(steadyNow()); // another may have given way to it
    if (std::holds_alternative<Queued>(outcome)) {
        await(waiter);
    }
    waiters_.erase(item.request);
    if (const Verdict *refusal = std::get_if<Verdict>(&outcome)) {
        throw VerdictError(*refusal);
    }
    if (waiter.release && !waiter.release->admitted) {
        throw VerdictError(waiter.release->verdict);
    }
}

void Scheduler::await(Waiter &waiter)
{
    while (!waiter.release) {
        const Instant next = admission_.nextDeadline();
        if (next == Never) {
            waiter.released.Wait(&mutex_);
        } else {
            waiter.released.WaitWithTimeout(&mutex_, absl::FromChrono(next - steadyNow()));
        }
        releaseWaiters(steadyNow());
    }
}

void Scheduler::finished(const WorkItem &item, uint64_t tokensServed)
{
    absl::MutexLock lock(&mutex_);
    admission_.finished(item.request, tokensServed, steadyNow());
    releaseWaiters(steadyNow());
}

void Scheduler::releaseWaiters(Instant now)
{
    for (QueueRelease &release : admission_.poll(now)) {
        const auto waiter = waiters_.find(release.request);
        if (waiter == waiters_.end()) {
            continue;
        }
        waiter->second->release = std::move(release);
        waiter->second->released.Signal();
    }
}

EndpointId Scheduler::choose(const WorkItem &item, const std::vector<EndpointId> &tried)
{
    absl::MutexLock lock(&mutex_);
    const SelectionOutcome outcome = choice_.select(item, tried, steadyNow());
    if (const Verdict *verdict = std::get_if<Verdict>(&outcome)) {
        throw VerdictError(*verdict);
    }
    const EndpointId chosen = std::get<SelectedEndpoint>(outcome).endpoint;
    choice_.onSent(chosen, item, steadyNow());
    return chosen;
}

void Scheduler::onFirstToken(const WorkItem &item, const EndpointId &endpoint)
{
    absl::MutexLock lock(&mutex_);
    choice_.onFirstToken(endpoint, item.request, steadyNow());
    admission_.onFirstToken(item.request, steadyNow());
    releaseWaiters(steadyNow());
}

void Scheduler::onEnd(const AttemptResult &result)
{
    absl::MutexLock lock(&mutex_);
    choice_.onEnd(result, steadyNow());
}

bool Scheduler::mayRetry(const Verdict &verdict, bool idempotent)
{
    absl::MutexLock lock(&mutex_);
    return retries_.mayRetry(verdict, idempotent, steadyNow());
}

void Scheduler::applyView(const RouterView &view)
{
    const Instant now = steadyNow();
    std::vector<EndpointSpec> specs;
    if (view.config) {
        for (const wire::EndpointChange &endpoint : view.config->state().endpoints()) {
            specs.push_back(specOf(endpoint));
        }
    }
    absl::MutexLock lock(&mutex_);
    choice_.setEndpoints(specs, now);
    for (const wire::EndpointObservation &observation : view.endpoints) {
        choice_.onReport(reportOf(observation, now), now);
    }
    // No room at all means no usable endpoint: the choice says so at once, where a
    // queue without slots would let each caller wait first.
    const uint32_t room = choice_.concurrencyLimit(now);
    admission_.setSlots(room > 0 ? std::min(room, slotLimit_) : slotLimit_, now);
    releaseWaiters(now);
}

uint32_t Scheduler::inFlight() const
{
    absl::MutexLock lock(&mutex_);
    return admission_.inFlight();
}

uint32_t Scheduler::waiting() const
{
    absl::MutexLock lock(&mutex_);
    return admission_.waiting();
}

} // namespace sequoiagate
