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

/// Bytes received at once: more than a usual message, less than a thread's stack.
constexpr std::size_t receiveBytes = 16 * 1024;

int millisecondsUntil(timestamp deadline)
{
    constexpr std::int64_t longest = 3'600'000;
    const std::int64_t left =
        toMilliseconds(deadline - boot_clock::now() + std::chrono::microseconds(999));
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, longest));
}

bool hasClosed(const pollfd &each) { return (each.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0; }

} // namespace

byte_stream::byte_stream(const Poco::Net::StreamSocket &socket) : m_socket(socket)
{
    m_socket.setNoDelay(true);
    m_socket.setBlocking(false);
}

result<byte_stream> byte_stream::connect(const endpoint &place, duration timeout)
{
    const std::string name = place.host + ":" + std::to_string(place.port);
    try {
        Poco::Net::StreamSocket socket;
        const Poco::Timespan patience(
            std::chrono::duration_cast<std::chrono::microseconds>(timeout).count());
        socket.connect(Poco::Net::SocketAddress(place.host, place.port), patience);
        return byte_stream(socket);
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return failure(connect_errors::refused, name + " refused the connection");
    } catch (const Poco::Exception &exception) {
        return failure(connect_errors::unreachable, name + ": " + exception.displayText());
    }
}

read_outcome byte_stream::receive()
{
    std::array<char, receiveBytes> room {};
    const ssize_t size = ::recv(m_socket.impl()->sockfd(), room.data(), room.size(), 0);
    if (size > 0) {
        m_buffer.append(room.data(), static_cast<std::size_t>(size));
        return read_outcome::Bytes;
    }
    if (size == 0)
        return read_outcome::End;
    return errno == EAGAIN || errno == EINTR ? read_outcome::TimedOut : read_outcome::Broken;
}

read_outcome byte_stream::readMore(timestamp deadline, const byte_stream *watched)
{
    std::array<pollfd, 2> waits {};
    waits[0] = {.fd = m_socket.impl()->sockfd(), .events = POLLIN, .revents = 0};
    waits[1] = {.fd = watched != nullptr ? watched->m_socket.impl()->sockfd() : -1,
                .events = POLLRDHUP,
                .revents = 0};
    while (true) {
        const int ready = ::poll(waits.data(), waits.size(), millisecondsUntil(deadline));
        if (ready < 0 && errno != EINTR)
            return read_outcome::Broken;
        if (ready > 0 && waits[0].revents != 0) {
            const read_outcome outcome = receive();
            if (outcome != read_outcome::TimedOut)
                return outcome;
        }
        if (ready > 0 && hasClosed(waits[1]))
            return read_outcome::WatchedLeft;
        if (boot_clock::now() >= deadline)
            return read_outcome::TimedOut;
    }
}

bool byte_stream::write(std::string_view bytes, timestamp deadline)
{
    bool hasEnded = false;
    while (!bytes.empty()) {
        const ssize_t size =
            ::send(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(size));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return false;
        const short interest = static_cast<short>(hasEnded ? POLLOUT : POLLOUT | POLLIN);
        pollfd wait {.fd = m_socket.impl()->sockfd(), .events = interest, .revents = 0};
        if (::poll(&wait, 1, millisecondsUntil(deadline)) <= 0 && boot_clock::now() >= deadline)
            return false;
        if ((wait.revents & POLLIN) != 0)
            hasEnded = receive() != read_outcome::Bytes;
    }
    return true;
}

bool byte_stream::hasLeft() const
{
    pollfd wait {.fd = m_socket.impl()->sockfd(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&wait, 1, 0) > 0 && hasClosed(wait);
}

bool byte_stream::isQuiet() const
{
    pollfd wait {.fd = m_socket.impl()->sockfd(), .events = POLLIN | POLLRDHUP, .revents = 0};
    return m_buffer.empty() && ::poll(&wait, 1, 0) == 0;
}

void byte_stream::abort()
{
    try {
        m_socket.setLinger(true, 0);
        m_socket.close();
    } catch (const Poco::Exception &) {
        // The socket is gone already, which is what was wanted.
    }
}

void byte_stream::close()
{
    try {
        m_socket.shutdownSend();
    } catch (const Poco::Exception &) {
        // The other side closed first.
    }
}

} // namespace trefoil
