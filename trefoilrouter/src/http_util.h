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
#include <Poco/Net/ServerSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <configuration/settings.h>
#include <core/clock.h>
#include <core/error.h>
#include <core/supervisor.h>

namespace trefoil {

/// Answer to a small HTTP call.
struct http_answer
{
    int status = 0;
    std::string body;
};

/// A small HTTP call: no streaming, the whole body in memory.
struct http_call
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Error codes of httpCall().
namespace http_errors {
/// No process listens there: nothing was sent.
inline constexpr const char *refused = "connection-refused";
/// No connection came about in time: nothing was sent.
inline constexpr const char *unreachable = "unreachable";
/// Something was sent, and no whole answer came.
inline constexpr const char *broken = "broken";
} // namespace http_errors

/// Returns @p time for POCO. Thread-safe.
Poco::Timespan toTimespan(duration time);

/// Makes one call on @p session, which is usable for the next one only if this succeeds. Errors:
/// those of http_errors. Not thread-safe on the same session.
result<http_answer> httpCall(Poco::Net::HTTPClientSession &session, const http_call &call);

/// Makes one call on a new connection to @p place. Thread-safe.
result<http_answer> httpCallOnce(const endpoint &place, const http_call &call, duration timeout);

/// Sets the timeouts of @p session, also of a kept connection, which otherwise has those of its
/// last use. Not thread-safe on the same session.
void setTimeouts(Poco::Net::HTTPClientSession &session, duration connect, duration transfer);

/// Returns whether an idle kept connection may be used again: one that has something to read was
/// closed by the other side. Not thread-safe on the same session.
bool isReusable(Poco::Net::HTTPClientSession &session);

/// Reads into @p room what has come, waiting for at least one byte. Returns 0 at the end.
std::size_t readSome(std::istream &input, std::span<char> room);

/// Reads @p input to its end, or up to @p most bytes. Returns false when there is more.
bool readBody(std::istream &input, std::size_t most, std::string &body);

/// Returns @p text with everything but letters, digits and -_.~ percent-encoded. Thread-safe.
std::string encodeUri(std::string_view text);

/// Returns the first value of parameter @p name in @p uri, or "". Thread-safe.
std::string queryValue(const Poco::URI &uri, std::string_view name);

/// Returns a socket that listens on @p place. Throws Poco::Exception where it can't.
Poco::Net::ServerSocket listenOn(const endpoint &place, int backlog);

/// Blocks until @p stop is requested.
void waitForStop(const std::stop_token &stop);

/// Makes a child of @p serve that fails with error "listen" when listening on @p place throws.
child_body listenerChild(endpoint place, std::function<void(const std::stop_token &stop)> serve);

/// Makes a child that serves HTTP on @p place until it is stopped; then it lets the handlers that
/// run finish. Failing to bind is a failure of the child.
struct listener_options
{
    endpoint place;
    int threads = 8;
    duration timeout = std::chrono::seconds(20);
    /// Whether connections are kept; each kept one holds a thread.
    bool keepsConnections = true;
    Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> factory;
};
child_body httpListener(listener_options options);

} // namespace trefoil
