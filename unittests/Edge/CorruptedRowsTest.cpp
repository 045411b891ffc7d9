/// Rows of the edge's own topic in which another writer has corrupted one field.

#include <functional>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "lib/Edge/LedgerRows.h"
#include "lib/Edge/QuarantineRows.h"
#include "lib/Edge/VersionRecorder.h"
#include "unittests/Support/CorruptedJson.h"

using namespace sequoiagate;

namespace {

const Instant Now{std::chrono::hours(1)};
const WallTime Wall{std::chrono::hours(500'000)};

struct CorruptedRowCase
{
    const char *name;
    StoreRow row;
    void (*decode)(const StoreRow &row);
};

void decodeHostOrReject(const StoreRow &row)
{
    try {
        decodeHost(row);
    } catch (const nlohmann::json::exception &) {
    } catch (const std::invalid_argument &) {
    }
}

void decodeQuarantineWithinBounds(const StoreRow &row)
{
    if (const auto decoded = decodeQuarantineRow(row, Now, Wall)) {
        EXPECT_LE(decoded->until, Now + CrashingParts::MaxQuarantine) << row.value;
    }
}

StoreRow hostRow()
{
    using Address = boost::asio::ip::udp::endpoint;
    const Address address(boost::asio::ip::make_address("10.0.0.1"), 7200);
    const boost::asio::ip::tcp::endpoint relay(address.address(), 7201);
    return encodeHost({HostId("h"), DomainId("d"), Incarnation("i"), address, address, relay});
}

StoreRow quarantineRow()
{
    return encodeQuarantineRow(
            {7, 1, Now + std::chrono::minutes(5), {{EndpointId("e"), 1}}, HostId("h")}, Now, Wall);
}

class CorruptedRows : public testing::TestWithParam<CorruptedRowCase>
{};

// Guards against a row of another writer that ends each host which reads it.
TEST_P(CorruptedRows, AreRejectedOrBounded)
{
    const CorruptedRowCase &row = GetParam();
    for (const std::string &value : corruptedCopies(row.row.value)) {
        EXPECT_NO_THROW(row.decode({row.row.key, value, 1})) << value;
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, CorruptedRows,
                         testing::Values(CorruptedRowCase{"Host", hostRow(), decodeHostOrReject},
                                         CorruptedRowCase{
                                                 "Versions",
                                                 encodeVersionRow(ServiceId("s"),
                                                                  {{SoftwareVersion("v")}, false}),
                                                 [](const StoreRow &row) {
                                                     decodeVersionRow(row);
                                                 }},
                                         CorruptedRowCase{"Quarantine", quarantineRow(),
                                                          decodeQuarantineWithinBounds}),
                         [](const auto &row) { return row.param.name; });

} // namespace
