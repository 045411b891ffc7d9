/// How often requests are refused though budget remained, and how much of the budget
/// is in doubt, under partitions and deaths: witnessed grants against an equal static
/// split and against grants without a witness. docs/Escrow.md holds the figures.

#include <cstdio>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include "bench/Escrow/Trial.h"

using namespace sequoiagate;
using namespace sequoiagate::bench;

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// A row of a table: what is varied, under its name.
struct Row
{
    std::string name;
    Faults faults;
    Interval horizon = hours(2);
    double budgetFactor = 1.05;
};

struct Options
{
    uint64_t seeds = 0;
    uint64_t firstSeed = 0;
};

Strategy witnessed(Interval horizon)
{
    Strategy strategy{"witnessed", false, true, {}};
    strategy.settings.grantHorizon = horizon;
    return strategy;
}

Strategy unwitnessed(std::string name, Interval horizon, uint64_t minimumGrant)
{
    Strategy strategy{std::move(name), false, false, {}};
    strategy.settings.grantHorizon = horizon;
    strategy.settings.unwitnessedHorizon = horizon;
    strategy.settings.minimumGrant = minimumGrant;
    return strategy;
}

std::vector<Strategy> strategies(Interval horizon)
{
    return {{"equal static split", true, false, {}},
            unwitnessed("30 s grants", seconds(30), 1'000),
            unwitnessed("2 h grants, no witness", hours(2), 20'000),
            witnessed(horizon)};
}

double percent(uint64_t part, uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

/// \returns tokens overspent, over all strategies.
uint64_t printRow(const Shape &shape, const Row &row, const Options &options)
{
    fmt::print("| {} |", row.name);
    uint64_t overspent = 0;
    for (const Strategy &strategy : strategies(row.horizon)) {
        Outcome sum;
        for (uint64_t seed = 0; seed < options.seeds; ++seed) {
            const Day day = makeDay(shape, row.faults, options.firstSeed + seed);
            sum.add(Trial(shape, strategy, day, row.budgetFactor).run());
        }
        overspent += sum.overspent;
        fmt::print(" {:.2f}% / {:.2f}% / {} / {} |", percent(sum.refused, sum.demand),
                   percent(sum.inDoubt, sum.budget), sum.overspent, sum.appends / options.seeds);
        std::fflush(stdout);
    }
    fmt::print("\n");
    return overspent;
}

uint64_t printTable(const Shape &shape, const std::string &what, const std::vector<Row> &rows,
                    const Options &options)
{
    fmt::print("\n{}: {} failure domains of {} hosts, {} requests a day over {} workspaces, "
               "{} seeds\n\n| {} |",
               shape.name, shape.domains, shape.hostsPerDomain, shape.requestsPerDay,
               shape.workspaces, options.seeds, what);
    for (const Strategy &strategy : strategies(hours(2))) {
        fmt::print(" {} |", strategy.name);
    }
    fmt::print("\n|---|---|---|---|---|\n");
    uint64_t overspent = 0;
    for (const Row &row : rows) {
        overspent += printRow(shape, row, options);
    }
    return overspent;
}

std::vector<Row> faultRows()
{
    return {{"no fault", {0, 0}},
            {"2 cuts", {2, 0}},
            {"2 deaths", {0, 2}},
            {"2 and 2", {2, 2}},
            {"6 and 6", {6, 6}},
            {"no fault, budget 0.95", {0, 0}, hours(2), 0.95},
            {"2 and 2, budget 0.95", {2, 2}, hours(2), 0.95}};
}

std::vector<Row> cutRows()
{
    std::vector<Row> rows;
    for (const int length : {15, 30, 60, 120, 240}) {
        rows.push_back({fmt::format("2 cuts of {} min, 2 deaths", length),
                        {2, 2, minutes(length), minutes(length)}});
    }
    return rows;
}

std::vector<Row> horizonRows()
{
    std::vector<Row> rows;
    for (const int length : {15, 30, 60, 120, 240}) {
        rows.push_back({fmt::format("horizon {} min, 2 and 2", length), {2, 2}, minutes(length)});
    }
    return rows;
}

std::vector<Row> deathRows(const Shape &shape)
{
    const auto hosts = static_cast<int>(shape.domains * shape.hostsPerDomain);
    std::vector<Row> rows;
    for (const int share : {0, 25, 50, 100}) {
        rows.push_back({fmt::format("{}% of hosts die, 2 cuts", share), {2, hosts * share / 100}});
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options parser("bench-Escrow", "Trial of ways to give out budget, in virtual time");
    // Numbers are read as text: g++ 12 warns about the integer parser of cxxopts 3.1.
    cxxopts::OptionAdder add = parser.add_options();
    add("seeds", "days for each cell, 20 if not given", cxxopts::value<std::string>());
    add("first-seed", "1 if not given", cxxopts::value<std::string>());
    add("table", "faults, cuts, horizon or deaths; all if not given",
        cxxopts::value<std::string>());
    const auto parsed = parser.parse(argc, argv);
    const auto number = [&parsed](const char *name, uint64_t otherwise) {
        return parsed.count(name) > 0 ? std::stoull(parsed[name].as<std::string>()) : otherwise;
    };
    constexpr uint64_t DaysEach = 20;
    const Options options{number("seeds", DaysEach), number("first-seed", 1)};
    const std::string table =
            parsed.count("table") > 0 ? parsed["table"].as<std::string>() : std::string();
    fmt::print("Each cell: demand refused though budget remained / budget in doubt / tokens "
               "overspent / appends a day\n");
    uint64_t overspent = 0;
    for (const Shape &shape : {fretwise(), daugavas()}) {
        const auto wanted = [&table](const char *name) {
            return table.empty() || table == name;
        };
        if (wanted("faults")) {
            overspent += printTable(shape, "a day's faults", faultRows(), options);
        }
        if (wanted("cuts")) {
            overspent += printTable(shape, "length of cuts", cutRows(), options);
        }
        if (wanted("horizon")) {
            overspent +=
                    printTable(shape, "grant horizon of witnessed grants", horizonRows(), options);
        }
        if (wanted("deaths")) {
            overspent += printTable(shape, "share of hosts that die", deathRows(shape), options);
        }
    }
    fmt::print("\ntokens overspent in all: {}\n", overspent);
    return overspent == 0 ? 0 : 1;
}
