#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <fmt/format.h>

#include "sequoiagate/History/History.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

/// How long work may still reach an endpoint after it announced that it leaves.
constexpr Seconds LeavingGrace{3};

/// Identifies a call by its request id or idempotency key, which are unique within a
/// workspace.
struct CallId
{
    std::string workspace;
    std::string id;

    friend auto operator<=>(const CallId &, const CallId &) = default;
};

CallId requestOf(const HistoryEvent &event)
{
    return {event.text("workspace"), event.text("request")};
}

CallId keyedCallOf(const HistoryEvent &event)
{
    return {event.text("workspace"), event.text("key")};
}

std::string describeCall(const CallId &call)
{
    return fmt::format("workspace {} request {}", call.workspace, call.id);
}

/// Gives a check function access to the history, and collects its violations.
class Check
{
public:
    Check(std::string property, const History &history, std::vector<Violation> &violations)
        : property_(std::move(property)), history_(history), violations_(violations)
    {}

    const History &history() const { return history_; }
    void addViolation(std::string what) { violations_.push_back({property_, std::move(what)}); }

    template <typename Visit>
    void forEach(std::string_view name, const Visit &visit) const
    {
        for (const HistoryEvent &event : history_.events) {
            if (event.name == name) {
                visit(event);
            }
        }
    }

private:
    std::string property_;
    const History &history_;
    std::vector<Violation> &violations_;
};

/// The tokens that endpoints report as read or generated never exceed the prepaid
/// tokens.
void checkOverspend(Check &check)
{
    std::map<std::string, uint64_t> served;
    check.forEach(events::EndpointRan, [&](const HistoryEvent &event) {
        served[event.text("workspace")] += event.number("tokens");
    });
    for (const FinalBudget &budget : check.history().budgets) {
        const uint64_t tokens = served[budget.workspace.text()];
        if (tokens > budget.prepaid) {
            check.addViolation(fmt::format("workspace {} was served {} tokens of {} prepaid",
                                           budget.workspace.text(), tokens, budget.prepaid));
        }
    }
}

/// Every completely answered chat has exactly one bill, whose amount is the cost of one
/// of its runs.
void checkBilledOnce(Check &check)
{
    if (!check.history().ledgerAvailable) {
        return;
    }
    std::map<CallId, std::set<uint64_t>> costs;
    check.forEach(events::EndpointRan, [&](const HistoryEvent &event) {
        costs[requestOf(event)].insert(event.number("tokens"));
    });
    std::map<CallId, int> bills;
    for (const FinalBill &bill : check.history().bills) {
        const CallId call{bill.workspace.text(), bill.request.text()};
        if (++bills[call] > 1) {
            check.addViolation(describeCall(call) + " has more than one bill");
        }
        const bool matches = bill.inDoubt || bill.tokens == 0 || costs[call].count(bill.tokens) > 0;
        if (!matches) {
            check.addViolation(fmt::format("{} is billed {} tokens, which no run of it cost",
                                           describeCall(call), bill.tokens));
        }
    }
    check.forEach(events::CallerGot, [&](const HistoryEvent &event) {
        const bool wholeChat = event.flag("whole") && !event.text("request").empty();
        if (wholeChat && bills[requestOf(event)] == 0) {
            check.addViolation(describeCall(requestOf(event)) + " was answered and never billed");
        }
    });
}

/// A response that the caller considers complete was produced by an endpoint for that
/// request. A resumed stream contains only a part and isn't compared here;
/// test/Router/RouterTest.cpp joins the parts and compares the whole.
void checkOwnResponse(Check &check)
{
    std::map<CallId, std::set<std::string>> responses;
    check.forEach(events::EndpointRan, [&](const HistoryEvent &event) {
        if (!event.flag("cancelled")) {
            responses[requestOf(event)].insert(event.text("answer_hash"));
        }
    });
    check.forEach(events::CallerGot, [&](const HistoryEvent &event) {
        const bool comparable = event.flag("whole") && !event.flag("resumes")
                                && !event.text("request").empty()
                                && event.fields.value("status", 0) == 200;
        if (comparable && responses[requestOf(event)].count(event.text("answer_hash")) == 0) {
            check.addViolation(describeCall(requestOf(event))
                               + " got an answer that no endpoint made for it");
        }
    });
}

/// One attempt of a caller, from sending the request to receiving the response.
struct CallerAttempt
{
    std::string sentStamp;
    bool reportedNotRun = false;
};

/// Each request received by an endpoint belongs to an attempt that wasn't reported to
/// the caller as "not run". An attempt that began later can't be the cause; one without
/// a response can.
void checkNotRun(Check &check)
{
    std::map<CallId, std::map<std::string, CallerAttempt>> attempts;
    const auto callOf = [](const HistoryEvent &event) {
        return event.text("key").empty() ? requestOf(event) : keyedCallOf(event);
    };
    check.forEach(events::CallerSent, [&](const HistoryEvent &event) {
        attempts[callOf(event)][event.text("try")].sentStamp = event.stamp;
    });
    check.forEach(events::CallerGot, [&](const HistoryEvent &event) {
        attempts[callOf(event)][event.text("try")].reportedNotRun =
                event.text("execution") == "not_run";
    });
    check.forEach(events::EndpointReceived, [&](const HistoryEvent &event) {
        const CallId call = callOf(event);
        bool known = false;
        bool explained = false;
        for (const auto &[name, attempt] : attempts[call]) {
            known = true;
            explained |= !attempt.reportedNotRun && attempt.sentStamp < event.stamp;
        }
        if (known && !explained) {
            check.addViolation(describeCall(call) + " was said not to have run, and reached "
                               + event.text("endpoint"));
        }
    });
}

/// A call with an idempotency key that an endpoint doesn't treat as idempotent ran at
/// most once.
void checkAtMostOnce(Check &check)
{
    std::map<CallId, int> runs;
    check.forEach(events::EndpointRan, [&](const HistoryEvent &event) {
        const bool nonIdempotent = !event.text("key").empty() && !event.flag("idempotent");
        if (nonIdempotent && ++runs[keyedCallOf(event)] > 1) {
            check.addViolation(describeCall(keyedCallOf(event)) + " ran more than once");
        }
    });
}

/// No new work reaches an endpoint later than LeavingGrace after it announced that it
/// leaves.
void checkLeaving(Check &check)
{
    std::map<std::string, WallTime> leaving;
    check.forEach(events::EndpointLeaving, [&](const HistoryEvent &event) {
        leaving.emplace(event.text("endpoint"), event.wall());
    });
    check.forEach(events::EndpointReceived, [&](const HistoryEvent &event) {
        const auto left = leaving.find(event.text("endpoint"));
        if (left != leaving.end() && event.wall() > left->second + LeavingGrace) {
            check.addViolation(fmt::format("endpoint {} got {} after it had left",
                                           event.text("endpoint"), describeCall(requestOf(event))));
        }
    });
}

/// A planned stop interrupts no requests and leaves no tokens unreturned (stranded).
void checkPlannedStop(Check &check)
{
    check.forEach(events::ProcessStopped, [&](const HistoryEvent &event) {
        if (event.number("cut_off") > 0 || event.number("stranded_tokens") > 0) {
            check.addViolation(fmt::format(
                    "{} on {} cut off {} requests and stranded {} tokens", event.program,
                    event.host.text(), event.number("cut_off"), event.number("stranded_tokens")));
        }
    });
}

/// A program on a host never returns to an older configuration, not even by a restart.
void checkConfigNeverReverts(Check &check)
{
    std::map<CallId, uint64_t> inForce;
    check.forEach(events::ConfigInForce, [&](const HistoryEvent &event) {
        uint64_t &highest = inForce[{event.host.text(), event.program}];
        const uint64_t version = event.number("version");
        if (version < highest) {
            check.addViolation(fmt::format("{} on {} went from version {} back to {}",
                                           event.program, event.host.text(), highest, version));
        }
        highest = std::max(highest, version);
    });
}

struct NamedCheck
{
    const char *property;
    void (*run)(Check &);
};

constexpr std::array Checks = {
        NamedCheck{"overspend", checkOverspend},
        NamedCheck{"billed_once", checkBilledOnce},
        NamedCheck{"own_answer", checkOwnResponse},
        NamedCheck{"not_run_is_true", checkNotRun},
        NamedCheck{"at_most_once", checkAtMostOnce},
        NamedCheck{"leaving_endpoint", checkLeaving},
        NamedCheck{"planned_stop", checkPlannedStop},
        NamedCheck{"config_never_reverts", checkConfigNeverReverts},
};

} // namespace

std::vector<Violation> checkHistory(const History &history)
{
    std::vector<Violation> violations;
    for (const NamedCheck &named : Checks) {
        Check check(named.property, history, violations);
        named.run(check);
    }
    return violations;
}

std::vector<std::string> historyProperties()
{
    std::vector<std::string> names;
    for (const NamedCheck &named : Checks) {
        names.emplace_back(named.property);
    }
    return names;
}

} // namespace sequoiagate
