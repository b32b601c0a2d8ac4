#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Owner and successors of a lease, as stored in the platform.
struct lease_record
{
    /// Fencing token, which increases with every change of the record.
    std::uint64_t epoch = 0;
    std::string owner;
    /// Instances that may take over. The owner needs confirmations from all of them.
    std::vector<std::string> successors;
    /// Whether the previous owner stopped using the lease before it wrote this record. The new
    /// owner then need not wait until its promise to the previous owner expires.
    bool handedOver = false;

    bool operator==(const lease_record &) const = default;
};

/// Returns the JSON text that is stored in the platform. Thread-safe.
std::string toText(const lease_record &record);

/// Parses the output of toText(). Returns nothing if the text is malformed. Thread-safe.
std::optional<lease_record> leaseRecordFromText(std::string_view text);

} // namespace trefoil
