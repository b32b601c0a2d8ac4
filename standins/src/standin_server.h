#pragma once

#include <functional>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <configuration/settings.h>

namespace trefoil {

/// Serves one request; runs on many threads.
using standin_handler =
    std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// Serves HTTP on @p place until SIGTERM or SIGINT. Returns the program's exit status.
int runStandin(const endpoint &place, int threads, standin_handler handler);

/// Answers with @p status and a JSON body.
void answerJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);

/// Reads the request's whole body.
std::string bodyOf(Poco::Net::HTTPServerRequest &request);

/// Returns the query parameter @p name of the request's URI, or "".
std::string queryOf(const Poco::Net::HTTPServerRequest &request, const std::string &name);

/// What the stand-ins are started with.
struct standin_options
{
    endpoint address;
    std::string name;
    /// platform: names of instances in its list, separated by commas.
    std::string instances;
    /// engine: version, blocks in the cache, prompt tokens a second, time between tokens.
    std::string version = "v1";
    std::size_t cacheBlocks = 200;
    double prefillRate = 200000;
    int tokenMilliseconds = 2;
    bool fenced = false;
    /// load: target, key, requests, rate, prompt bytes.
    endpoint target;
    std::string key;
    std::string model;
    int requests = 500;
    double rate = 50;
    std::size_t promptBytes = 1024;
    std::string json;
    std::string label;
};

int runPlatform(const standin_options &options);
int runEngine(const standin_options &options);
int runService(const standin_options &options);
int runLoad(const standin_options &options);

} // namespace trefoil
