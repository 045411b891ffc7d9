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

constexpr std::size_t LongestId = 64;
constexpr std::size_t LongestName = 200;
constexpr double LargestWeight = 1000;

bool isIdCharacter(char character)
{
    const bool letter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.';
}

bool isId(std::string_view text)
{
    return !text.empty() && text.size() <= LongestId
           && std::all_of(text.begin(), text.end(), isIdCharacter);
}

bool allDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
}

/// Why \p text isn't a count of tokens; empty if it is one.
std::string tokenFault(std::string_view text)
{
    if (text.empty()) {
        return "a whole number of tokens is missing";
    }
    if (text.front() == '-' && allDigits(text.substr(1))) {
        return fmt::format("'{}' is negative", text);
    }
    const std::size_t point = text.find('.');
    if (point != std::string_view::npos && allDigits(text.substr(0, point))) {
        return fmt::format("'{}' is not a whole number", text);
    }
    if (!allDigits(text)) {
        return fmt::format("'{}' is not a whole number in digits alone", text);
    }
    return fmt::format("'{}' is more than {}", text, UINT64_MAX);
}

std::optional<uint64_t> parseTokens(std::string_view text)
{
    uint64_t tokens = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), tokens);
    if (!allDigits(text) || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return tokens;
}

/// One row on its way into a workspace.
struct RowDraft
{
    SheetWorkspace workspace;
    SheetTopUp topUp;
};

/// A fault of the field it is read from; nothing: it was taken.
using FieldFault = std::optional<std::string>;

FieldFault readWorkspace(std::string_view text, RowDraft &row)
{
    if (!isId(text)) {
        return fmt::format("'{}' is no id: 1 to {} of a-z, A-Z, 0-9, '-', '_' and '.'", text,
                           LongestId);
    }
    row.workspace.workspace = WorkspaceId(std::string(text));
    return std::nullopt;
}

FieldFault readName(std::string_view text, RowDraft &row)
{
    if (text.empty() || text.size() > LongestName) {
        return fmt::format("a name has 1 to {} bytes", LongestName);
    }
    row.workspace.name = std::string(text);
    return std::nullopt;
}

FieldFault readBudget(std::string_view text, RowDraft &row)
{
    const std::optional<uint64_t> tokens = parseTokens(text);
    if (!tokens) {
        return tokenFault(text);
    }
    row.workspace.budgetTokens = *tokens;
    return std::nullopt;
}

FieldFault readTopUpId(std::string_view text, RowDraft &row)
{
    if (!text.empty() && !isId(text)) {
        return fmt::format("'{}' is no id: 1 to {} of a-z, A-Z, 0-9, '-', '_' and '.'", text,
                           LongestId);
    }
    row.topUp.id = std::string(text);
    return std::nullopt;
}

FieldFault readTopUpTokens(std::string_view text, RowDraft &row)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const std::optional<uint64_t> tokens = parseTokens(text);
    if (!tokens) {
        return tokenFault(text);
    }
    if (*tokens == 0) {
        return "a top-up adds at least one token";
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

FieldFault readServices(std::string_view text, RowDraft &row)
{
    std::size_t from = 0;
    while (from <= text.size()) {
        const std::size_t end = std::min(text.find(';', from), text.size());
        const std::string_view name = trimmed(text.substr(from, end - from));
        from = end + 1;
        if (name.empty()) {
            return "name at least one service, with ';' between them; to shut a workspace off, "
                   "set its budget_tokens to 0";
        }
        const ServiceId service{std::string(name)};
        std::vector<ServiceId> &known = row.workspace.services;
        if (std::find(known.begin(), known.end(), service) != known.end()) {
            return fmt::format("service '{}' stands twice", name);
        }
        known.push_back(service);
    }
    return std::nullopt;
}

FieldFault readWeight(std::string_view text, RowDraft &row)
{
    if (text.empty()) {
        return std::nullopt;
    }
    double weight = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), weight);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    // Written so that "nan" fails it, too.
    if (!whole || !(weight > 0 && weight <= LargestWeight)) {
        return fmt::format("'{}' is no weight: a number above 0, at most {}", text, LargestWeight);
    }
    row.workspace.weight = weight;
    return std::nullopt;
}

FieldFault readMaxOutput(std::string_view text, RowDraft &row)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const std::optional<uint64_t> tokens = parseTokens(text);
    if (!tokens) {
        return tokenFault(text);
    }
    row.workspace.maxOutputTokens = *tokens;
    return std::nullopt;
}

struct Column
{
    const char *name;
    FieldFault (*read)(std::string_view text, RowDraft &row);
};

constexpr std::array<Column, 8> Columns = {{
        {"workspace", readWorkspace},
        {"name", readName},
        {"budget_tokens", readBudget},
        {"top_up_id", readTopUpId},
        {"top_up_tokens", readTopUpTokens},
        {"services", readServices},
        {"weight", readWeight},
        {"max_output_tokens", readMaxOutput},
}};

/// Turns rows of text into workspaces and gathers the faults.
class SheetParser
{
public:
    ParseSheetResult parse(CsvText text)
    {
        faults_ = std::move(text.faults);
        if (text.rows.empty()) {
            if (faults_.empty()) {
                faults_.push_back({0, {}, "the file is empty"});
            }
            return std::move(faults_);
        }
        readHeader(text.rows.front());
        // Without all columns known, each field would be read as another's.
        if (headerGood_) {
            for (std::size_t index = 1; index < text.rows.size(); ++index) {
                readRow(text.rows[index]);
            }
            if (text.rows.size() == 1 && faults_.empty()) {
                faults_.push_back({0, {}, "the file has a header and no rows"});
            }
        }
        checkTotals();
        if (faults_.empty()) {
            return std::move(sheet_);
        }
        std::stable_sort(faults_.begin(), faults_.end(),
                         [](const SheetError &left, const SheetError &right) {
                             return left.line < right.line;
                         });
        return std::move(faults_);
    }

private:
    void fault(std::size_t line, std::string column, std::string reason)
    {
        headerGood_ = headerGood_ && !inHeader_;
        faults_.push_back({line, std::move(column), std::move(reason)});
    }

    void readHeader(const CsvRow &row)
    {
        inHeader_ = true;
        std::unordered_set<std::string> seen;
        for (const std::string &name : row.fields) {
            const auto known =
                    std::find_if(Columns.begin(), Columns.end(),
                                 [&name](const Column &column) { return name == column.name; });
            if (known == Columns.end()) {
                fault(row.line, name, "an unknown column");
            } else if (!seen.insert(name).second) {
                fault(row.line, name, "the column stands twice");
            } else {
                order_.push_back(&*known);
            }
        }
        for (const Column &column : Columns) {
            if (!seen.contains(column.name)) {
                fault(row.line, column.name, "the column is missing");
            }
        }
        inHeader_ = false;
    }

    void readRow(const CsvRow &row)
    {
        if (row.fields.size() != order_.size()) {
            const char *what = row.fields.size() < order_.size() ? ": the line is cut off" : "";
            fault(row.line, {},
                  fmt::format("{} fields, where the header has {}{}", row.fields.size(),
                              order_.size(), what));
            return;
        }
        RowDraft draft;
        draft.workspace.line = row.line;
        draft.topUp.line = row.line;
        const std::size_t before = faults_.size();
        for (std::size_t index = 0; index < order_.size(); ++index) {
            if (FieldFault reason = order_[index]->read(row.fields[index], draft)) {
                fault(row.line, order_[index]->name, std::move(*reason));
            }
        }
        if (faults_.size() == before) {
            checkTopUp(draft);
        }
        if (faults_.size() == before) {
            addRow(std::move(draft));
        }
    }

    void checkTopUp(const RowDraft &draft)
    {
        if (draft.topUp.id.empty() && draft.topUp.tokens > 0) {
            fault(draft.topUp.line, "top_up_id",
                  "a top-up needs an id: without one it would be added at each apply");
        }
        if (!draft.topUp.id.empty() && draft.topUp.tokens == 0) {
            fault(draft.topUp.line, "top_up_tokens", "the top-up's tokens are missing");
        }
    }

    void addRow(RowDraft draft)
    {
        const auto [place, isNew] =
                places_.emplace(draft.workspace.workspace.text(), sheet_.workspaces.size());
        if (isNew) {
            sheet_.workspaces.push_back(std::move(draft.workspace));
        } else {
            checkSameWorkspace(sheet_.workspaces[place->second], draft);
        }
        SheetWorkspace &workspace = sheet_.workspaces[place->second];
        if (draft.topUp.id.empty()) {
            return;
        }
        for (const SheetTopUp &known : workspace.topUps) {
            if (known.id == draft.topUp.id) {
                fault(draft.topUp.line, "top_up_id",
                      fmt::format("a doubled row: top-up '{}' stands on line {}", known.id,
                                  known.line));
                return;
            }
        }
        workspace.topUps.push_back(std::move(draft.topUp));
    }

    void checkSameWorkspace(const SheetWorkspace &first, const RowDraft &draft)
    {
        const SheetWorkspace &again = draft.workspace;
        if (draft.topUp.id.empty()) {
            fault(again.line, "workspace",
                  fmt::format("a doubled row: workspace '{}' stands on line {}",
                              first.workspace.text(), first.line));
        }
        const auto differs = [&](bool different, const char *column) {
            if (different) {
                fault(again.line, column,
                      fmt::format("differs from line {} of the same workspace", first.line));
            }
        };
        differs(again.name != first.name, "name");
        differs(again.budgetTokens != first.budgetTokens, "budget_tokens");
        differs(again.services != first.services, "services");
        differs(again.weight != first.weight, "weight");
        differs(again.maxOutputTokens != first.maxOutputTokens, "max_output_tokens");
    }

    void checkTotals()
    {
        for (const SheetWorkspace &workspace : sheet_.workspaces) {
            uint64_t total = workspace.budgetTokens;
            for (const SheetTopUp &topUp : workspace.topUps) {
                if (topUp.tokens > UINT64_MAX - total) {
                    fault(topUp.line, "top_up_tokens",
                          fmt::format("budget and top-ups together are more than {}", UINT64_MAX));
                    break;
                }
                total += topUp.tokens;
            }
        }
    }

    Sheet sheet_;
    SheetErrors faults_;
    std::vector<const Column *> order_;
    std::unordered_map<std::string, std::size_t> places_;
    bool headerGood_ = true;
    bool inHeader_ = false;
};

} // namespace

std::string describe(const SheetError &fault)
{
    if (fault.line == 0) {
        return fault.reason;
    }
    if (fault.column.empty()) {
        return fmt::format("line {}: {}", fault.line, fault.reason);
    }
    return fmt::format("line {}, column {}: {}", fault.line, fault.column, fault.reason);
}

ParseSheetResult parseSheet(std::string_view bytes)
{
    return SheetParser().parse(readCsv(bytes));
}

} // namespace sequoiagate
