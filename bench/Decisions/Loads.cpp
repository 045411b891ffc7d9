#include "bench/Decisions/Loads.h"

namespace sequoiagate::bench {

using std::chrono::seconds;

namespace {

model::LoadSettings steady()
{
    model::LoadSettings load;
    load.utilization = 0.7;
    load.duration = seconds(180);
    load.warmUp = seconds(30);
    return load;
}

/// Four prefixes take over half of the load.
model::LoadSettings hotKeys()
{
    model::LoadSettings load = steady();
    load.prefixes = 100;
    return load;
}

model::LoadSettings burst()
{
    model::LoadSettings load = steady();
    load.utilization = 0.5;
    load.duration = seconds(120);
    load.burstFrom = seconds(60);
    load.burstUntil = seconds(65);
    load.burstFactor = 10.0;
    load.comebacks = 3;
    return load;
}

model::LoadSettings withFault(model::EndpointFault fault)
{
    model::LoadSettings load = steady();
    load.faults = {fault};
    return load;
}

model::LoadSettings longAmongShort()
{
    model::LoadSettings load = steady();
    load.longShare = 0.01;
    return load;
}

model::LoadSettings saturation()
{
    model::LoadSettings load = steady();
    load.utilization = 1.5;
    load.duration = seconds(630);
    load.batchShare = 0.1;
    return load;
}

model::EndpointFault slowEndpoint()
{
    return {.endpoint = 3, .from = seconds(30), .until = seconds(180), .slowFactor = 10.0};
}

model::EndpointFault failingEndpoint()
{
    return {.endpoint = 3, .from = seconds(30), .until = seconds(180), .failureShare = 0.9};
}

model::EndpointFault returningEndpoint()
{
    return {.endpoint = 3, .from = seconds(0), .until = seconds(60), .away = true};
}

} // namespace

std::vector<Scenario> scenarios()
{
    return {
            {"steady", steady()},
            {"burst", burst()},
            {"hot-keys", hotKeys()},
            {"slow-endpoint", withFault(slowEndpoint())},
            {"failing-endpoint", withFault(failingEndpoint())},
            {"long-among-short", longAmongShort()},
            {"saturation", saturation()},
            {"returning-endpoint", withFault(returningEndpoint())},
    };
}

} // namespace sequoiagate::bench
