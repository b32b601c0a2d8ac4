#pragma once

#include <functional>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <configuration/settings.h>

namespace trefoil {

/// Serves one request. Called concurrently from several threads.
using request_handler =
    std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// Serves HTTP on @p address until SIGTERM or SIGINT, then exits the process with status 0. Does
/// not return.
int runHttpServer(const endpoint &address, int threads, request_handler handler);

/// Sends a response with @p status and a JSON body.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);

/// Reads the complete request body.
std::string readRequestBody(Poco::Net::HTTPServerRequest &request);

/// Returns the query parameter @p name of the request's URI, or "".
std::string queryParameter(const Poco::Net::HTTPServerRequest &request, const std::string &name);

/// Command line options; each stand-in uses its own.
struct standin_options
{
    /// platform, engine, service: address to listen on.
    endpoint address;
    /// Not used by any stand-in.
    std::string name;
    /// platform: names of the listed instances, separated by commas.
    std::string instances;
    /// engine: weights version, cache capacity in blocks, prompt tokens per second, milliseconds
    /// between generated tokens, whether orders with an outdated fencing token are refused.
    std::string version = "v1";
    std::size_t cacheBlocks = 200;
    double prefillRate = 200000;
    int tokenIntervalMs = 2;
    bool isFenced = false;
    /// load: target, API key, model, number of requests, requests per second, bytes of the shared
    /// prompt, file to append the result to, label of the result.
    endpoint target;
    std::string key;
    std::string model;
    int requests = 500;
    double rate = 50;
    std::size_t promptBytes = 1024;
    std::string json;
    std::string label;
};

/// Each runs one stand-in until the process exits. runLoad() returns the exit status instead, which
/// is 1 if any request failed.
int runPlatform(const standin_options &options);
int runEngine(const standin_options &options);
int runService(const standin_options &options);
int runLoad(const standin_options &options);

} // namespace trefoil
