#include <core/digest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace trefoil {

digest128 digestOf(std::string_view bytes, digest128 seed)
{
    // XXH3 takes a 64-bit seed: the low half seeds the hash, and the high half is mixed into the
    // result, so that the digest depends on both halves of the seed.
    const XXH128_hash_t partial = XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed.low);
    const std::array<std::uint64_t, 3> mixed {partial.high64, partial.low64, seed.high};
    const XXH128_hash_t result = XXH3_128bits_withSeed(mixed.data(), sizeof(mixed), seed.low);
    return {.high = result.high64, .low = result.low64};
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string toHex(digest128 digest)
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(digest.high),
                  static_cast<unsigned long long>(digest.low));
    return std::string(text.data(), 32);
}

bool fromHex(std::string_view text, digest128 &digest)
{
    if (text.size() != 32)
        return false;
    digest128 parsed;
    const char *middle = text.data() + 16;
    const char *end = text.data() + 32;
    const std::from_chars_result high = std::from_chars(text.data(), middle, parsed.high, 16);
    const std::from_chars_result low = std::from_chars(middle, end, parsed.low, 16);
    if (high.ec != std::errc() || high.ptr != middle || low.ec != std::errc() || low.ptr != end)
        return false;
    digest = parsed;
    return true;
}

} // namespace trefoil
