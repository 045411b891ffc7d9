#ifndef SEQUOIAGATE_KEEPER_BOOKS_H
#define SEQUOIAGATE_KEEPER_BOOKS_H

/// What a keeper keeps per request: open reservations, bills that the log may
/// not have yet, and run claims under way. Plain state without rules of its own;
/// the rules are KeeperCore's.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/GrantHolder.h"

namespace sequoiagate {

/// Names a request: ids are chosen by callers and scoped to their workspace.
struct RequestKey
{
    WorkspaceId workspace;
    RequestId request;

    friend bool operator==(const RequestKey &, const RequestKey &) = default;
};

struct RequestKeyHash
{
    std::size_t operator()(const RequestKey &key) const noexcept;
};

/// Tokens set aside for a request that a router is serving.
struct OpenReservation
{
    ReservationId id;
    RequestKey key;
    std::string bodyHash;
    std::string attempt;
    std::string model;
    uint64_t promptTokens = 0;
    uint64_t tokens = 0;
    std::vector<Draw> draws;
    Incarnation router;
    std::string routerAddress;
    // Where the stream runs, once the router has said so.
    std::string endpoint;
    std::string endpointAddress;
    std::string engineStream;
    bool inquiryOpen = false;  ///< the engine is being asked how far the stream got
    bool routerGaveUp = false; ///< the router itself doesn't know and has asked for that
    /// The tokens are set aside by a keeper on the router's own host; this one only
    /// stands ready to bill the stream if that host is lost.
    bool backup = false;
};

/// Not thread safe.
class ReservationBook
{
public:
    /// nullptr: none open.
    OpenReservation *find(const RequestKey &key);
    OpenReservation *find(const ReservationId &id);
    /// \pre neither the key nor the id is open.
    void open(OpenReservation reservation);
    void close(const ReservationId &id);
    std::size_t size() const { return byKey_.size(); }
    std::vector<OpenReservation *> all();

private:
    std::unordered_map<RequestKey, OpenReservation, RequestKeyHash> byKey_;
    std::unordered_map<ReservationId, RequestKey> keys_;
};

/// A bill, from the moment this keeper answers for it.
struct HeldBill
{
    wire::Bill bill;
    std::string bodyHash;       ///< empty: unknown
    uint64_t durableOffset = 0; ///< log offset past which it stands; 0: not read back yet
    Instant forgetAt = Never;
};

/// Not thread safe.
class BillBook
{
public:
    /// nullptr: none held.
    HeldBill *find(const RequestKey &key);
    /// \pre none is held for the key.
    void hold(const RequestKey &key, wire::Bill bill, std::string bodyHash);
    /// The bill, or another for the same request, stands below \p offset.
    void markDurable(const RequestKey &key, uint64_t offset, Instant forgetAt);
    void forget(Instant now);
    std::size_t pending() const { return pending_; }
    std::vector<RequestKey> pendingKeys() const;

private:
    std::unordered_map<RequestKey, HeldBill, RequestKeyHash> bills_;
    std::size_t pending_ = 0;
};

/// A run claim that this keeper has put on its way to the log.
struct PendingClaim
{
    wire::RunClaim claim;
    uint64_t sequence = 0;
    Instant giveUpAt;
    bool withdrawn = false; ///< the claimer was told that it did not run
    bool undone = false;    ///< the outcome that says so is on its way
    Instant forgetAt = Never;
};

/// The time in a UUIDv7 (RFC 9562, section 5.7: its first 48 bits are Unix
/// milliseconds); nullopt if \p key isn't a UUID of version 7.
std::optional<WallTime> uuid7Time(const std::string &key);

} // namespace sequoiagate

#endif
