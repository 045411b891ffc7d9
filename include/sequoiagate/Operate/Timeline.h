#ifndef SEQUOIAGATE_OPERATE_TIMELINE_H
#define SEQUOIAGATE_OPERATE_TIMELINE_H

/// One time line of the events of all processes, in causal order: as text and as
/// a trace file that browsers' trace viewers open.

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/History/History.h"

namespace sequoiagate {

/// What of a run is shown; an empty field doesn't filter.
struct TimelineFilter
{
    std::string request;
    std::string workspace;
    std::string host;
};

/// The events that pass \p filter, in their order. For a request these are also
/// the events of its attempts, reservations, runs and engine streams, which name
/// those alone. \pre events are sorted by stamp, as readEvents gives them.
std::vector<HistoryEvent> filterEvents(const std::vector<HistoryEvent> &events,
                                       const TimelineFilter &filter);

/// One line an event: time, host, program, event, fields.
std::string timelineText(const std::vector<HistoryEvent> &events);

/// The events in Chrome's trace event format: a process a row, a span a request,
/// an instant an event.
nlohmann::json timelineTrace(const std::vector<HistoryEvent> &events);

/// The program sequoia-timeline but for its main. \returns an ExitCode.
int runTimeline(int argc, char **argv);

} // namespace sequoiagate

#endif
