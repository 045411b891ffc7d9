#include "sequoiagate/Config/Sheet.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include <fmt/format.h>

#include "CsvReader.h"

namespace sequoiagate {

namespace {

constexpr std::size_t MaxIdLength = 64;
constexpr std::size_t MaxNameLength = 200;
constexpr double MaxWeight = 1000;

bool isIdCharacter(char character)
{
    const bool letter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.';
}

bool isId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxIdLength
           && std::all_of(text.begin(), text.end(), isIdCharacter);
}

bool allDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
}

/// Why \p text isn't a valid number of tokens. \pre parseTokenCount(text) failed.
std::string describeTokenCountError(std::string_view text)
{
    if (text.empty()) {
        return "a whole number of tokens is required";
    }
    if (text.front() == '-' && allDigits(text.substr(1))) {
        return fmt::format("'{}' is negative", text);
    }
    const std::size_t point = text.find('.');
    if (point != std::string_view::npos && allDigits(text.substr(0, point))) {
        return fmt::format("'{}' is not a whole number", text);
    }
    if (!allDigits(text)) {
        return fmt::format("'{}' is not a whole number written in digits only", text);
    }
    return fmt::format("'{}' is greater than {}", text, UINT64_MAX);
}

std::optional<uint64_t> parseTokenCount(std::string_view text)
{
    uint64_t tokens = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), tokens);
    if (!allDigits(text) || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return tokens;
}

/// One parsed row, before it is added to its workspace.
struct ParsedRow
{
    SheetWorkspace workspace;
    SheetTopUp topUp;
};

/// Why a field is invalid; nullopt if it is valid.
using FieldError = std::optional<std::string>;

FieldError parseWorkspace(std::string_view text, ParsedRow &row)
{
    if (!isId(text)) {
        return fmt::format("'{}' is not a valid id: expected 1 to {} characters of a-z, A-Z, 0-9, "
                           "'-', '_' and '.'",
                           text, MaxIdLength);
    }
    row.workspace.workspace = WorkspaceId(std::string(text));
    return std::nullopt;
}

FieldError parseName(std::string_view text, ParsedRow &row)
{
    if (text.empty() || text.size() > MaxNameLength) {
        return fmt::format("a name must have 1 to {} bytes", MaxNameLength);
    }
    row.workspace.name = std::string(text);
    return std::nullopt;
}

FieldError parseBudget(std::string_view text, ParsedRow &row)
{
    const std::optional<uint64_t> tokens = parseTokenCount(text);
    if (!tokens) {
        return describeTokenCountError(text);
    }
    row.workspace.budgetTokens = *tokens;
    return std::nullopt;
}

FieldError parseTopUpId(std::string_view text, ParsedRow &row)
{
    if (!text.empty() && !isId(text)) {
        return fmt::format("'{}' is not a valid id: expected 1 to {} characters of a-z, A-Z, 0-9, "
                           "'-', '_' and '.'",
                           text, MaxIdLength);
    }
    row.topUp.id = std::string(text);
    return std::nullopt;
}

FieldError parseTopUpTokens(std::string_view text, ParsedRow &row)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const std::optional<uint64_t> tokens = parseTokenCount(text);
    if (!tokens) {
        return describeTokenCountError(text);
    }
    if (*tokens == 0) {
        return "a top-up must add at least one token";
    }
    row.topUp.tokens = *tokens;
    return std::nullopt;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(' ');
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

FieldError parseServices(std::string_view text, ParsedRow &row)
{
    std::size_t from = 0;
    while (from <= text.size()) {
        const std::size_t end = std::min(text.find(';', from), text.size());
        const std::string_view name = trimmed(text.substr(from, end - from));
        from = end + 1;
        if (name.empty()) {
            return "list at least one service, separated by ';'; to disable a workspace, set its "
                   "budget_tokens to 0";
        }
        const ServiceId service{std::string(name)};
        std::vector<ServiceId> &services = row.workspace.services;
        if (std::find(services.begin(), services.end(), service) != services.end()) {
            return fmt::format("service '{}' is listed twice", name);
        }
        services.push_back(service);
    }
    return std::nullopt;
}

FieldError parseWeight(std::string_view text, ParsedRow &row)
{
    if (text.empty()) {
        return std::nullopt;
    }
    double weight = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), weight);
    const bool complete = result.ec == std::errc() && result.ptr == text.data() + text.size();
    // Written so that NaN fails the check, too.
    if (!complete || !(weight > 0 && weight <= MaxWeight)) {
        return fmt::format("'{}' is not a valid weight: a number greater than 0, at most {}", text,
                           MaxWeight);
    }
    row.workspace.weight = weight;
    return std::nullopt;
}

FieldError parseMaxOutput(std::string_view text, ParsedRow &row)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const std::optional<uint64_t> tokens = parseTokenCount(text);
    if (!tokens) {
        return describeTokenCountError(text);
    }
    row.workspace.maxOutputTokens = *tokens;
    return std::nullopt;
}

struct Column
{
    const char *name;
    FieldError (*parse)(std::string_view text, ParsedRow &row);
};

constexpr std::array<Column, 8> Columns = {{
        {"workspace", parseWorkspace},
        {"name", parseName},
        {"budget_tokens", parseBudget},
        {"top_up_id", parseTopUpId},
        {"top_up_tokens", parseTopUpTokens},
        {"services", parseServices},
        {"weight", parseWeight},
        {"max_output_tokens", parseMaxOutput},
}};

/// Converts CSV rows into workspaces and collects all errors.
class SheetParser
{
public:
    ParseSheetResult parse(CsvText text)
    {
        errors_ = std::move(text.errors);
        if (text.rows.empty()) {
            if (errors_.empty()) {
                errors_.push_back({0, {}, "the file is empty"});
            }
            return std::move(errors_);
        }
        parseHeader(text.rows.front());
        // With an invalid header, fields would be assigned to the wrong columns.
        if (headerValid_) {
            for (std::size_t index = 1; index < text.rows.size(); ++index) {
                parseRow(text.rows[index]);
            }
            if (text.rows.size() == 1 && errors_.empty()) {
                errors_.push_back({0, {}, "the file has a header but no rows"});
            }
        }
        checkTotals();
        if (errors_.empty()) {
            return std::move(sheet_);
        }
        std::stable_sort(errors_.begin(), errors_.end(),
                         [](const SheetError &left, const SheetError &right) {
                             return left.line < right.line;
                         });
        return std::move(errors_);
    }

private:
    void addError(std::size_t line, std::string column, std::string reason)
    {
        headerValid_ = headerValid_ && !inHeader_;
        errors_.push_back({line, std::move(column), std::move(reason)});
    }

    void parseHeader(const CsvRow &row)
    {
        inHeader_ = true;
        std::unordered_set<std::string> seen;
        for (const std::string &name : row.fields) {
            const auto found =
                    std::find_if(Columns.begin(), Columns.end(),
                                 [&name](const Column &column) { return name == column.name; });
            if (found == Columns.end()) {
                addError(row.line, name, "unknown column");
            } else if (!seen.insert(name).second) {
                addError(row.line, name, "duplicate column");
            } else {
                columnOrder_.push_back(&*found);
            }
        }
        for (const Column &column : Columns) {
            if (!seen.contains(column.name)) {
                addError(row.line, column.name, "the column is missing");
            }
        }
        inHeader_ = false;
    }

    void parseRow(const CsvRow &row)
    {
        if (row.fields.size() != columnOrder_.size()) {
            const char *what =
                    row.fields.size() < columnOrder_.size() ? ": the line is truncated" : "";
            addError(row.line, {},
                     fmt::format("{} fields, but the header has {}{}", row.fields.size(),
                                 columnOrder_.size(), what));
            return;
        }
        ParsedRow parsed;
        parsed.workspace.line = row.line;
        parsed.topUp.line = row.line;
        const std::size_t before = errors_.size();
        for (std::size_t index = 0; index < columnOrder_.size(); ++index) {
            if (FieldError reason = columnOrder_[index]->parse(row.fields[index], parsed)) {
                addError(row.line, columnOrder_[index]->name, std::move(*reason));
            }
        }
        if (errors_.size() == before) {
            checkTopUp(parsed);
        }
        if (errors_.size() == before) {
            addRow(std::move(parsed));
        }
    }

    void checkTopUp(const ParsedRow &parsed)
    {
        if (parsed.topUp.id.empty() && parsed.topUp.tokens > 0) {
            addError(parsed.topUp.line, "top_up_id",
                     "a top-up needs an id: without one it would be added each time the sheet is "
                     "applied");
        }
        if (!parsed.topUp.id.empty() && parsed.topUp.tokens == 0) {
            addError(parsed.topUp.line, "top_up_tokens",
                     "the top-up's number of tokens is missing");
        }
    }

    void addRow(ParsedRow parsed)
    {
        const auto [position, isNew] = workspacePositions_.emplace(
                parsed.workspace.workspace.text(), sheet_.workspaces.size());
        if (isNew) {
            sheet_.workspaces.push_back(std::move(parsed.workspace));
        } else {
            checkSameWorkspace(sheet_.workspaces[position->second], parsed);
        }
        SheetWorkspace &workspace = sheet_.workspaces[position->second];
        if (parsed.topUp.id.empty()) {
            return;
        }
        for (const SheetTopUp &existing : workspace.topUps) {
            if (existing.id == parsed.topUp.id) {
                addError(parsed.topUp.line, "top_up_id",
                         fmt::format("duplicate row: top-up '{}' is already on line {}",
                                     existing.id, existing.line));
                return;
            }
        }
        workspace.topUps.push_back(std::move(parsed.topUp));
    }

    void checkSameWorkspace(const SheetWorkspace &first, const ParsedRow &parsed)
    {
        const SheetWorkspace &other = parsed.workspace;
        if (parsed.topUp.id.empty()) {
            addError(other.line, "workspace",
                     fmt::format("duplicate row: workspace '{}' is already on line {}",
                                 first.workspace.text(), first.line));
        }
        const auto differs = [&](bool different, const char *column) {
            if (different) {
                addError(other.line, column,
                         fmt::format("differs from line {} of the same workspace", first.line));
            }
        };
        differs(other.name != first.name, "name");
        differs(other.budgetTokens != first.budgetTokens, "budget_tokens");
        differs(other.services != first.services, "services");
        differs(other.weight != first.weight, "weight");
        differs(other.maxOutputTokens != first.maxOutputTokens, "max_output_tokens");
    }

    void checkTotals()
    {
        for (const SheetWorkspace &workspace : sheet_.workspaces) {
            uint64_t total = workspace.budgetTokens;
            for (const SheetTopUp &topUp : workspace.topUps) {
                if (topUp.tokens > UINT64_MAX - total) {
                    addError(topUp.line, "top_up_tokens",
                             fmt::format("the sum of the budget and all top-ups is greater than {}",
                                         UINT64_MAX));
                    break;
                }
                total += topUp.tokens;
            }
        }
    }

    Sheet sheet_;
    SheetErrors errors_;
    std::vector<const Column *> columnOrder_;
    std::unordered_map<std::string, std::size_t> workspacePositions_;
    bool headerValid_ = true;
    bool inHeader_ = false;
};

} // namespace

std::string describe(const SheetError &error)
{
    if (error.line == 0) {
        return error.reason;
    }
    if (error.column.empty()) {
        return fmt::format("line {}: {}", error.line, error.reason);
    }
    return fmt::format("line {}, column {}: {}", error.line, error.column, error.reason);
}

ParseSheetResult parseSheet(std::string_view bytes)
{
    return SheetParser().parse(readCsv(bytes));
}

} // namespace sequoiagate
