#include "sequoiagate/Base/Statechart.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

Statechart Statechart::parse(const std::string &json)
{
    Statechart chart;
    try {
        const nlohmann::json file = nlohmann::json::parse(json);
        chart.name_ = file.at("name").get<std::string>();
        chart.initial_ = file.at("initial").get<std::string>();
        chart.finalStates_ = file.at("final").get<std::vector<std::string>>();
        chart.events_ = file.at("events").get<std::vector<std::string>>();
        for (const auto &[state, row] : file.at("states").items()) {
            chart.states_.push_back(state);
            for (const auto &[event, target] : row.items()) {
                chart.transitions_.push_back({state, event, target.get<std::string>()});
            }
        }
    } catch (const nlohmann::json::exception &error) {
        throw StatechartError(fmt::format("state chart can't be read: {}", error.what()));
    }
    chart.check();
    return chart;
}

bool Statechart::isFinal(std::string_view state) const
{
    return contains(finalStates_, state);
}

const std::string &Statechart::next(std::string_view state, std::string_view event) const
{
    for (const Transition &transition : transitions_) {
        if (transition.state == state && transition.event == event) {
            return transition.target;
        }
    }
    throw StatechartError(fmt::format("chart {}: state '{}' has no transition for event '{}'",
                                      name_, state, event));
}

void Statechart::check() const
{
    if (!contains(states_, initial_)) {
        throw StatechartError(fmt::format("chart {}: unknown initial state '{}'", name_, initial_));
    }
    for (const std::string &state : finalStates_) {
        if (!contains(states_, state)) {
            throw StatechartError(fmt::format("chart {}: unknown final state '{}'", name_, state));
        }
    }
    checkComplete();
    checkReachable();
    checkTermination();
}

void Statechart::checkComplete() const
{
    for (const Transition &transition : transitions_) {
        if (!contains(events_, transition.event)) {
            throw StatechartError(fmt::format("chart {}: state '{}' names unknown event '{}'",
                                              name_, transition.state, transition.event));
        }
        if (!contains(states_, transition.target)) {
            throw StatechartError(fmt::format("chart {}: state '{}' leads to unknown state '{}'",
                                              name_, transition.state, transition.target));
        }
    }
    for (const std::string &state : states_) {
        for (const std::string &event : events_) {
            const bool handled = std::any_of(
                    transitions_.begin(), transitions_.end(), [&](const Transition &transition) {
                        return transition.state == state && transition.event == event;
                    });
            if (!handled) {
                throw StatechartError(fmt::format("chart {}: state '{}' doesn't handle event '{}'",
                                                  name_, state, event));
            }
        }
    }
}

void Statechart::checkReachable() const
{
    std::set<std::string> reached{initial_};
    for (std::size_t round = 0; round < states_.size(); ++round) {
        for (const Transition &transition : transitions_) {
            if (reached.count(transition.state) > 0) {
                reached.insert(transition.target);
            }
        }
    }
    for (const std::string &state : states_) {
        if (reached.count(state) == 0) {
            throw StatechartError(
                    fmt::format("chart {}: state '{}' can't be reached", name_, state));
        }
    }
}

void Statechart::checkTermination() const
{
    std::set<std::string> terminating(finalStates_.begin(), finalStates_.end());
    for (std::size_t round = 0; round < states_.size(); ++round) {
        for (const Transition &transition : transitions_) {
            if (terminating.count(transition.target) > 0) {
                terminating.insert(transition.state);
            }
        }
    }
    for (const std::string &state : states_) {
        if (terminating.count(state) == 0) {
            throw StatechartError(
                    fmt::format("chart {}: state '{}' leads to no final state", name_, state));
        }
    }
}

} // namespace sequoiagate
