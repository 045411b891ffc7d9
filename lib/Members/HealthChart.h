#ifndef SEQUOIAGATE_LIB_MEMBERS_HEALTHCHART_H
#define SEQUOIAGATE_LIB_MEMBERS_HEALTHCHART_H

/// The state chart of a member's health, share/statecharts/membership.json.

#include <string_view>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Statechart.h"

namespace sequoiagate {

/// Returns the chart, which is read at first use. Thread safe.
/// \throws SettingsError, StatechartError
const Statechart &membershipChart();

/// Returns the health after \p event. \throws StatechartError for an unknown event.
wire::MemberHealth nextHealth(wire::MemberHealth health, std::string_view event);

} // namespace sequoiagate

#endif
