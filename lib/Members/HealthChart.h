#ifndef SEQUOIAGATE_LIB_MEMBERS_HEALTHCHART_H
#define SEQUOIAGATE_LIB_MEMBERS_HEALTHCHART_H

/// What share/statecharts/membership.json says of a member's health.

#include <string_view>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Statechart.h"

namespace sequoiagate {

/// The chart, read at first use. Thread safe.
/// \throws SettingsError, StatechartError
const Statechart &healthChart();

/// The health after \p event. \throws StatechartError for an unknown event.
wire::MemberHealth nextHealth(wire::MemberHealth health, std::string_view event);

} // namespace sequoiagate

#endif
