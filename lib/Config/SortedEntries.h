#ifndef LIB_CONFIG_SORTEDENTRIES_H
#define LIB_CONFIG_SORTEDENTRIES_H

/// Repeated fields kept in the order of their names: a search is quick, and two folds
/// of the same records hold equal bytes.

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

/// nullptr: none of that name. \pre entries are sorted.
template <typename Entries>
auto findEntry(Entries &entries, const std::string &name) -> decltype(&*entries.begin())
{
    const auto place = std::lower_bound(
            entries.begin(), entries.end(), name,
            [](const auto &entry, const std::string &key) { return nameOf(entry) < key; });
    return place != entries.end() && nameOf(*place) == name ? &*place : nullptr;
}

template <typename Entry>
void eraseEntry(google::protobuf::RepeatedPtrField<Entry> &entries, const std::string &name)
{
    if (Entry *known = findEntry(entries, name)) {
        const auto place = std::find_if(entries.pointer_begin(), entries.pointer_end(),
                                        [known](const Entry *entry) { return entry == known; });
        entries.erase(entries.begin() + (place - entries.pointer_begin()));
    }
}

/// Restores the order after entries were added at the end.
template <typename Entry>
void sortEntries(google::protobuf::RepeatedPtrField<Entry> &entries)
{
    std::sort(entries.pointer_begin(), entries.pointer_end(),
              [](const Entry *left, const Entry *right) { return nameOf(*left) < nameOf(*right); });
}

} // namespace sequoiagate

#endif
