#ifndef UNITTESTS_SUPPORT_CORRUPTEDJSON_H
#define UNITTESTS_SUPPORT_CORRUPTEDJSON_H

/// Documents that another writer may have corrupted.

#include <string>
#include <vector>

namespace sequoiagate {

/// Returns copies of a JSON document, in each of which one value, at any depth, is replaced by one
/// of another type, a number beyond the range of its type, or text that isn't UTF-8.
/// \pre \p document is valid JSON. Thread safe.
std::vector<std::string> corruptedCopies(const std::string &document);

} // namespace sequoiagate

#endif
