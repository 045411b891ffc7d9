#include "unittests/Support/LedgerRecords.h"

namespace sequoiagate::records {

wire::Record from(const std::string &writer, uint64_t sequence, wire::Record body)
{
    body.set_writer(writer);
    body.set_sequence(sequence);
    return body;
}

wire::Record funding(const std::string &workspace, uint64_t version, uint64_t total)
{
    wire::Record record;
    record.mutable_funding()->set_workspace(workspace);
    record.mutable_funding()->set_config_version(version);
    record.mutable_funding()->set_total_tokens(total);
    return record;
}

wire::Record claim(const std::string &grant, const std::string &workspace, uint64_t tokens,
                   const std::string &holder, const std::string &witness)
{
    wire::Record record;
    wire::GrantClaim &body = *record.mutable_grant_claim();
    body.set_grant(grant);
    body.set_workspace(workspace);
    body.set_tokens(tokens);
    body.set_holder(holder);
    body.set_witness(witness);
    return record;
}

wire::Record giveBack(const std::string &grant, uint64_t tokens)
{
    wire::Record record;
    record.mutable_grant_return()->set_grant(grant);
    record.mutable_grant_return()->set_tokens(tokens);
    return record;
}

wire::Record seal(const std::string &grant, uint64_t signedTokens)
{
    wire::Record record;
    record.mutable_grant_seal()->set_grant(grant);
    record.mutable_grant_seal()->set_signed_tokens(signedTokens);
    return record;
}

wire::Record rewitness(const std::string &grant, uint64_t received, const std::string &witness)
{
    wire::Record record;
    record.mutable_grant_rewitness()->set_grant(grant);
    record.mutable_grant_rewitness()->set_received_tokens(received);
    record.mutable_grant_rewitness()->set_witness(witness);
    return record;
}

wire::Record close(const std::string &grant, uint64_t spent)
{
    wire::Record record;
    record.mutable_grant_close()->set_grant(grant);
    record.mutable_grant_close()->set_spent_tokens(spent);
    return record;
}

wire::Record attest(const std::string &grant, uint64_t spentAtMost, const std::string &name)
{
    wire::Record record;
    record.mutable_grant_attest()->set_grant(grant);
    record.mutable_grant_attest()->set_spent_at_most(spentAtMost);
    record.mutable_grant_attest()->set_operator_name(name);
    return record;
}

wire::Record bill(const std::string &workspace, const std::string &request, uint64_t tokens)
{
    wire::Record record;
    record.mutable_bill()->set_workspace(workspace);
    record.mutable_bill()->set_request(request);
    record.mutable_bill()->set_completion_tokens(tokens);
    return record;
}

wire::Record runClaim(const std::string &workspace, const std::string &key,
                      const std::string &attempt)
{
    wire::Record record;
    record.mutable_run_claim()->set_workspace(workspace);
    record.mutable_run_claim()->set_key(key);
    record.mutable_run_claim()->set_attempt(attempt);
    return record;
}

wire::Record runOutcome(const std::string &workspace, const std::string &key,
                        const std::string &attempt, wire::Execution execution)
{
    wire::Record record;
    record.mutable_run_outcome()->set_workspace(workspace);
    record.mutable_run_outcome()->set_key(key);
    record.mutable_run_outcome()->set_attempt(attempt);
    record.mutable_run_outcome()->set_execution(execution);
    return record;
}

} // namespace sequoiagate::records
