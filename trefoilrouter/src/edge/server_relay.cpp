#include "edge/server_relay.h"

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <http/message.h>
#include <http/response_head_reader.h>
#include <poll.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Connect timeout of a relay for the server: less than the time for which its caller waits.
constexpr duration serverConnectTimeout = std::chrono::milliseconds(250);
constexpr duration answerTimeout = std::chrono::seconds(1);
/// Time to write what was read from the other side.
constexpr duration maxWriteTime = std::chrono::seconds(5);
/// A relayed connection without bytes for this time carries no request. The longest pause inside an
/// answer for which a caller waits is shorter.
constexpr duration quietTime = std::chrono::seconds(5);
/// Connections without bytes for this time are closed: servers close idle ones sooner.
constexpr duration maxIdleTime = std::chrono::seconds(60);
constexpr duration checkInterval = std::chrono::milliseconds(250);
constexpr std::size_t maxHeadBytes = 4 * 1024;

/// Counts a relayed connection as an open request while it carries one.
class open_request
{
public:
    explicit open_request(edge_state &state) : m_state(state) { }
    ~open_request() { set(false); }
    open_request(const open_request &) = delete;
    open_request &operator=(const open_request &) = delete;

    bool isSet() const { return m_isSet; }
    void set(bool isOpen)
    {
        if (std::exchange(m_isSet, isOpen) != isOpen)
            m_state.openRequests() += isOpen ? 1 : -1;
    }

private:
    edge_state &m_state;
    bool m_isSet = false;
};

/// Writes what was read from @p from to @p to. Returns false on failure, or if @p caller closes its
/// connection in the meantime.
bool forwardBytes(byte_stream &from, byte_stream &to, const byte_stream &caller)
{
    const std::string bytes = std::exchange(from.buffer(), {});
    return bytes.empty() || to.write(bytes, boot_clock::now() + maxWriteTime, &caller);
}

/// Passes on what the server still sends, until it ends or pauses. Returns as forwardBothWays().
read_outcome forwardRest(byte_stream &server, byte_stream &caller)
{
    while (forwardBytes(server, caller, caller)) {
        const read_outcome outcome = server.readMore(boot_clock::now() + answerTimeout, &caller);
        if (outcome != read_outcome::Bytes)
            return outcome == read_outcome::End ? outcome : read_outcome::Broken;
    }
    return read_outcome::Bytes;
}

/// Passes bytes on until either side ends. Returns how the server's side ended, or Bytes if the
/// caller's side ended first or the connection was closed here.
read_outcome forwardBothWays(edge_state &state, byte_stream &caller, byte_stream &server)
{
    open_request request(state);
    timestamp activeAt = boot_clock::now();
    while (true) {
        std::array<pollfd, 2> polled {
            {{.fd = caller.descriptor(), .events = POLLIN, .revents = 0},
             {.fd = server.descriptor(), .events = POLLIN, .revents = 0}}};
        ::poll(polled.data(), polled.size(), static_cast<int>(toMilliseconds(checkInterval)));
        const timestamp now = boot_clock::now();
        if (polled[0].revents != 0) {
            if (caller.readMore(now) != read_outcome::Bytes)
                return read_outcome::Bytes;
            request.set(true);
            activeAt = now;
        }
        read_outcome serverOutcome = read_outcome::Bytes;
        if (polled[1].revents != 0) {
            serverOutcome = server.readMore(now);
            activeAt = now;
        }
        // Bytes that were read while the other side was written to are in the buffers too.
        while (!caller.buffer().empty() || !server.buffer().empty()) {
            if (!forwardBytes(caller, server, caller)) {
                if (server.buffer().empty() || caller.isClosedByRemote())
                    return read_outcome::Broken;
                // The server has answered before it read the request. What is left of that can't
                // follow what was lost of it.
                return forwardRest(server, caller);
            }
            if (!forwardBytes(server, caller, caller))
                return read_outcome::Bytes;
        }
        if (serverOutcome == read_outcome::End || serverOutcome == read_outcome::Broken)
            return serverOutcome;
        if (now - activeAt >= quietTime)
            request.set(false);
        const bool isClosed = !request.isSet() && (state.isLeaving() || state.isClosing());
        if (isClosed || now - activeAt >= maxIdleTime)
            return read_outcome::Bytes;
    }
}

/// Connects to the server at @p target on behalf of another instance. Returns nothing, with the
/// status to answer in @p status, if that isn't possible.
std::optional<byte_stream> connectToServer(edge_state &state, std::string_view target, int &status)
{
    endpoint address;
    const bool isServer = parseEndpoint(std::string(target), address)
        && state.with([&address](const routing_state &routing) {
               return routing.balancer.isServerAddress(address);
           });
    status = HTTPResponse::HTTP_FORBIDDEN;
    if (!isServer)
        return std::nullopt;
    status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    if (state.isLeaving() || state.with([](const routing_state &routing) {
            return routing.balancer.reach().isCutOff();
        }))
        return std::nullopt;
    status = HTTPResponse::HTTP_BAD_GATEWAY;
    result<byte_stream> connected = byte_stream::connect(address, serverConnectTimeout);
    if (!connected)
        return std::nullopt;
    return std::move(*connected);
}

std::string answerHead(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " "
        + HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(status))
        + "\r\n\r\n";
}

} // namespace

result<byte_stream> connectThrough(const endpoint &relay, const endpoint &target, duration timeout)
{
    const timestamp deadline = boot_clock::now() + timeout;
    result<byte_stream> connected = byte_stream::connect(relay, timeout);
    if (!connected)
        return connected;
    const std::string name = toString(target);
    const auto unreachable = [&](const std::string &reason) {
        return failure(connect_errors::unreachable,
                       name + " through " + toString(relay) + ": " + reason);
    };
    if (!connected->write("GET " + std::string(relayPath) + "?" + relayServerParameter + "=" + name
                              + " HTTP/1.1\r\nHost: " + name + "\r\n\r\n",
                          deadline))
        return unreachable("the request was not written");
    response_head_reader heads(maxHeadBytes);
    while (true) {
        result<std::optional<response_head>> head = heads.feed(connected->buffer());
        if (!head)
            return unreachable(head.error().message);
        if (*head && (*head)->status != HTTPResponse::HTTP_OK)
            return unreachable("status " + std::to_string((*head)->status));
        if (*head)
            return connected;
        if (connected->readMore(deadline) != read_outcome::Bytes)
            return unreachable("no answer");
    }
}

void recordConnection(edge_state &state, timestamp startedAt, std::string_view server,
                      bool isConnected)
{
    const timestamp now = boot_clock::now();
    bool isCutOff = false;
    const bool hasChanged = state.with([&](routing_state &routing) {
        const bool isChanged =
            routing.balancer.recordConnection(now, startedAt, server, isConnected);
        isCutOff = routing.balancer.reach().isCutOff();
        routing.members.recordCutOff(state.settings().name, isCutOff);
        return isChanged;
    });
    if (!hasChanged)
        return;
    state.metrics().gaugeOf("trefoil_cut_off").set(isCutOff ? 1 : 0);
    writeEvent(event_line("servers", isCutOff ? "cut_off" : "cut_off_ended").add("server", server));
}

void relayConnection(edge_state &state, byte_stream caller, std::string_view target)
{
    static std::atomic<int> openConnections = 0;
    metric_registry &metrics = state.metrics();
    int status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    std::optional<byte_stream> server;
    const bool hasPlace = openConnections.fetch_add(1) < maxRelayedConnections;
    if (hasPlace)
        server = connectToServer(state, target, status);
    metrics
        .counterOf("trefoil_relayed_connections_total",
                   "status=\"" + std::to_string(server ? HTTPResponse::HTTP_OK : status) + "\"")
        .add();
    if (!server) {
        writeEvent(
            event_line("relay", "relay_refused").add("target", target).add("status", status));
        caller.write(answerHead(status), boot_clock::now() + answerTimeout);
        caller.close();
    } else if (caller.write(answerHead(HTTPResponse::HTTP_OK), boot_clock::now() + answerTimeout)) {
        // If this process is killed, an answer that ends with its connection must not look whole.
        caller.resetUnlessClosed();
        const read_outcome end = forwardBothWays(state, caller, *server);
        if (end == read_outcome::End)
            caller.close();
        else
            caller.abort();
        server->abort();
    }
    openConnections -= 1;
}

std::function<bool(const Poco::URI &, byte_stream &)> relayRequests(edge_state &state)
{
    return [&state](const Poco::URI &uri, byte_stream &caller) {
        if (uri.getPath() != relayPath)
            return false;
        relayConnection(state, std::move(caller), queryValue(uri, relayServerParameter));
        return true;
    };
}

} // namespace trefoil
