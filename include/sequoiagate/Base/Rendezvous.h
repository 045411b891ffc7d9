#ifndef SEQUOIAGATE_BASE_RENDEZVOUS_H
#define SEQUOIAGATE_BASE_RENDEZVOUS_H

/// Rendezvous (highest random weight) hashing: all processes with the same list of
/// members select the same one, and losing a member moves only its own keys. Uses
/// xxHash, since absl::Hash and std::hash differ between processes.

#include <cstdint>
#include <string_view>
#include <vector>

namespace sequoiagate {

/// A hash of \p text that is the same in every process and build. Thread safe.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/// The weight of \p member for \p key; the highest wins.
uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// The index of the member with the highest weight for \p key; ties are broken by name.
/// \pre members isn't empty.
std::size_t rendezvousChoice(std::string_view key, const std::vector<std::string_view> &members);

} // namespace sequoiagate

#endif
