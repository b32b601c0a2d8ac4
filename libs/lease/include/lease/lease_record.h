#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Who holds a right, as the platform's object says.
struct lease_record
{
    /// Fencing number: rises with every change of the record.
    std::uint64_t epoch = 0;
    std::string owner;
    /// Instances that may take over, and whose confirmations the owner needs meanwhile.
    std::vector<std::string> successors;
    /// Whether the previous owner had stopped before it wrote this record, so that the new owner
    /// need not wait out what it promised that one.
    bool handedOver = false;

    bool operator==(const lease_record &) const = default;
};

/// Returns the text that the platform holds. Thread-safe.
std::string toText(const lease_record &record);

/// Reads what toText() wrote; nothing where it is malformed. Thread-safe.
std::optional<lease_record> leaseRecordFromText(std::string_view text);

} // namespace trefoil
