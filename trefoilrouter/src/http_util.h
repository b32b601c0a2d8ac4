#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <configuration/settings.h>
#include <core/clock.h>
#include <core/error.h>
#include <core/supervisor.h>
#include <http/http_connection.h>

namespace trefoil {

/// Converts @p time to POCO's type. Thread-safe.
Poco::Timespan toTimespan(duration time);

/// Reads the available bytes into @p buffer, blocking for the first one. Returns the number of
/// bytes, 0 at the end of the stream. Precondition: @p buffer is not empty.
std::size_t readAvailable(std::istream &input, std::span<char> buffer);

/// Appends @p input to @p body up to its end. Stops and returns false once @p body exceeds
/// @p maxBytes or @p deadline has passed.
bool readBody(std::istream &input, std::size_t maxBytes, timestamp deadline, std::string &body);

/// Reads @p input and drops the bytes until its end or @p deadline. Blocks for longer only if a
/// read does.
void discardBody(std::istream &input, timestamp deadline);

/// Percent-encodes all characters of @p text except letters, digits and -_.~. Thread-safe.
std::string encodeUri(std::string_view text);

/// Returns the first value of parameter @p name in @p uri, or "". Thread-safe.
std::string queryValue(const Poco::URI &uri, std::string_view name);

/// Returns the identifier of a new attempt, 32 hexadecimal digits. It is unique across instances
/// and restarts: servers get the attempts of all instances. Thread-safe.
std::string newAttemptId();

/// Returns a socket that listens on @p address. Throws Poco::Exception on failure.
Poco::Net::ServerSocket listenOn(const endpoint &address, int backlog);

/// Blocks until @p stop is requested.
void waitForStop(const std::stop_token &stop);

/// Returns a supervised body that runs @p serve. It fails with error "listen", whose message names
/// @p address, if @p serve throws a Poco::Exception.
child_body makeListenerChild(endpoint address,
                             std::function<void(const std::stop_token &stop)> serve);

/// Options of makeHttpListener().
struct listener_options
{
    endpoint address;
    /// Maximum number of concurrent handlers.
    int threads = 8;
    /// Timeout of socket reads and writes.
    duration timeout = std::chrono::seconds(20);
    /// Whether connections are persistent. Each open connection occupies a thread.
    bool keepAlive = true;
    Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> factory;
};
/// Returns a supervised body that serves HTTP until it is stopped, then aborts open connections and
/// waits for the running handlers to return. It fails with error "listen" if the address can't be
/// bound.
child_body makeHttpListener(listener_options options);

} // namespace trefoil
