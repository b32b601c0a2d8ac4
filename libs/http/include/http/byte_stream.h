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
    /// New bytes were appended to the buffer.
    Bytes,
    /// The remote side closed its sending side without a reset.
    End,
    /// The connection was reset or failed.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The remote side of the watched connection closed or reset it.
    WatchedClosed
};

/// Error codes of byte_stream::connect(). With either, nothing was sent.
namespace connect_errors {
/// No process listens at the address.
inline constexpr const char *refused = "connection-refused";
inline constexpr const char *unreachable = "unreachable";
} // namespace connect_errors

/// TCP connection with a buffer of bytes that were received and not yet consumed. Every wait has a
/// deadline. Not thread-safe.
class byte_stream
{
public:
    /// Takes over a connected socket.
    explicit byte_stream(const Poco::Net::StreamSocket &socket);

    /// Connects to @p address. Errors: those of connect_errors.
    static result<byte_stream> connect(const endpoint &address, duration timeout);

    /// Waits until @p deadline for bytes and appends them to buffer(). With @p watched, the wait
    /// also ends when the remote side of that connection closes or resets it.
    read_outcome readMore(timestamp deadline, const byte_stream *watched = nullptr);
    /// Writes all of @p bytes before @p deadline. Bytes received in the meantime are appended to
    /// buffer(), because a remote side that writes too would deadlock with this one if neither
    /// read; once many are unread and the remote side doesn't read, the write fails. With @p
    /// watched, which may be this connection, a write that has to wait also fails when the remote
    /// side of that connection closes or resets it. Returns false on failure.
    bool write(std::string_view bytes, timestamp deadline, const byte_stream *watched = nullptr);
    /// Returns whether the remote side has closed or reset the connection. Consumes no bytes.
    bool isClosedByRemote() const;
    /// Returns whether the connection is open and has nothing to read. A pooled connection with
    /// something to read was closed or carries bytes that belong to no request.
    bool isIdle() const;
    /// Resets the connection, so that the remote side can't mistake a partial message for a
    /// complete one.
    void abort();
    /// Shuts down the sending side; the remote side reads the end of the stream.
    void close();
    /// From now on the connection is reset, as by abort(), unless close() ends it: also when this
    /// object is destroyed or the process is killed.
    void resetUnlessClosed();

    /// Returns the socket's descriptor, which this object owns.
    int descriptor() const { return m_socket.impl()->sockfd(); }
    /// Returns the bytes received and not yet consumed; the caller erases what it consumes.
    std::string &buffer() { return m_buffer; }

private:
    /// Sets whether closing the socket resets the connection.
    void setResetsOnClose(bool resets);
    /// Reads without waiting. Returns TimedOut if there is nothing to read.
    read_outcome receive();

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
    /// Whether the remote side was seen to reset the connection.
    bool m_wasReset = false;
    bool m_isResetUnlessClosed = false;
};

} // namespace trefoil
