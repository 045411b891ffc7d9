#ifndef LIB_CONFIG_CSVREADER_H
#define LIB_CONFIG_CSVREADER_H

/// The lower half of the sheet's reader: bytes to rows of text, with the line on
/// which each row begins.

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
    std::vector<CsvRow> rows; ///< blank lines left out
    SheetErrors faults;       ///< lines that aren't CSV, aren't text, or are cut off
};

/// Splits \p bytes by RFC 4180, with a byte order mark and either line end. Reading
/// goes on after a broken line, so that all faults are found at once. Thread safe.
CsvText readCsv(std::string_view bytes);

} // namespace sequoiagate

#endif
