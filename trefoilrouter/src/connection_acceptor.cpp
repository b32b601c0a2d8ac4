#include "connection_acceptor.h"

#include <memory>
#include <stop_token>

#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <fcntl.h>
#include <poll.h>
#include <telemetry/event_log.h>
#include <unistd.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr int backlog = 512;
constexpr int threadStackBytes = 256 * 1024;
/// Seconds after which a thread without a connection may end.
constexpr int threadIdleSeconds = 5;
/// Pause before a full address is tried again.
constexpr int fullPauseMs = 20;
/// Time for a client to send its request.
constexpr duration requestTimeout = std::chrono::seconds(20);

/// A pipe whose read end becomes readable when a stop is requested.
class stop_pipe
{
public:
    explicit stop_pipe(const std::stop_token &stop)
        : m_isOpen(::pipe2(m_ends.data(), O_CLOEXEC | O_NONBLOCK) == 0),
          m_callback(stop, std::function<void()>([this] { signal(); }))
    { }
    stop_pipe(const stop_pipe &) = delete;
    stop_pipe &operator=(const stop_pipe &) = delete;
    ~stop_pipe()
    {
        for (const int end : m_ends) {
            if (end >= 0)
                ::close(end);
        }
    }

    bool isOpen() const { return m_isOpen; }
    int readEnd() const { return m_ends[0]; }

private:
    void signal()
    {
        const char byte = 0;
        // A full pipe is readable already.
        [[maybe_unused]] const ssize_t written = ::write(m_ends[1], &byte, 1);
    }

    std::array<int, 2> m_ends {-1, -1};
    bool m_isOpen;
    std::stop_callback<std::function<void()>> m_callback;
};

/// Serves one connection on a thread of a pool and deletes itself.
class connection_task : public Poco::Runnable
{
public:
    connection_task(const accepted_address &address, Poco::Net::StreamSocket socket)
        : m_address(address), m_socket(std::move(socket))
    { }

    void run() override
    {
        const std::unique_ptr<connection_task> self(this);
        try {
            m_address.serve(m_socket);
        } catch (const Poco::Exception &problem) {
            logFailure(problem.displayText());
        } catch (const std::exception &problem) {
            logFailure(problem.what());
        }
    }

private:
    static void logFailure(const std::string &reason)
    {
        writeEvent(event_line("proxy", "session_failed").add("reason", reason));
    }

    const accepted_address &m_address;
    Poco::Net::StreamSocket m_socket;
};

/// A listening socket and the threads that serve its connections.
class listener
{
public:
    explicit listener(const accepted_address &address)
        : m_address(address), m_socket(listenOn(address.address, backlog)),
          m_threads(1, address.maxConnections, threadIdleSeconds, threadStackBytes)
    {
        m_socket.setBlocking(false);
    }

    int descriptor() const { return m_socket.impl()->sockfd(); }
    bool isFull() { return m_threads.available() <= 0; }

    /// Accepts the connections that wait, up to the maximum.
    void accept()
    {
        while (!isFull()) {
            try {
                Poco::Net::StreamSocket accepted = m_socket.acceptConnection();
                accepted.setBlocking(true);
                m_threads.start(*std::make_unique<connection_task>(m_address, accepted).release());
            } catch (const Poco::TimeoutException &) {
                return;
            } catch (const Poco::Exception &problem) {
                const bool isEmpty = problem.code() == EAGAIN || problem.code() == EWOULDBLOCK;
                if (!isEmpty)
                    writeEvent(event_line("proxy", "accept_failed")
                                   .add("address", toString(m_address.address))
                                   .add("reason", problem.displayText()));
                return;
            }
        }
    }

private:
    const accepted_address &m_address;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
};

result<void> acceptUntilStopped(const std::vector<accepted_address> &addresses,
                                const std::stop_token &stop)
{
    const stop_pipe stopPipe(stop);
    if (!stopPipe.isOpen())
        return failure("listen", "can't create a pipe");
    std::vector<std::unique_ptr<listener>> listeners;
    for (const accepted_address &address : addresses) {
        try {
            listeners.push_back(std::make_unique<listener>(address));
        } catch (const Poco::Exception &problem) {
            return failure("listen",
                           "can't listen on " + toString(address.address) + ": "
                               + problem.displayText());
        }
    }
    while (!stop.stop_requested()) {
        std::vector<pollfd> polled {{.fd = stopPipe.readEnd(), .events = POLLIN, .revents = 0}};
        bool isAnyFull = false;
        for (const std::unique_ptr<listener> &each : listeners) {
            const bool isFull = each->isFull();
            isAnyFull = isAnyFull || isFull;
            polled.push_back(
                {.fd = isFull ? -1 : each->descriptor(), .events = POLLIN, .revents = 0});
        }
        if (::poll(polled.data(), polled.size(), isAnyFull ? fullPauseMs : -1) < 0
            && errno != EINTR)
            return failure("listen", "can't wait for connections");
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            if (polled[i + 1].revents != 0)
                listeners[i]->accept();
        }
    }
    return {};
}

} // namespace

child_spec connectionAcceptor(std::string name, std::vector<accepted_address> addresses)
{
    return {.name = std::move(name),
            .body = [addresses = std::move(addresses)](const std::stop_token &stop) {
                return acceptUntilStopped(addresses, stop);
            }};
}

std::function<void(const Poco::Net::StreamSocket &socket)>
serveHttpWith(Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> factory)
{
    return [factory = std::move(factory)](const Poco::Net::StreamSocket &socket) {
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setTimeout(toTimespan(requestTimeout));
        params->setKeepAlive(false);
        Poco::Net::HTTPServerConnection(socket, params, factory).run();
    };
}

} // namespace trefoil
