#include "http_util.h"

#include <algorithm>
#include <condition_variable>
#include <istream>
#include <mutex>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>

namespace trefoil {

namespace {

/// Maximum size of a response body, well above the largest object of the platform.
constexpr std::size_t maxResponseBytes = 16 << 20;

/// Maximum number of accepted connections that wait for a thread.
constexpr int maxQueuedConnections = 256;

/// How long an idle connection is kept open.
constexpr duration keepAliveTimeout = std::chrono::seconds(30);

} // namespace

Poco::Timespan toTimespan(duration time)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

result<http_response> sendHttpRequest(Poco::Net::HTTPClientSession &session,
                                      const http_request &request)
{
    bool sent = false;
    try {
        Poco::Net::HTTPRequest requestHead(request.method, request.path,
                                           Poco::Net::HTTPMessage::HTTP_1_1);
        requestHead.setKeepAlive(true);
        if (!request.body.empty() || request.method != "GET") {
            requestHead.setContentType(request.contentType);
            requestHead.setContentLength(static_cast<std::streamsize>(request.body.size()));
        }
        for (const std::pair<std::string, std::string> &header : request.headers)
            requestHead.set(header.first, header.second);
        std::ostream &out = session.sendRequest(requestHead);
        sent = true;
        out << request.body;
        out.flush();
        Poco::Net::HTTPResponse responseHead;
        std::istream &in = session.receiveResponse(responseHead);
        http_response response {
            .status = responseHead.getStatus(), .body = {}, .headers = responseHead};
        if (!readBody(in, maxResponseBytes, response.body))
            return failure(http_errors::broken, "the response is too long");
        const bool isTruncated = responseHead.hasContentLength()
            && response.body.size() != static_cast<std::size_t>(responseHead.getContentLength64());
        if (isTruncated)
            return failure(http_errors::broken, "the response was truncated");
        return response;
    } catch (const Poco::Net::ConnectionRefusedException &exception) {
        return failure(http_errors::refused, exception.displayText());
    } catch (const Poco::Exception &exception) {
        session.reset();
        return failure(sent ? http_errors::broken : http_errors::unreachable,
                       exception.displayText());
    }
}

result<http_response> sendHttpRequestOnNewConnection(const endpoint &address,
                                                     const http_request &request, duration timeout)
{
    Poco::Net::HTTPClientSession session(address.host, address.port);
    setTimeouts(session, timeout, timeout);
    return sendHttpRequest(session, request);
}

void setTimeouts(Poco::Net::HTTPClientSession &session, duration connect, duration transfer)
{
    const Poco::Timespan transferTimeout = toTimespan(transfer);
    session.setTimeout(toTimespan(connect), transferTimeout, transferTimeout);
    if (!session.connected())
        return;
    session.socket().setSendTimeout(transferTimeout);
    session.socket().setReceiveTimeout(transferTimeout);
}

bool isReusable(Poco::Net::HTTPClientSession &session)
{
    return session.connected()
        && !session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

std::size_t readAvailable(std::istream &input, std::span<char> buffer)
{
    const int first = input.get();
    if (first == std::char_traits<char>::eof())
        return 0;
    buffer[0] = static_cast<char>(first);
    const std::streamsize more =
        input.readsome(buffer.data() + 1, static_cast<std::streamsize>(buffer.size() - 1));
    return 1 + static_cast<std::size_t>(std::max<std::streamsize>(more, 0));
}

bool readBody(std::istream &input, std::size_t maxBytes, std::string &body)
{
    constexpr std::size_t chunkBytes = 16 << 10;
    while (input.good()) {
        const std::size_t before = body.size();
        if (before > maxBytes)
            return false;
        body.resize(before + chunkBytes);
        input.read(body.data() + before, static_cast<std::streamsize>(chunkBytes));
        body.resize(before + static_cast<std::size_t>(input.gcount()));
    }
    return body.size() <= maxBytes;
}

std::string encodeUri(std::string_view text)
{
    std::string encoded;
    Poco::URI::encode(std::string(text), "/?#&=+%:;,@!$'()*[]", encoded);
    return encoded;
}

std::string queryValue(const Poco::URI &uri, std::string_view name)
{
    for (const std::pair<std::string, std::string> &each : uri.getQueryParameters()) {
        if (each.first == name)
            return each.second;
    }
    return "";
}

Poco::Net::ServerSocket listenOn(const endpoint &address, int backlog)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.host, address.port), true, false);
    socket.listen(backlog);
    return socket;
}

void waitForStop(const std::stop_token &stop)
{
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock<std::mutex> lock(mutex);
    stopped.wait(lock, stop, [] { return false; });
}

child_body makeListenerChild(endpoint address,
                             std::function<void(const std::stop_token &stop)> serve)
{
    return [address = std::move(address),
            serve = std::move(serve)](const std::stop_token &stop) -> result<void> {
        try {
            serve(stop);
            return {};
        } catch (const Poco::Exception &exception) {
            return failure("listen",
                           "can't listen on " + toString(address) + ": " + exception.displayText());
        }
    };
}

child_body makeHttpListener(listener_options options)
{
    const endpoint address = options.address;
    return makeListenerChild(address, [options = std::move(options)](const std::stop_token &stop) {
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(options.threads);
        params->setMaxQueued(maxQueuedConnections);
        params->setTimeout(toTimespan(options.timeout));
        params->setKeepAlive(options.keepAlive);
        params->setKeepAliveTimeout(toTimespan(keepAliveTimeout));
        params->setMaxKeepAliveRequests(0);
        Poco::ThreadPool threads(2, options.threads);
        Poco::Net::HTTPServer server(options.factory, threads,
                                     listenOn(options.address, maxQueuedConnections), params);
        server.start();
        waitForStop(stop);
        server.stopAll(true);
        threads.joinAll();
    });
}

} // namespace trefoil
