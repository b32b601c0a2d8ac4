#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <http/chunked.h>
#include <http/message.h>
#include <http/sse_framer.h>

namespace trefoil {

/// Whether the body of an answer is whole.
enum class body_state {
    /// More bytes are expected.
    Incomplete,
    Whole,
    /// The answer ended early, has malformed framing or is longer than allowed.
    BrokenOff
};

/// Options of an response_body.
struct response_body_options
{
    body_framing framing;
    /// Whether the body is a stream of events, whose complete events are passed on as they arrive.
    /// Any other body is passed on only as a whole.
    bool isEventStream = false;
    /// Limit on the bytes that are held: a whole plain body, or one event and one chunk of a
    /// stream.
    std::size_t maxHeldBytes = 0;
    /// Name of a field that each answer of the server holds, by which a further answer inside a
    /// body is recognised; "" if further answers aren't looked for.
    std::string_view answerField;
    /// If set, the body is not used: its bytes are discarded as they are decoded, and more than
    /// these break it off.
    std::optional<std::uint64_t> maxDiscardedBytes;
};

/// Body of one server's answer, decoded incrementally: the only place that decides whether an
/// answer is whole. It belongs to one attempt at a server, so nothing of an incomplete answer is
/// left for the next attempt. A stream is whole only if its framing has ended between two events,
/// and a stream without framing only if it also had an event.
///
/// A body that ends with its connection is broken off by the head of a further answer: a status
/// line, anywhere, and well-formed fields with the one that each answer holds. Where the body would
/// have ended isn't known then, so it isn't taken for whole, and nothing from the status line on is
/// passed on, nor the event that it stands in. What may become such a head is held until it is
/// decided. At the connection's end it breaks the body off if it goes beyond the version in the
/// status line, and its reason phrase consists of words; less is taken for the body's own. A body
/// that quotes a whole answer, its lines ended with CR LF, or that ends with a status line is
/// broken off in vain; JSON and the data of events aren't.
///
/// A further answer may also fill a body that was cut up to its length. A stream with a length is
/// broken off by its head as one without is. A plain body is broken off if such a head begins
/// inside it and bytes follow the body: without them the length proves that the body is whole.
/// Bytes that aren't there yet when the body ends are missed. Not thread-safe.
class response_body
{
public:
    explicit response_body(const response_body_options &options);

    /// Decodes @p input, erases the decoded bytes and returns the events that may be passed on.
    /// They are events of complete chunks: until its end has arrived, a chunk may be cut and
    /// followed by bytes that don't belong to it. After Whole, the rest of @p input is not part of
    /// the answer. Returns "" for bodies that are no stream.
    std::string feed(std::string &input);
    /// Records that no further bytes will come. @p isOrderly tells that the server closed its side,
    /// without a reset or a timeout.
    void end(bool isOrderly);

    body_state state() const { return m_state; }
    /// Returns whether the body is broken off by a further answer.
    bool hasFurtherAnswer() const { return m_hasFurtherAnswer; }
    /// Returns the bytes of a plain body that have arrived.
    std::string &plainBody() { return m_plain; }
    /// Returns the number of bytes held at present.
    std::size_t heldBytes() const;
    /// Returns the number of bytes that were discarded.
    std::uint64_t discardedBytes() const { return m_discardedBytes; }

private:
    /// Appends the body's bytes in @p input to m_undecided and returns whether the framing ended.
    bool decode(std::string &input);
    /// Returns how many of the first bytes in m_undecided belong to the body for certain.
    std::size_t certainBytes();
    /// Moves the first @p size bytes of m_undecided to the body and returns the events among them.
    std::string take(std::size_t size);
    /// Returns whether a plain body with a length was filled by a further answer, the rest of which
    /// is @p behind it.
    bool isFilledByAnswer(std::string_view behind) const;
    void discard();
    void breakOffByAnswer();
    void finish();

    response_body_options m_options;
    body_state m_state = body_state::Incomplete;
    chunked_decoder m_chunks;
    std::uint64_t m_bodyBytes = 0;
    /// Bytes of a chunk that has not ended, or of what may be the head of a further answer.
    std::string m_undecided;
    bool m_hasFurtherAnswer = false;
    std::uint64_t m_discardedBytes = 0;
    sse_framer m_events;
    bool m_hasEvents = false;
    std::string m_plain;
};

} // namespace trefoil
