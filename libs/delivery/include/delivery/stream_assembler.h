#pragma once

#include <cstdint>
#include <string_view>

#include <delivery/sse_parser.h>

namespace trefoil {

/// What the caller of take() must do with an event.
enum class stream_step {
    /// Pass it to the client.
    Deliver,
    /// Drop it: the client already has this token.
    Repeated,
    /// End the attempt: a token before it is missing or its id is malformed.
    Gap,
    /// Drop it: it belongs to an earlier attempt or follows the end marker.
    Stale,
    /// Pass it to the client and finish: it is the end marker of a complete stream.
    Complete,
    /// Treat the answer as empty: the end marker arrived before any token.
    Empty
};

/// Joins the events of several attempts into one stream, in order, without lost or repeated tokens.
/// An engine numbers its token events from 0 in the id field and continues the numbering when it
/// resumes; events without an id are numbered by counting. Not thread-safe.
///
///     stream_assembler stream;
///     std::uint64_t attempt = stream.begin();         // send with resume position stream.next()
///     switch (stream.take(attempt, event)) { ... }
///     attempt = stream.begin();                       // interrupted: resume on another server
class stream_assembler
{
public:
    /// Starts an attempt and returns its identifier. Events of earlier attempts are stale.
    std::uint64_t begin();
    /// Returns what to do with an event of @p attempt, and advances the stream.
    stream_step take(std::uint64_t attempt, const sse_event &event);

    /// Returns the number of the next token that the client needs, at which an attempt resumes.
    std::uint64_t next() const { return m_next; }
    /// Returns whether take() has returned Complete.
    bool isComplete() const { return m_complete; }

private:
    std::uint64_t m_attempt = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_nextUnnumbered = 0;
    bool m_complete = false;
};

/// Data of the event that ends a stream.
inline constexpr std::string_view streamEnd = "[DONE]";

} // namespace trefoil
