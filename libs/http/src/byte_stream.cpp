#include <http/byte_stream.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <poll.h>
#include <sys/socket.h>

namespace trefoil {

namespace {

/// Bytes read by one receive call: larger than a usual message, small enough for a thread's stack.
constexpr std::size_t receiveBytes = 16 * 1024;
/// Limit on unread bytes while writing, and how long a write may then make no progress: the remote
/// side sends without reading.
constexpr std::size_t maxUnreadBytes = 32 * 1024;
constexpr duration maxWriteStall = std::chrono::milliseconds(500);

int millisecondsUntil(timestamp deadline)
{
    constexpr std::int64_t maxMilliseconds = 3'600'000;
    const std::int64_t remaining =
        toMilliseconds(deadline - boot_clock::now() + std::chrono::microseconds(999));
    return static_cast<int>(std::clamp<std::int64_t>(remaining, 0, maxMilliseconds));
}

bool isHangUp(const pollfd &entry)
{
    return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

byte_stream::byte_stream(const Poco::Net::StreamSocket &socket) : m_socket(socket)
{
    m_socket.setNoDelay(true);
    m_socket.setBlocking(false);
}

result<byte_stream> byte_stream::connect(const endpoint &address, duration timeout)
{
    const std::string name = address.host + ":" + std::to_string(address.port);
    try {
        Poco::Net::StreamSocket socket;
        const Poco::Timespan pocoTimeout(
            std::chrono::duration_cast<std::chrono::microseconds>(timeout).count());
        socket.connect(Poco::Net::SocketAddress(address.host, address.port), pocoTimeout);
        return byte_stream(socket);
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return failure(connect_errors::refused, name + " refused the connection");
    } catch (const Poco::Exception &exception) {
        return failure(connect_errors::unreachable, name + ": " + exception.displayText());
    }
}

read_outcome byte_stream::receive()
{
    std::array<char, receiveBytes> received {};
    const ssize_t size = ::recv(m_socket.impl()->sockfd(), received.data(), received.size(), 0);
    if (size > 0) {
        m_buffer.append(received.data(), static_cast<std::size_t>(size));
        return read_outcome::Bytes;
    }
    if (size == 0)
        return m_wasReset ? read_outcome::Broken : read_outcome::End;
    if (errno == EAGAIN || errno == EINTR)
        return read_outcome::TimedOut;
    m_wasReset = true;
    return read_outcome::Broken;
}

read_outcome byte_stream::readMore(timestamp deadline, const byte_stream *watched)
{
    std::array<pollfd, 2> polled {};
    polled[0] = {.fd = m_socket.impl()->sockfd(), .events = POLLIN, .revents = 0};
    polled[1] = {.fd = watched != nullptr ? watched->m_socket.impl()->sockfd() : -1,
                 .events = POLLRDHUP,
                 .revents = 0};
    while (true) {
        const int ready = ::poll(polled.data(), polled.size(), millisecondsUntil(deadline));
        if (ready < 0 && errno != EINTR)
            return read_outcome::Broken;
        if (ready > 0 && polled[0].revents != 0) {
            const read_outcome outcome = receive();
            if (outcome != read_outcome::TimedOut)
                return outcome;
        }
        if (ready > 0 && isHangUp(polled[1]))
            return read_outcome::WatchedClosed;
        if (boot_clock::now() >= deadline)
            return read_outcome::TimedOut;
    }
}

bool byte_stream::write(std::string_view bytes, timestamp deadline, const byte_stream *watched)
{
    bool isReadEnded = false;
    timestamp progressAt = boot_clock::now();
    while (!bytes.empty()) {
        const ssize_t size =
            ::send(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(size));
            progressAt = boot_clock::now();
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            // The kernel reports a reset once; later reads would see an orderly end.
            m_wasReset = m_wasReset || errno == ECONNRESET;
            return false;
        }
        const bool isFull = m_buffer.size() >= maxUnreadBytes;
        const timestamp end = isFull ? std::min(deadline, progressAt + maxWriteStall) : deadline;
        const short events = static_cast<short>(isReadEnded || isFull ? POLLOUT : POLLOUT | POLLIN);
        std::array<pollfd, 2> polled {};
        polled[0] = {.fd = m_socket.impl()->sockfd(), .events = events, .revents = 0};
        polled[1] = {.fd = watched != nullptr ? watched->m_socket.impl()->sockfd() : -1,
                     .events = POLLRDHUP,
                     .revents = 0};
        const int ready = ::poll(polled.data(), polled.size(), millisecondsUntil(end));
        if (ready <= 0 && boot_clock::now() >= end)
            return false;
        if (ready > 0 && isHangUp(polled[1]))
            return false;
        if ((polled[0].revents & POLLIN) != 0) {
            const read_outcome outcome = receive();
            isReadEnded = outcome == read_outcome::End || outcome == read_outcome::Broken;
        }
    }
    return true;
}

bool byte_stream::isClosedByRemote() const
{
    pollfd wait {.fd = m_socket.impl()->sockfd(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&wait, 1, 0) > 0 && isHangUp(wait);
}

bool byte_stream::isIdle() const
{
    pollfd wait {.fd = m_socket.impl()->sockfd(), .events = POLLIN | POLLRDHUP, .revents = 0};
    return m_buffer.empty() && ::poll(&wait, 1, 0) == 0;
}

void byte_stream::setResetsOnClose(bool resets)
{
    try {
        m_socket.setLinger(resets, 0);
    } catch (const Poco::Exception &) {
        // The socket is closed already.
    }
}

void byte_stream::resetUnlessClosed()
{
    m_isResetUnlessClosed = true;
    setResetsOnClose(true);
}

void byte_stream::abort()
{
    setResetsOnClose(true);
    try {
        m_socket.close();
    } catch (const Poco::Exception &) {
        // The socket is closed already.
    }
}

void byte_stream::close()
{
    if (m_isResetUnlessClosed)
        setResetsOnClose(false);
    try {
        m_socket.shutdownSend();
    } catch (const Poco::Exception &) {
        // The remote side closed the connection first.
    }
}

} // namespace trefoil
