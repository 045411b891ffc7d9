#ifndef SEQUOIAGATE_ROUTER_VERDICTHTTP_H
#define SEQUOIAGATE_ROUTER_VERDICTHTTP_H

/// Verdicts as callers see them; docs/Api.md lists the statuses.

#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

int httpStatusOf(const Verdict &verdict);
/// The error object, with the time to come back counted from \p now.
nlohmann::json errorJson(const Verdict &verdict, Instant now);
/// Makes \p response the verdict's answer: status, body, X-Execution, Retry-After.
void answerVerdict(httplib::Response &response, const Verdict &verdict, Instant now);

} // namespace sequoiagate

#endif
