#pragma once

#include <functional>
#include <string>

#include <Poco/URI.h>
#include <configuration/settings.h>
#include <core/supervisor.h>
#include <http/byte_stream.h>

namespace trefoil {

/// Response to a GET request.
struct page
{
    int status = 200;
    const char *type = "text/plain";
    std::string body;
};

/// Options of makePageListener().
struct page_listener_options
{
    endpoint address;
    /// Maximum number of concurrent requests.
    int threads = 8;
    /// Returns the page at a path and query. Called by several threads at once.
    std::function<page(const Poco::URI &)> makePage;
    /// Takes over the connection of a request for a path and query, instead of makePage(), if it
    /// returns true. May be empty. Called by several threads at once.
    std::function<bool(const Poco::URI &, byte_stream &)> takeConnection = {};
};

/// Returns a supervised body that serves one request on each connection until it is stopped. A
/// request has a limit on its size and on the time in which it arrives and its response is taken.
/// It fails with error "listen" if the address can't be bound.
child_body makePageListener(page_listener_options options);

} // namespace trefoil
