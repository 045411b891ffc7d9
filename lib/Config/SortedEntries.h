#ifndef LIB_CONFIG_SORTEDENTRIES_H
#define LIB_CONFIG_SORTEDENTRIES_H

/// Repeated fields that are kept sorted by name: lookup is a binary search, and applying
/// the same records always gives equal bytes.

#include <algorithm>
#include <string>

#include "proto/records.pb.h"

namespace sequoiagate {

inline const std::string &nameOf(const wire::WorkspaceConfig &entry)
{
    return entry.workspace();
}

inline const std::string &nameOf(const wire::EndpointChange &entry)
{
    return entry.endpoint();
}

/// \returns nullptr if no entry has that name. \pre entries are sorted.
template <typename Entries>
auto findEntry(Entries &entries, const std::string &name) -> decltype(&*entries.begin())
{
    const auto position = std::lower_bound(
            entries.begin(), entries.end(), name,
            [](const auto &entry, const std::string &key) { return nameOf(entry) < key; });
    return position != entries.end() && nameOf(*position) == name ? &*position : nullptr;
}

template <typename Entry>
void eraseEntry(google::protobuf::RepeatedPtrField<Entry> &entries, const std::string &name)
{
    if (Entry *found = findEntry(entries, name)) {
        const auto position = std::find_if(entries.pointer_begin(), entries.pointer_end(),
                                           [found](const Entry *entry) { return entry == found; });
        entries.erase(entries.begin() + (position - entries.pointer_begin()));
    }
}

/// Restores the order after entries were appended.
template <typename Entry>
void sortEntries(google::protobuf::RepeatedPtrField<Entry> &entries)
{
    std::sort(entries.pointer_begin(), entries.pointer_end(),
              [](const Entry *left, const Entry *right) { return nameOf(*left) < nameOf(*right); });
}

} // namespace sequoiagate

#endif
