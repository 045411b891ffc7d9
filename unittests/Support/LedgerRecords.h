#ifndef UNITTESTS_SUPPORT_LEDGERRECORDS_H
#define UNITTESTS_SUPPORT_LEDGERRECORDS_H

/// Short ways to write the records that tests of the ledger need.

#include <string>

#include "proto/records.pb.h"

namespace sequoiagate::records {

wire::Record from(const std::string &writer, uint64_t sequence, wire::Record body);

wire::Record funding(const std::string &workspace, uint64_t version, uint64_t total);
wire::Record claim(const std::string &grant, const std::string &workspace, uint64_t tokens,
                   const std::string &holder, const std::string &witness);
wire::Record giveBack(const std::string &grant, uint64_t tokens);
wire::Record seal(const std::string &grant, uint64_t signedTokens);
wire::Record rewitness(const std::string &grant, uint64_t received, const std::string &witness);
wire::Record close(const std::string &grant, uint64_t spent);
wire::Record attest(const std::string &grant, uint64_t spentAtMost, const std::string &name);
wire::Record bill(const std::string &workspace, const std::string &request, uint64_t tokens);
wire::Record runClaim(const std::string &workspace, const std::string &key,
                      const std::string &attempt);
wire::Record runOutcome(const std::string &workspace, const std::string &key,
                        const std::string &attempt, wire::Execution execution);

} // namespace sequoiagate::records

#endif
