#include "sequoiagate/Load/LoadReport.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

namespace {

constexpr double FirstTokenGoal = 0.63;

double quantile(const std::vector<double> &sorted, double part)
{
    if (sorted.empty()) {
        return 0.0;
    }
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

/// Counts of one workspace.
struct Served
{
    double sent = 0.0;
    double whole = 0.0;
};

double jainIndex(const std::map<std::size_t, Served> &workspaces)
{
    double sum = 0.0;
    double squares = 0.0;
    double count = 0.0;
    for (const auto &[workspace, served] : workspaces) {
        const double part = served.whole / served.sent;
        sum += part;
        squares += part * part;
        count += 1.0;
    }
    return squares > 0.0 ? sum * sum / (count * squares) : 0.0;
}

std::string failureList(const LoadSummary &summary)
{
    std::string text;
    for (const auto &[code, count] : summary.failures) {
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", code, count);
    }
    return text.empty() ? "none" : text;
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        switch (c) {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

/// The plot's area and scale.
struct Canvas
{
    static constexpr double Width = 760.0;
    static constexpr double Height = 420.0;
    static constexpr double Left = 60.0;
    static constexpr double Right = 600.0;
    static constexpr double Top = 40.0;
    static constexpr double Bottom = 370.0;
    static constexpr double Shortest = 0.001; ///< seconds
    static constexpr double Longest = 100.0;

    static double x(double seconds)
    {
        const double bounded = std::clamp(seconds, Shortest, Longest);
        return Left + (Right - Left) * std::log(bounded / Shortest) / std::log(Longest / Shortest);
    }
    static double y(double share) { return Bottom - (Bottom - Top) * share; }
};

std::string svgAxes()
{
    std::string svg;
    for (double tick = Canvas::Shortest; tick <= Canvas::Longest * 1.01; tick *= 10.0) {
        svg += fmt::format("<line x1='{0:.0f}' y1='{1}' x2='{0:.0f}' y2='{2}' stroke='#ddd'/>"
                           "<text x='{0:.0f}' y='{3}' text-anchor='middle'>{4:g} s</text>\n",
                           Canvas::x(tick), Canvas::Top, Canvas::Bottom, Canvas::Bottom + 18, tick);
    }
    for (const double share : {0.0, 0.5, 0.95, 1.0}) {
        svg += fmt::format("<line x1='{0}' y1='{1:.0f}' x2='{2}' y2='{1:.0f}' stroke='#ddd'/>"
                           "<text x='{3}' y='{1:.0f}' text-anchor='end'>{4:.0f}%</text>\n",
                           Canvas::Left, Canvas::y(share), Canvas::Right, Canvas::Left - 6,
                           share * 100);
    }
    svg += fmt::format("<line x1='{0:.0f}' y1='{1}' x2='{0:.0f}' y2='{2}' stroke='#888' "
                       "stroke-dasharray='4'/>\n",
                       Canvas::x(FirstTokenGoal), Canvas::Top, Canvas::Bottom);
    return svg;
}

std::string svgCurve(const LoadSummary &summary, const char *colour)
{
    constexpr std::size_t Points = 200;
    std::string points;
    const std::size_t count = summary.firstTokens.size();
    for (std::size_t i = 0; i <= Points && count > 0; ++i) {
        const double share = static_cast<double>(i) / Points;
        points += fmt::format("{:.1f},{:.1f} ", Canvas::x(quantile(summary.firstTokens, share)),
                              Canvas::y(share));
    }
    return fmt::format("<polyline fill='none' stroke='{}' stroke-width='2' points='{}'/>\n", colour,
                       points);
}

} // namespace

LoadSummary summarise(const std::string &load, const std::vector<CallRecord> &records)
{
    LoadSummary summary;
    summary.load = load;
    summary.planned = records.size();
    std::map<std::size_t, Served> workspaces;
    uint64_t goodTokens = 0;
    Instant first = Never;
    Instant last;
    for (const CallRecord &record : records) {
        Served &served = workspaces[record.planned.workspace];
        served.sent += 1.0;
        served.whole += record.whole ? 1.0 : 0.0;
        summary.whole += record.whole ? 1 : 0;
        if (!record.code.empty()) {
            ++summary.failures[record.code];
        }
        if (!record.sent) {
            continue;
        }
        ++summary.sent;
        first = std::min(first, record.sentAt);
        last = std::max(last, record.endedAt);
        const bool refused = record.status >= 400;
        summary.refusedWithoutTime += refused && !record.toldWhen ? 1 : 0;
        if (!record.firstTokenAt.has_value()) {
            continue;
        }
        // From the planned moment: a client that falls behind must not hide waiting.
        const double seconds = secondsOf(*record.firstTokenAt - record.planned.at);
        summary.firstTokens.push_back(seconds);
        goodTokens += record.whole && seconds <= FirstTokenGoal ? record.tokens : 0;
    }
    std::sort(summary.firstTokens.begin(), summary.firstTokens.end());
    summary.firstTokenP50 = quantile(summary.firstTokens, 0.50);
    summary.firstTokenP95 = quantile(summary.firstTokens, 0.95);
    summary.firstTokenP99 = quantile(summary.firstTokens, 0.99);
    summary.fairness = jainIndex(workspaces);
    const double length = summary.sent > 0 ? secondsOf(last - first) : 0.0;
    summary.goodTokensPerSecond = length > 0.0 ? static_cast<double>(goodTokens) / length : 0.0;
    return summary;
}

nlohmann::json reportJson(const std::vector<LoadSummary> &summaries, const std::string &command)
{
    nlohmann::json loads = nlohmann::json::array();
    for (const LoadSummary &summary : summaries) {
        loads.push_back({{"load", summary.load},
                         {"planned", summary.planned},
                         {"sent", summary.sent},
                         {"whole", summary.whole},
                         {"first_token_ms",
                          {{"p50", summary.firstTokenP50 * 1e3},
                           {"p95", summary.firstTokenP95 * 1e3},
                           {"p99", summary.firstTokenP99 * 1e3}}},
                         {"good_tokens_per_second", summary.goodTokensPerSecond},
                         {"fairness", summary.fairness},
                         {"refused_without_time", summary.refusedWithoutTime},
                         {"failures", summary.failures}});
    }
    return {{"command", command}, {"loads", loads}};
}

std::string reportMarkdown(const std::vector<LoadSummary> &summaries, const std::string &command)
{
    std::string text = fmt::format("Command: `{}`\n\n"
                                   "| load | planned | sent | whole | first token ms p50 / p95 / "
                                   "p99 | good tokens/s | Jain | failures | refused without a "
                                   "time |\n|---|---|---|---|---|---|---|---|---|\n",
                                   command);
    for (const LoadSummary &summary : summaries) {
        text += fmt::format("| {} | {} | {} | {} | {:.0f} / {:.0f} / {:.0f} | {:.1f} | {:.3f} | "
                            "{} | {} |\n",
                            summary.load, summary.planned, summary.sent, summary.whole,
                            summary.firstTokenP50 * 1e3, summary.firstTokenP95 * 1e3,
                            summary.firstTokenP99 * 1e3, summary.goodTokensPerSecond,
                            summary.fairness, failureList(summary), summary.refusedWithoutTime);
    }
    for (const LoadSummary &summary : summaries) {
        if (summary.sent < summary.planned) {
            text += fmt::format("\n{}: {} of {} requests were not sent, all connections were in "
                                "use; the load was lighter than planned.\n",
                                summary.load, summary.planned - summary.sent, summary.planned);
        }
    }
    return text;
}

std::string reportSvg(const std::vector<LoadSummary> &summaries, const std::string &command)
{
    static constexpr const char *Colours[] = {"#1b9e77", "#d95f02", "#7570b3", "#e7298a",
                                              "#66a61e"};
    std::string svg = fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
                                  "font-family='sans-serif' font-size='12'>\n"
                                  "<rect width='100%' height='100%' fill='white'/>\n"
                                  "<text x='{}' y='20'>Streams that have begun, by time to the "
                                  "first token</text>\n",
                                  Canvas::Width, Canvas::Height, Canvas::Left);
    svg += svgAxes();
    for (std::size_t i = 0; i < summaries.size(); ++i) {
        const char *colour = Colours[i % std::size(Colours)];
        svg += svgCurve(summaries[i], colour);
        svg += fmt::format("<text x='{}' y='{}' fill='{}'>{}</text>\n", Canvas::Right + 10,
                           Canvas::Top + 20 * static_cast<double>(i + 1), colour,
                           escaped(summaries[i].load));
    }
    svg += fmt::format("<text x='{}' y='{}' font-size='9'>{}</text>\n</svg>\n", Canvas::Left,
                       Canvas::Height - 8, escaped(command));
    return svg;
}

} // namespace sequoiagate
