#ifndef SEQUOIAGATE_LEDGER_SAFEGUARDS_H
#define SEQUOIAGATE_LEDGER_SAFEGUARDS_H

/// The safeguards that keep spending within the budget, one flag each. Programs leave all of them
/// enabled; a test disables one to show the overspending that it prevents.

namespace sequoiagate {

struct LedgerSafeguards
{
    /// Without it, an append that was resent after its response was lost counts twice.
    bool dropDuplicates = true;
    /// Without it, a seal and a rewitness, or two ends, of one grant both take effect.
    bool firstEndWins = true;
};

struct GrantSafeguards
{
    /// Without it, the holder accepts a window from the old witness after it has reported what it
    /// received; the new witness doesn't count that window.
    bool holderStopsWindowsFirst = true;
    /// Without it, the witness signs a window after it has reported what it signed.
    bool witnessStopsSigningFirst = true;
    /// Without it, a witness that is replaced and later named again forgets windows that it signed
    /// before and that are still in transit to the holder.
    bool witnessKeepsCount = true;
};

struct ConfigSafeguards
{
    /// Without it, the later of two concurrent operators silently reverts the change of the first.
    bool compareAndSwap = true;
    /// Without it, a configuration sheet that is applied twice tops up twice.
    bool deduplicateTopUps = true;
};

} // namespace sequoiagate

#endif
