#include "http_util.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <istream>
#include <mutex>
#include <random>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/ThreadPool.h>
#include <core/digest.h>

namespace trefoil {

namespace {

/// Maximum number of accepted connections that wait for a thread.
constexpr int maxQueuedConnections = 256;

/// How long an idle connection is kept open.
constexpr duration keepAliveTimeout = std::chrono::seconds(30);

} // namespace

Poco::Timespan toTimespan(duration time)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
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

bool readBody(std::istream &input, std::size_t maxBytes, timestamp deadline, std::string &body)
{
    constexpr std::size_t chunkBytes = 16 << 10;
    std::size_t count = chunkBytes;
    while (count > 0) {
        const std::size_t before = body.size();
        if (before > maxBytes || boot_clock::now() >= deadline)
            return false;
        body.resize(before + chunkBytes);
        count = readAvailable(input, std::span(body).subspan(before));
        body.resize(before + count);
    }
    return true;
}

void discardBody(std::istream &input, timestamp deadline)
{
    std::array<char, 16 << 10> discarded {};
    while (boot_clock::now() < deadline && readAvailable(input, discarded) > 0)
        ;
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

std::string newAttemptId()
{
    // On Linux, std::random_device has no state and each call reads the processor's or the kernel's
    // generator.
    static_assert(sizeof(std::random_device::result_type) == sizeof(std::uint32_t));
    std::random_device source;
    const auto draw = [&source] { return std::uint64_t {source()} << 32 | source(); };
    return toHex({.high = draw(), .low = draw()});
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
