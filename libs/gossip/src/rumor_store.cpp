#include <gossip/rumor_store.h>

#include <algorithm>
#include <cassert>

#include <core/digest.h>

namespace trefoil {

namespace {

/// Estimated bytes of quotes, field names, version and punctuation of a rumor in JSON.
constexpr std::size_t encodingOverhead = 24;

std::size_t encodedSize(const rumor &item)
{
    return item.topic.size() + item.key.size() + item.payload.size() + encodingOverhead;
}

std::size_t bucketOf(std::string_view topic, std::string_view key)
{
    return hash64(key, hash64(topic)) % rumorBuckets;
}

} // namespace

std::uint64_t rumor_store::hashOf(const rumor &item)
{
    return hash64(item.key, hash64(item.topic, item.version));
}

bool rumor_store::merge(const rumor &item)
{
    const entry_key key {item.topic, item.key};
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        if (item.version <= found->second.item.version)
            return false;
        m_hashes[found->second.bucket] ^= hashOf(found->second.item);
        found->second.item = item;
        found->second.sends = 0;
        m_hashes[found->second.bucket] ^= hashOf(item);
    } else {
        const std::size_t bucket = bucketOf(item.topic, item.key);
        m_entries[key] = {.item = item, .sends = 0, .bucket = bucket};
        m_hashes[bucket] ^= hashOf(item);
    }
    m_pending[0].push_back(key);
    return true;
}

void rumor_store::erase(std::string_view topic, std::string_view key)
{
    const auto found = m_entries.find({std::string(topic), std::string(key)});
    if (found == m_entries.end())
        return;
    m_hashes[found->second.bucket] ^= hashOf(found->second.item);
    m_entries.erase(found);
}

const rumor *rumor_store::find(std::string_view topic, std::string_view key) const
{
    const auto found = m_entries.find({std::string(topic), std::string(key)});
    return found == m_entries.end() ? nullptr : &found->second.item;
}

std::vector<rumor> rumor_store::all(std::string_view topic) const
{
    std::vector<rumor> found;
    const entry_key first {std::string(topic), ""};
    for (auto it = m_entries.lower_bound(first); it != m_entries.end(); ++it) {
        if (it->first.first != topic)
            break;
        found.push_back(it->second.item);
    }
    return found;
}

std::vector<rumor> rumor_store::pick(std::size_t maxBytes, int maxSends)
{
    std::vector<rumor> picked;
    std::size_t bytes = 0;
    std::map<int, std::vector<entry_key>> stillPending;
    for (auto it = m_pending.begin(); it != m_pending.end(); ++it) {
        for (const entry_key &key : it->second) {
            const auto found = m_entries.find(key);
            // The entry was erased, or replaced and listed again under its new number of sends.
            if (found == m_entries.end() || found->second.sends != it->first)
                continue;
            const std::size_t size = encodedSize(found->second.item);
            if (bytes + size > maxBytes) {
                stillPending[it->first].push_back(key);
                continue;
            }
            bytes += size;
            picked.push_back(found->second.item);
            ++found->second.sends;
            if (found->second.sends < maxSends)
                stillPending[found->second.sends].push_back(key);
        }
    }
    m_pending = std::move(stillPending);
    return picked;
}

std::vector<rumor> rumor_store::peek(std::size_t maxBytes) const
{
    std::vector<rumor> picked;
    std::size_t bytes = 0;
    for (auto it = m_pending.begin(); it != m_pending.end(); ++it) {
        for (const entry_key &key : it->second) {
            const auto found = m_entries.find(key);
            if (found == m_entries.end() || found->second.sends != it->first)
                continue;
            bytes += encodedSize(found->second.item);
            if (bytes > maxBytes)
                return picked;
            picked.push_back(found->second.item);
        }
    }
    return picked;
}

bool rumor_store::hasRumorSentLessThan(int sends) const
{
    for (auto it = m_pending.begin(); it != m_pending.end() && it->first < sends; ++it) {
        if (!it->second.empty())
            return true;
    }
    return false;
}

std::vector<rumor> rumor_store::bucket(std::size_t index) const
{
    assert(index < rumorBuckets);
    std::vector<rumor> found;
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (it->second.bucket == index)
            found.push_back(it->second.item);
    }
    return found;
}

} // namespace trefoil
