#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/NameValueCollection.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <configuration/settings.h>
#include <core/clock.h>
#include <core/error.h>
#include <core/supervisor.h>

namespace trefoil {

/// Response to an http_request, held in memory.
struct http_response
{
    int status = 0;
    std::string body;
    Poco::Net::NameValueCollection headers;
};

/// An HTTP request with its body held in memory.
struct http_request
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Error codes of sendHttpRequest().
namespace http_errors {
/// The connection was refused: nothing was sent.
inline constexpr const char *refused = "connection-refused";
/// The connection could not be established: nothing was sent.
inline constexpr const char *unreachable = "unreachable";
/// The request was sent at least in part, but no complete response was received.
inline constexpr const char *broken = "broken";
} // namespace http_errors

/// Converts @p time to POCO's type. Thread-safe.
Poco::Timespan toTimespan(duration time);

/// Sends @p request on @p session and reads the response. The session may be reused only on
/// success. Errors: those of http_errors. Not thread-safe on the same session.
result<http_response> sendHttpRequest(Poco::Net::HTTPClientSession &session,
                                      const http_request &request);

/// Sends @p request on a new connection to @p address and reads the response. @p timeout applies
/// separately to connecting, to sending and to receiving. Errors: those of http_errors.
/// Thread-safe.
result<http_response> sendHttpRequestOnNewConnection(const endpoint &address,
                                                     const http_request &request, duration timeout);

/// Sets the timeouts of @p session and of its open socket, which would otherwise keep those of the
/// previous request. Not thread-safe on the same session.
void setTimeouts(Poco::Net::HTTPClientSession &session, duration connect, duration transfer);

/// Returns whether an idle connection may be reused. An idle connection that is readable was closed
/// by the server. Not thread-safe on the same session.
bool isReusable(Poco::Net::HTTPClientSession &session);

/// Reads the available bytes into @p buffer, blocking for the first one. Returns the number of
/// bytes, 0 at the end of the stream. Precondition: @p buffer is not empty.
std::size_t readAvailable(std::istream &input, std::span<char> buffer);

/// Appends @p input to @p body up to its end. Stops and returns false once @p body exceeds
/// @p maxBytes.
bool readBody(std::istream &input, std::size_t maxBytes, std::string &body);

/// Percent-encodes all characters of @p text except letters, digits and -_.~. Thread-safe.
std::string encodeUri(std::string_view text);

/// Returns the first value of parameter @p name in @p uri, or "". Thread-safe.
std::string queryValue(const Poco::URI &uri, std::string_view name);

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
