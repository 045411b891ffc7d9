#include "sequoiagate/Config/Sheet.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "sequoiagate/Config/ConfigFold.h"
#include "unittests/Support/LedgerRecords.h"
#include "unittests/Support/TreePaths.h"

using namespace sequoiagate;

namespace {

const std::string Header =
        "workspace,name,budget_tokens,top_up_id,top_up_tokens,services,weight,max_output_tokens\n";

struct InvalidSheet
{
    const char *name;
    std::string bytes;
    std::vector<std::string> errors; ///< the prefix of each message, in order
};

std::string rows(const std::string &text)
{
    return Header + text;
}

const InvalidSheet InvalidSheets[] = {
        {"Empty", "", {"the file is empty"}},
        {"BlankLinesOnly", "\r\n\n", {"the file is empty"}},
        {"HeaderOnly", Header, {"the file has a header but no rows"}},
        {"Negative",
         rows("w,W,-5,,,chat,1,\n"),
         {"line 2, column budget_tokens: '-5' is negative"}},
        {"Fractional",
         rows("w,W,1.5,,,chat,1,\n"),
         {"line 2, column budget_tokens: '1.5' is not a whole number"}},
        {"Exponent",
         rows("w,W,1e6,,,chat,1,\n"),
         {"line 2, column budget_tokens: '1e6' is not a whole number written in digits only"}},
        {"Separators",
         rows("w,W,\"1,000\",,,chat,1,\n"),
         {"line 2, column budget_tokens: '1,000' is not a whole number written in digits only"}},
        {"Overflow",
         rows("w,W,18446744073709551616,,,chat,1,\n"),
         {"line 2, column budget_tokens: '18446744073709551616' is greater than"}},
        {"TotalOverflow",
         rows("w,W,18446744073709551615,t,1,chat,1,\n"),
         {"line 2, column top_up_tokens: the sum of the budget and all top-ups"}},
        {"NoBudget", rows("w,W,,,,chat,1,\n"), {"line 2, column budget_tokens: a whole number"}},
        {"DuplicateRow",
         rows("w,W,5,,,chat,1,\nw,W,5,,,chat,1,\n"),
         {"line 3, column workspace: duplicate row: workspace 'w' is already on line 2"}},
        {"DuplicateTopUp",
         rows("w,W,5,t,1,chat,1,\nw,W,5,t,1,chat,1,\n"),
         {"line 3, column top_up_id: duplicate row: top-up 't' is already on line 2"}},
        {"RowsOfAWorkspaceDiffer",
         rows("w,W,5,t,1,chat,1,\nw,V,6,u,1,chat;booking,2,9\n"),
         {"line 3, column name: differs from line 2", "line 3, column budget_tokens: differs",
          "line 3, column services: differs", "line 3, column weight: differs",
          "line 3, column max_output_tokens: differs"}},
        {"TopUpWithoutId",
         rows("w,W,5,,7,chat,1,\n"),
         {"line 2, column top_up_id: a top-up needs an id"}},
        {"TopUpWithoutTokens",
         rows("w,W,5,t,,chat,1,\n"),
         {"line 2, column top_up_tokens: the top-up's number of tokens is missing"}},
        {"TopUpOfZeroTokens",
         rows("w,W,5,t,0,chat,1,\n"),
         {"line 2, column top_up_tokens: a top-up must add at least one"}},
        {"MissingColumn",
         "workspace,name,budget_tokens,top_up_id,top_up_tokens,services,weight\n",
         {"line 1, column max_output_tokens: the column is missing"}},
        {"UnknownAndDuplicateColumn",
         "workspace,name,budget_tokens,top_up_id,top_up_tokens,services,weight,weight,colour,"
         "max_output_tokens\n",
         {"line 1, column weight: duplicate column", "line 1, column colour: unknown column"}},
        {"UnterminatedQuote",
         rows("w,W,5,,,chat,1,\nv,\"V,5,,,chat,1,\n"),
         {"line 3: unterminated quoted field"}},
        {"TooFewFields", rows("w,W,5\n"), {"line 2: 3 fields, but the header has 8: the line"}},
        {"TooManyFields", rows("w,W,5,,,chat,1,,\n"), {"line 2: 9 fields"}},
        {"QuoteInside",
         rows("w,a\"b,5,,,chat,1,\nv,V,-1,,,chat,1,\n"),
         {"line 2: unexpected quote inside", "line 3, column budget_tokens: '-1' is negative"}},
        {"NulByte", rows(std::string("w,W\0,5,,,chat,1,\n", 17)), {"line 2: a NUL byte"}},
        {"InvalidUtf8", rows("w,\xC3(,5,,,chat,1,\n"), {"line 2: the text isn't valid UTF-8"}},
        {"Latin1", rows("w,Nor\xE7,5,,,chat,1,\n"), {"line 2: the text isn't valid UTF-8"}},
        {"OverlongUtf8", rows("w,\xC0\xAF,5,,,chat,1,\n"), {"line 2: the text isn't valid UTF-8"}},
        {"LineBreakInField",
         rows("w,\"W\nX\",5,,,chat,1,\n"),
         {"line 2: a field contains a line break"}},
        {"BadWorkspace",
         rows("a b,W,5,,,chat,1,\n"),
         {"line 2, column workspace: 'a b' is not a valid id"}},
        {"NoService", rows("w,W,5,,,,1,\n"), {"line 2, column services: list at least one"}},
        {"ServiceTwice",
         rows("w,W,5,,,a;a,1,\n"),
         {"line 2, column services: service 'a' is listed twice"}},
        {"WeightZero",
         rows("w,W,5,,,chat,0,\n"),
         {"line 2, column weight: '0' is not a valid weight"}},
        {"WeightNan",
         rows("w,W,5,,,chat,nan,\n"),
         {"line 2, column weight: 'nan' is not a valid weight"}},
        {"AllErrorsAtOnce",
         rows("w,W,-5,,,chat,1,\n\nv,V,5\nu,U,x,,,chat,-1,\n"),
         {"line 2, column budget_tokens", "line 4: 3 fields", "line 5, column budget_tokens",
          "line 5, column weight"}},
};

class SheetRejected : public testing::TestWithParam<InvalidSheet>
{};

TEST_P(SheetRejected, ReportsEveryError)
{
    const ParseSheetResult result = parseSheet(GetParam().bytes);
    ASSERT_TRUE(std::holds_alternative<SheetErrors>(result));
    const auto &errors = std::get<SheetErrors>(result);
    ASSERT_EQ(errors.size(), GetParam().errors.size())
            << (errors.empty() ? "" : describe(errors.back()));
    for (std::size_t index = 0; index < errors.size(); ++index) {
        EXPECT_EQ(describe(errors[index]).substr(0, GetParam().errors[index].size()),
                  GetParam().errors[index]);
    }
}

INSTANTIATE_TEST_SUITE_P(Errors, SheetRejected, testing::ValuesIn(InvalidSheets),
                         [](const auto &row) { return std::string(row.param.name); });

struct ValidSheet
{
    const char *name;
    std::string bytes;
    std::string workspaceName; ///< of workspace w
    uint64_t total;            ///< of workspace w
};

const ValidSheet ValidSheets[] = {
        {"Plain", rows("w,Wren,5,,,chat,1,\n"), "Wren", 5},
        {"NoFinalLineBreak", rows("w,Wren,5,,,chat,1,9"), "Wren", 5},
        {"ByteOrderMark", "\xEF\xBB\xBF" + rows("w,Wren,5,,,chat,1,\n"), "Wren", 5},
        {"Utf8Name", rows("w,Ūdens Norēķini,5,,,chat,1,\n"), "Ūdens Norēķini", 5},
        {"QuotedFields", rows("\"w\",\"Wren, \"\"the\"\" bench\",\"5\",,,chat,1,\n"),
         "Wren, \"the\" bench", 5},
        {"BlankLines", rows("\n\nw,Wren,5,,,chat,1,\n\n"), "Wren", 5},
        {"SeveralTopUps",
         rows("w,Wren,5,t,1,chat,1,\nv,Vole,5,t,1,chat,1,\nw,Wren,5,u,2,chat,1,\n"), "Wren", 8},
        {"LargestBudget", rows("w,Wren,18446744073709551615,,,chat,1,\n"), "Wren", UINT64_MAX},
        {"ColumnsInAnotherOrder",
         "weight,max_output_tokens,services,top_up_tokens,top_up_id,budget_tokens,name,"
         "workspace\r\n"
         "2,10,chat;booking,3,t,5,Wren,w\r\n",
         "Wren", 8},
};

class SheetAccepted : public testing::TestWithParam<ValidSheet>
{};

/// Operators may apply a sheet again when they don't know whether it was applied. The
/// second time must change nothing.
TEST_P(SheetAccepted, IsAppliedOnce)
{
    const ParseSheetResult result = parseSheet(GetParam().bytes);
    ASSERT_TRUE(std::holds_alternative<Sheet>(result))
            << describe(std::get<SheetErrors>(result).front());
    ConfigFold fold;
    for (uint64_t sequence = 1; sequence <= 2; ++sequence) {
        const SheetChangeResult change =
                makeConfigChange(std::get<Sheet>(result), fold.state(), "rasa", "morning");
        ASSERT_TRUE(std::holds_alternative<wire::ConfigChange>(change));
        EXPECT_EQ(std::get<wire::ConfigChange>(change).workspaces().empty(), sequence == 2);
        wire::Record record;
        *record.mutable_config_change() = std::get<wire::ConfigChange>(change);
        ASSERT_EQ(fold.apply(records::from("op", sequence, record), sequence - 1).outcome,
                  FoldOutcome::Accepted);
        const wire::WorkspaceConfig *workspace = fold.findWorkspace(WorkspaceId("w"));
        ASSERT_NE(workspace, nullptr);
        EXPECT_EQ(workspace->name(), GetParam().workspaceName);
        EXPECT_EQ(prepaidTotal(*workspace), GetParam().total);
    }
}

INSTANTIATE_TEST_SUITE_P(Forms, SheetAccepted, testing::ValuesIn(ValidSheets),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Sheet, RejectsAppliedTopUpWithOtherTokens)
{
    ConfigFold fold;
    const auto first = std::get<Sheet>(parseSheet(rows("w,W,5,t,1,chat,1,\n")));
    wire::Record record;
    *record.mutable_config_change() =
            std::get<wire::ConfigChange>(makeConfigChange(first, fold.state(), "rasa", ""));
    fold.apply(records::from("op", 1, record), 0);
    const auto second = std::get<Sheet>(parseSheet(rows("w,W,5,t,2,chat,1,\n")));
    const SheetChangeResult change = makeConfigChange(second, fold.state(), "rasa", "");
    ASSERT_TRUE(std::holds_alternative<SheetErrors>(change));
    EXPECT_EQ(describe(std::get<SheetErrors>(change).front()),
              "line 2, column top_up_tokens: top-up 't' was already applied with 1 tokens");
}

TEST(Sheet, ParsesTheExample)
{
    std::ifstream file(sourceFolder() / "docs/examples/sheet.csv", std::ios::binary);
    std::ostringstream bytes;
    bytes << file.rdbuf();
    const ParseSheetResult result = parseSheet(bytes.str());
    ASSERT_TRUE(std::holds_alternative<Sheet>(result))
            << describe(std::get<SheetErrors>(result).front());
    EXPECT_EQ(std::get<Sheet>(result).workspaces.size(), 3U);
}

} // namespace
