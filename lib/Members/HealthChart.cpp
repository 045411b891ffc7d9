#include "Members/HealthChart.h"

#include <array>

#include "sequoiagate/Service/Program.h"

namespace sequoiagate {

namespace {

struct HealthName
{
    wire::MemberHealth health;
    std::string_view state;
};

constexpr std::array HealthNames = {
        HealthName{wire::MEMBER_ALIVE, "alive"},
        HealthName{wire::MEMBER_SUSPECT, "suspect"},
        HealthName{wire::MEMBER_DEAD, "dead"},
        HealthName{wire::MEMBER_LEFT, "left"},
};

std::string_view stateOf(wire::MemberHealth health)
{
    for (const HealthName &entry : HealthNames) {
        if (entry.health == health) {
            return entry.state;
        }
    }
    return "alive";
}

wire::MemberHealth healthOf(std::string_view state)
{
    for (const HealthName &entry : HealthNames) {
        if (entry.state == state) {
            return entry.health;
        }
    }
    throw StatechartError("chart membership: state '" + std::string(state)
                          + "' matches no member health");
}

} // namespace

const Statechart &membershipChart()
{
    static const Statechart Chart = Statechart::parse(readShareFile("statecharts/membership.json"));
    return Chart;
}

wire::MemberHealth nextHealth(wire::MemberHealth health, std::string_view event)
{
    return healthOf(membershipChart().next(stateOf(health), event));
}

} // namespace sequoiagate
