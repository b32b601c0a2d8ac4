#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <configuration/settings.h>

namespace trefoil {

/// Serves one request. Called concurrently from several threads.
using request_handler =
    std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// When a server that sends each answer twice sends it for the second time.
enum class repeat_moment {
    Never,
    /// Right before the next answer on the connection.
    NextAnswer,
    /// The same, in two parts with a pause between them.
    NextAnswerInParts,
    /// A moment later, on the idle connection.
    Idle
};

/// Returns the moment called @p name ("next", "parts" or "idle"), or Never for any other name.
/// Thread-safe.
repeat_moment parseRepeatMoment(std::string_view name);

/// Sends answers for the second time on their connections. Thread-safe.
class answer_repeater
{
public:
    /// Sets when answers are sent for the second time from now on, and drops those that are due.
    void setMoment(repeat_moment moment);
    /// Sends what is due on the connection of @p request. Call before the request is answered.
    void sendDue(Poco::Net::HTTPServerRequest &request);
    /// Arranges for the second sending of the answer with @p body, which was sent as @p response.
    void arrange(Poco::Net::HTTPServerRequest &request,
                 const Poco::Net::HTTPServerResponse &response, std::string_view body);
    /// Returns how many answers were sent twice.
    std::uint64_t count() const;

private:
    struct due_answer
    {
        Poco::Net::StreamSocket connection;
        std::string text;
    };
    struct state
    {
        std::mutex mutex;
        repeat_moment moment = repeat_moment::Never;
        std::map<const void *, due_answer> due;
        std::uint64_t count = 0;
    };

    static void send(state &shared, const void *connection);

    /// Shared with the threads that wait for a connection to be idle.
    std::shared_ptr<state> m_state = std::make_shared<state>();
};

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
