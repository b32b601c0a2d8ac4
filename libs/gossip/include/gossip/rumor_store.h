#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// A fact that spreads through the fleet. Of two rumors with the same topic and key the one with
/// the higher version wins, so that a fact never goes back.
struct rumor
{
    std::string topic;
    std::string key;
    std::uint64_t version = 0;
    std::string payload;

    bool operator==(const rumor &) const = default;
};

/// Hashes of a store's buckets, compared to find what two instances know differently.
constexpr std::size_t rumorBuckets = 32;
using bucket_hashes = std::array<std::uint64_t, rumorBuckets>;

/// Every rumor that an instance knows, and how often it has passed each on. Not thread-safe.
class rumor_store
{
public:
    /// Takes @p item if it is newer than what is known. Returns whether it was.
    bool merge(const rumor &item);
    /// Forgets a rumor, for example of a member long dead. Does nothing where it is unknown.
    void erase(std::string_view topic, std::string_view key);
    /// Returns the rumor or null. The pointer is valid until the next change.
    const rumor *find(std::string_view topic, std::string_view key) const;
    /// Returns all rumors of @p topic in the order of their keys.
    std::vector<rumor> all(std::string_view topic) const;
    /// Returns the number of rumors.
    std::size_t size() const { return m_entries.size(); }

    /// Returns up to @p maxBytes of the rumors passed on the fewest times, each at most
    /// @p maxSends times in all, and counts them as passed on.
    std::vector<rumor> pick(std::size_t maxBytes, int maxSends);
    /// Returns what pick() would, without counting: for answers, whose receivers often know it all.
    std::vector<rumor> peek(std::size_t maxBytes) const;

    /// Returns whether a rumor was passed on fewer than @p sends times.
    bool hasSentLessThan(int sends) const;

    /// Returns a hash of each bucket's topics, keys and versions.
    bucket_hashes hashes() const { return m_hashes; }
    /// Returns the rumors of bucket @p index. Precondition: index < rumorBuckets.
    std::vector<rumor> bucket(std::size_t index) const;

private:
    struct entry
    {
        rumor item;
        int sends = 0;
        std::size_t bucket = 0;
    };
    using entry_key = std::pair<std::string, std::string>;

    static std::uint64_t hashOf(const rumor &item);

    std::map<entry_key, entry> m_entries;
    /// Entries that may still be passed on, by number of sends: pick() looks at no others.
    std::map<int, std::vector<entry_key>> m_pending;
    bucket_hashes m_hashes {};
};

} // namespace trefoil
