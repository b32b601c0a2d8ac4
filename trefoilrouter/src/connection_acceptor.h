#pragma once

#include <functional>
#include <string>
#include <vector>

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/StreamSocket.h>
#include <configuration/settings.h>
#include <core/supervisor.h>

namespace trefoil {

/// An address to accept connections on.
struct accepted_address
{
    endpoint address;
    /// Connections that are served at the same time; further ones wait in the listen queue.
    int maxConnections = 8;
    /// Serves a connection and returns at its end. Called by one thread for each connection. An
    /// exception is logged.
    std::function<void(const Poco::Net::StreamSocket &socket)> serve;
};

/// Returns a child that accepts connections on all @p addresses with one thread, which sleeps while
/// none arrives. Threads that serve connections start on demand and end some seconds after the last
/// one. When the child is stopped, it waits for the connections that are being served.
/// Error "listen": an address can't be bound.
child_spec connectionAcceptor(std::string name, std::vector<accepted_address> addresses);

/// Returns a function that serves one HTTP request on a connection with a handler of @p factory.
/// Thread-safe.
std::function<void(const Poco::Net::StreamSocket &socket)>
serveHttpWith(Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> factory);

} // namespace trefoil
