#ifndef SEQUOIAGATE_LOAD_LOADREPORT_H
#define SEQUOIAGATE_LOAD_LOADREPORT_H

/// What a played load came to, as JSON, as a table in Markdown, and as a plot.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Load/LoadRunner.h"

namespace sequoiagate {

/// One load's figures.
struct LoadSummary
{
    std::string load;
    uint64_t planned = 0;
    uint64_t sent = 0;
    uint64_t whole = 0;         ///< streams that ended with their end marker
    double firstTokenP50 = 0.0; ///< seconds
    double firstTokenP95 = 0.0;
    double firstTokenP99 = 0.0;
    double goodTokensPerSecond = 0.0;         ///< of whole streams begun within 0.63 s
    double fairness = 0.0;                    ///< Jain's index of whole over sent, by workspace
    uint64_t refusedWithoutTime = 0;          ///< refusals that said not when to come back
    std::map<std::string, uint64_t> failures; ///< by code
    std::vector<double> firstTokens;          ///< seconds, sorted
};

LoadSummary summarise(const std::string &load, const std::vector<CallRecord> &records);

/// \param command the run's command line
nlohmann::json reportJson(const std::vector<LoadSummary> &summaries, const std::string &command);
std::string reportMarkdown(const std::vector<LoadSummary> &summaries, const std::string &command);
/// The distribution of first tokens, one line a load: the share of streams that had begun
/// over the time, on a logarithmic scale.
std::string reportSvg(const std::vector<LoadSummary> &summaries, const std::string &command);

} // namespace sequoiagate

#endif
