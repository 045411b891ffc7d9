#ifndef LIB_CONFIG_CSVREADER_H
#define LIB_CONFIG_CSVREADER_H

/// The CSV layer of the sheet parser: splits bytes into rows of fields and records the
/// line on which each row begins.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiagate/Config/Sheet.h"

namespace sequoiagate {

struct CsvRow
{
    std::size_t line = 0;
    std::vector<std::string> fields;
};

struct CsvText
{
    std::vector<CsvRow> rows; ///< without blank lines
    SheetErrors errors;       ///< invalid CSV, invalid UTF-8, NUL bytes, truncated lines
};

/// Parses \p bytes as CSV (RFC 4180). Accepts a byte order mark and both LF and CRLF.
/// Parsing continues after an invalid line, so that all errors are reported at once.
/// Thread safe.
CsvText readCsv(std::string_view bytes);

} // namespace sequoiagate

#endif
