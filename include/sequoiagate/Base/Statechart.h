#ifndef SEQUOIAGATE_BASE_STATECHART_H
#define SEQUOIAGATE_BASE_STATECHART_H

/// State charts that are loaded from files (share/statecharts/*.json) and
/// interpreted. The file is the only place that defines states and transitions:
///   {"name": "drain", "initial": "serving", "final": ["stopped"],
///    "events": ["stop", "empty"],
///    "states": {"serving": {"stop": "draining", "empty": "serving"}, ...}}

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiagate {

class StatechartError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Immutable once loaded, so thread safe.
class Statechart
{
public:
    /// Parses and validates a chart: every state is reachable and handles every event,
    /// and from every state a final one can be reached.
    /// \throws StatechartError that names the invalid state or event.
    static Statechart parse(const std::string &json);

    const std::string &name() const { return name_; }
    const std::string &initial() const { return initial_; }
    bool isFinal(std::string_view state) const;
    /// The state after \p event. \throws StatechartError for an unknown state or event.
    const std::string &next(std::string_view state, std::string_view event) const;

private:
    struct Transition
    {
        std::string state;
        std::string event;
        std::string target;
    };

    void check() const;
    void checkReachable() const;
    void checkComplete() const;
    void checkTermination() const;

    std::string name_;
    std::string initial_;
    std::vector<std::string> finalStates_;
    std::vector<std::string> events_;
    std::vector<std::string> states_;
    std::vector<Transition> transitions_;
};

/// The current state of one object in a chart. Not thread safe.
class StatechartInstance
{
public:
    /// \pre chart outlives this.
    explicit StatechartInstance(const Statechart &chart) : chart_(&chart), state_(chart.initial())
    {}
    const std::string &state() const { return state_; }
    bool isFinished() const { return chart_->isFinal(state_); }
    void handle(std::string_view event) { state_ = chart_->next(state_, event); }

private:
    const Statechart *chart_;
    std::string state_;
};

} // namespace sequoiagate

#endif
