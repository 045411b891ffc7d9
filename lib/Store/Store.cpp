#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

std::string_view storeOutcomeName(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Ok:
        return "ok";
    case StoreOutcome::Unreachable:
        return "unreachable";
    case StoreOutcome::Refused:
        return "refused";
    case StoreOutcome::Gone:
        return "gone";
    case StoreOutcome::OutOfOrder:
        return "out_of_order";
    case StoreOutcome::Rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace sequoiagate
