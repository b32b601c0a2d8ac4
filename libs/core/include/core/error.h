#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace trefoil {

/// Error with a fixed machine-readable code and a message that names what caused it.
struct error
{
    /// Short identifier in kebab case, for example "unknown-team".
    std::string code;
    /// Human-readable description.
    std::string message;
};

/// Result of an operation that can fail with an error.
template <typename Value>
using result = tl::expected<Value, error>;

/// Returns a failed result. Thread-safe.
inline tl::unexpected<error> failure(std::string code, std::string message)
{
    return tl::unexpected<error>(error {.code = std::move(code), .message = std::move(message)});
}

} // namespace trefoil
