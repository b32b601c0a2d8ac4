#pragma once

#include <cstdint>
#include <string_view>

#include <delivery/event_parser.h>

namespace trefoil {

/// What to do with an event of an attempt.
enum class stream_step {
    /// Pass it to the caller.
    Deliver,
    /// It repeats what the caller has: drop it.
    Repeated,
    /// Something before it is missing: the attempt is not to be trusted any further.
    Gap,
    /// It belongs to an attempt that is no longer the current one: drop it.
    Stale,
    /// The end marker of a complete stream: pass it on and finish.
    Complete,
    /// The end marker came although no token did: an empty answer.
    Empty
};

/// Joins the events of several attempts into one stream, in order, without a lost or repeated
/// token. An engine numbers its token events with the id field, from 0, also when it resumes;
/// events without id are counted. Not thread-safe.
///
///     stream_assembler stream;
///     std::uint64_t attempt = stream.begin();         // send with resume position stream.next()
///     switch (stream.take(attempt, event)) { ... }
///     attempt = stream.begin();                       // after a cut: another server goes on
class stream_assembler
{
public:
    /// Starts an attempt and returns its identifier. Events of earlier attempts are stale.
    std::uint64_t begin();
    /// Decides on an event of @p attempt.
    stream_step take(std::uint64_t attempt, const server_event &event);

    /// Returns the number of the token that the caller needs next: where a resume starts.
    std::uint64_t next() const { return m_next; }
    /// Returns whether the end marker was passed on.
    bool isComplete() const { return m_complete; }

private:
    std::uint64_t m_attempt = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_unnumbered = 0;
    bool m_complete = false;
};

/// Data of the event that ends a stream.
inline constexpr std::string_view streamEnd = "[DONE]";

} // namespace trefoil
