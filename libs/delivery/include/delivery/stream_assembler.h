#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <delivery/sse_parser.h>

namespace trefoil {

/// What the caller of take() must do with an event.
enum class stream_step {
    /// Pass it to the client.
    Deliver,
    /// Drop it: the client already has this token, with the same data.
    Repeated,
    /// End the attempt: a token before it is missing, its id is malformed, its run is another one
    /// than that of the tokens which the client has, or it isn't known where the run continues.
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
/// resumes; events without an id are numbered by counting from the position that the engine states.
/// A run that begins before the client's position is joined only if its data is the same up to
/// there. Not thread-safe.
///
///     stream_assembler stream;
///     std::uint64_t attempt = stream.begin();         // send with resume position stream.next()
///     stream.setPosition(attempt, position);          // if the engine returns it
///     switch (stream.take(attempt, event)) { ... }
///     attempt = stream.begin();                       // interrupted: resume on another server
class stream_assembler
{
public:
    /// Starts an attempt and returns its identifier. Events of earlier attempts are stale.
    std::uint64_t begin();
    /// Records that the first event of @p attempt has number @p position. Needed for attempts after
    /// the first whose events have no ids. Precondition: no event of it was taken.
    void setPosition(std::uint64_t attempt, std::uint64_t position);
    /// Returns what to do with an event of @p attempt, and advances the stream.
    stream_step take(std::uint64_t attempt, const sse_event &event);

    /// Returns the number of the next token that the client needs, at which an attempt resumes.
    std::uint64_t next() const { return m_next; }
    /// Returns whether take() has returned Complete.
    bool isComplete() const { return m_complete; }

private:
    std::uint64_t m_attempt = 0;
    std::uint64_t m_next = 0;
    /// Number of the attempt's next new event, if known.
    std::optional<std::uint64_t> m_position;
    /// Hash of the data of each token that the client has.
    std::vector<std::uint64_t> m_delivered;
    bool m_complete = false;
};

/// Data of the event that ends a stream.
inline constexpr std::string_view streamEnd = "[DONE]";

} // namespace trefoil
