#pragma once

#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>
#include <configuration/settings.h>
#include <core/clock.h>
#include <core/error.h>

namespace trefoil {

/// Outcome of a wait for bytes.
enum class read_outcome {
    /// New bytes stand at the end of the buffer.
    Bytes,
    /// The other side ended its stream in order.
    End,
    /// The connection was reset or failed.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The watched connection was closed by its other side.
    WatchedLeft
};

/// Error codes of byte_stream::connect(): nothing was sent.
namespace connect_errors {
/// No process listens there.
inline constexpr const char *refused = "connection-refused";
inline constexpr const char *unreachable = "unreachable";
} // namespace connect_errors

/// TCP connection with a buffer of bytes that were received and not yet used. Every wait has a
/// deadline. Not thread-safe.
class byte_stream
{
public:
    /// Takes over a connected socket.
    explicit byte_stream(const Poco::Net::StreamSocket &socket);

    /// Connects to @p place. Errors: those of connect_errors.
    static result<byte_stream> connect(const endpoint &place, duration timeout);

    /// Waits until @p deadline for bytes and appends them to buffer(). With @p watched, the wait
    /// also ends when the other side of that connection leaves.
    read_outcome readMore(timestamp deadline, const byte_stream *watched = nullptr);
    /// Writes all of @p bytes before @p deadline. Bytes that come meanwhile are kept in buffer(),
    /// so that neither side waits for the other. Returns false on failure.
    bool write(std::string_view bytes, timestamp deadline);
    /// Returns whether the other side has closed or reset the connection. Takes no bytes.
    bool hasLeft() const;
    /// Returns whether nothing was received since the last message: an idle connection that has
    /// something to read was closed or carries bytes of no request.
    bool isQuiet() const;
    /// Closes without an orderly end, so that the other side can't take what it got for whole.
    void abort();
    /// Ends the sending side in order.
    void close();

    /// Returns bytes received and not yet used; the caller erases what it takes.
    std::string &buffer() { return m_buffer; }

private:
    read_outcome receive();

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
};

} // namespace trefoil
