#ifndef SEQUOIAGATE_LIB_EDGE_EVACUATIONROWS_H
#define SEQUOIAGATE_LIB_EDGE_EVACUATIONROWS_H

/// Applies the operator's evacuation records, rows of the configuration's topic.

#include <vector>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Edge/EdgeAdapter.h"
#include "sequoiagate/Edge/EndpointDirectory.h"

namespace sequoiagate {

/// Tells \p endpoints which evacuations \p rows begin and end. The key alone counts: a record whose
/// value can't be decoded asks for the evacuation all the same. Single-threaded.
/// \param whole whether these are the newest rows of all keys, so that an evacuation without a row
///     has ended
void applyEvacuationRows(const std::vector<StoreRow> &rows, bool whole, const EdgeAdapter &adapter,
                         EndpointDirectory &endpoints, Instant now);

} // namespace sequoiagate

#endif
