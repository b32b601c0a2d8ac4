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

/// Largest answer that a small call takes: an object of the platform, and some room.
constexpr std::size_t maxAnswerBytes = 16 << 20;

/// Connections that may wait for a thread.
constexpr int maxQueuedConnections = 256;

/// A connection without a request is kept this long.
constexpr duration keepAlive = std::chrono::seconds(30);

} // namespace

Poco::Timespan toTimespan(duration time)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

result<http_answer> httpCall(Poco::Net::HTTPClientSession &session, const http_call &call)
{
    bool sent = false;
    try {
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(true);
        if (!call.body.empty() || call.method != "GET") {
            request.setContentType(call.contentType);
            request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        }
        for (const std::pair<std::string, std::string> &header : call.headers)
            request.set(header.first, header.second);
        std::ostream &out = session.sendRequest(request);
        sent = true;
        out << call.body;
        out.flush();
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveResponse(response);
        http_answer answer {.status = response.getStatus(), .body = {}};
        if (!readBody(in, maxAnswerBytes, answer.body))
            return failure(http_errors::broken, "the answer is too long");
        const bool cut = response.hasContentLength()
            && answer.body.size() != static_cast<std::size_t>(response.getContentLength64());
        if (cut)
            return failure(http_errors::broken, "the answer was cut");
        return answer;
    } catch (const Poco::Net::ConnectionRefusedException &problem) {
        return failure(http_errors::refused, problem.displayText());
    } catch (const Poco::Exception &problem) {
        session.reset();
        return failure(sent ? http_errors::broken : http_errors::unreachable,
                       problem.displayText());
    }
}

result<http_answer> httpCallOnce(const endpoint &place, const http_call &call, duration timeout)
{
    Poco::Net::HTTPClientSession session(place.host, place.port);
    setTimeouts(session, timeout, timeout);
    return httpCall(session, call);
}

void setTimeouts(Poco::Net::HTTPClientSession &session, duration connect, duration transfer)
{
    const Poco::Timespan each = toTimespan(transfer);
    session.setTimeout(toTimespan(connect), each, each);
    if (!session.connected())
        return;
    session.socket().setSendTimeout(each);
    session.socket().setReceiveTimeout(each);
}

bool isReusable(Poco::Net::HTTPClientSession &session)
{
    return session.connected()
        && !session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

std::size_t readSome(std::istream &input, std::span<char> room)
{
    const int first = input.get();
    if (first == std::char_traits<char>::eof())
        return 0;
    room[0] = static_cast<char>(first);
    const std::streamsize more =
        input.readsome(room.data() + 1, static_cast<std::streamsize>(room.size() - 1));
    return 1 + static_cast<std::size_t>(std::max<std::streamsize>(more, 0));
}

bool readBody(std::istream &input, std::size_t most, std::string &body)
{
    constexpr std::size_t pieceBytes = 16 << 10;
    while (input.good()) {
        const std::size_t before = body.size();
        if (before > most)
            return false;
        body.resize(before + pieceBytes);
        input.read(body.data() + before, static_cast<std::streamsize>(pieceBytes));
        body.resize(before + static_cast<std::size_t>(input.gcount()));
    }
    return body.size() <= most;
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

Poco::Net::ServerSocket listenOn(const endpoint &place, int backlog)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(place.host, place.port), true, false);
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

child_body listenerChild(endpoint place, std::function<void(const std::stop_token &stop)> serve)
{
    return [place = std::move(place),
            serve = std::move(serve)](const std::stop_token &stop) -> result<void> {
        try {
            serve(stop);
            return {};
        } catch (const Poco::Exception &problem) {
            return failure("listen",
                           "can't listen on " + toString(place) + ": " + problem.displayText());
        }
    };
}

child_body httpListener(listener_options options)
{
    const endpoint place = options.place;
    return listenerChild(place, [options = std::move(options)](const std::stop_token &stop) {
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(options.threads);
        params->setMaxQueued(maxQueuedConnections);
        params->setTimeout(toTimespan(options.timeout));
        params->setKeepAlive(options.keepsConnections);
        params->setKeepAliveTimeout(toTimespan(keepAlive));
        params->setMaxKeepAliveRequests(0);
        Poco::ThreadPool threads(2, options.threads);
        Poco::Net::HTTPServer server(options.factory, threads,
                                     listenOn(options.place, maxQueuedConnections), params);
        server.start();
        waitForStop(stop);
        server.stopAll(true);
        threads.joinAll();
    });
}

} // namespace trefoil
