#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// A versioned fact disseminated to the fleet. Of two rumors with the same topic and key, the one
/// with the higher version wins, so that a fact never reverts to an older version.
struct rumor
{
    std::string topic;
    std::string key;
    std::uint64_t version = 0;
    std::string payload;

    bool operator==(const rumor &) const = default;
};

/// Number of buckets whose hashes two instances compare to find rumors that differ.
constexpr std::size_t rumorBuckets = 32;
using bucket_hashes = std::array<std::uint64_t, rumorBuckets>;

/// Stores every rumor that an instance knows and how often it sent each. Not thread-safe.
class rumor_store
{
public:
    /// Stores @p item if it is unknown or newer than the stored version. Returns whether it was
    /// stored.
    bool merge(const rumor &item);
    /// Removes a rumor, for example of a member that died long ago. Does nothing if it is unknown.
    void erase(std::string_view topic, std::string_view key);
    /// Returns the rumor, or nullptr if it is unknown. The pointer is valid until the next change.
    const rumor *find(std::string_view topic, std::string_view key) const;
    /// Returns all rumors of @p topic, sorted by key.
    std::vector<rumor> all(std::string_view topic) const;
    /// Returns the number of rumors.
    std::size_t size() const { return m_entries.size(); }

    /// Returns rumors to send, least sent first, up to @p maxBytes in all, and counts them as sent.
    /// Each rumor is returned at most @p maxSends times in total.
    std::vector<rumor> pick(std::size_t maxBytes, int maxSends);
    /// Returns rumors to send like pick(), but does not count them. Used for answers, because their
    /// receivers often know the rumors already.
    std::vector<rumor> peek(std::size_t maxBytes) const;

    /// Returns whether any rumor still to be sent was sent fewer than @p sends times.
    bool hasRumorSentLessThan(int sends) const;

    /// Returns the hash of each bucket: of its rumors' topics, keys and versions.
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
    /// Keys of the entries that may still be sent, by number of sends, so that pick() need not scan
    /// all entries. May hold outdated keys.
    std::map<int, std::vector<entry_key>> m_pending;
    bucket_hashes m_hashes {};
};

} // namespace trefoil
