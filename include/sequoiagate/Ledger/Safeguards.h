#ifndef SEQUOIAGATE_LEDGER_SAFEGUARDS_H
#define SEQUOIAGATE_LEDGER_SAFEGUARDS_H

/// The safeguards that keep spend within budget, one flag each. Programs leave
/// all on; a test switches one off to show the overspend that it prevents.

namespace sequoiagate {

struct LedgerSafeguards
{
    /// Without: an append that was sent again after its answer was lost counts twice.
    bool dropDoubles = true;
    /// Without: a seal and a rewitness, or two ends, of one grant both take effect.
    bool firstEndWins = true;
};

struct GrantSafeguards
{
    /// Without: the holder takes a window from the old witness after it has said
    /// what it received; the new witness doesn't count it.
    bool holderStopsWindowsFirst = true;
    /// Without: the witness signs a window after it has said what it signed.
    bool witnessStopsSigningFirst = true;
    /// Without: a witness that is replaced and comes back forgets windows of its
    /// first time that are still under way to the holder.
    bool witnessKeepsItsCount = true;
};

struct ConfigSafeguards
{
    /// Without: the later of two racing operators silently undoes the first.
    bool compareAndSwap = true;
    /// Without: a sheet that is applied twice tops up twice.
    bool deduplicateTopUps = true;
};

} // namespace sequoiagate

#endif
