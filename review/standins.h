#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

#include <json/value.h>

namespace review {

using steady = std::chrono::steady_clock;
using moment = steady::time_point;
using std::chrono::milliseconds;

/// Returns seconds since the program's start.
double elapsed();
/// Returns whether the case runs with its disruption: TROUBLE is not "0".
bool hasTrouble();
/// Sleeps until @p seconds after the program's start.
void sleepUntil(double seconds);
void sleepFor(milliseconds time);

/// The file record.txt of a case: what was sent, answered and run. Thread-safe.
class run_record
{
public:
    explicit run_record(const std::string &path) : m_file(path) { }
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Address and port on the loopback interface.
struct local_address
{
    std::string host = "127.0.0.1";
    int port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

/// Returns an address with a port that is free now.
local_address freeAddress();

/// Head and body of an HTTP message.
struct http_message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Returns the value of the first field @p name, or "".
    std::string field(std::string_view name) const;
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const;
    int status() const;
};

/// One TCP connection with a read buffer. Not thread-safe.
class connection
{
public:
    explicit connection(int socket) : m_socket(socket) { }
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Connects within a second. Returns nullptr if that fails.
    static std::unique_ptr<connection> open(const local_address &address);
    /// Reads more bytes into the buffer. Returns false at the end of the connection or @p deadline.
    bool readMore(moment deadline);
    /// Reads a head up to the empty line.
    std::optional<http_message> readHead(moment deadline);
    /// Reads a body with a length or in chunks. Returns whether it is complete.
    bool readBody(http_message &message, moment deadline);
    /// Writes all of @p bytes. Returns false if the connection is broken.
    bool write(std::string_view bytes);
    /// Closes with a reset.
    void reset();
    bool isClosed() const;
    int socket() const { return m_socket; }
    std::string &buffer() { return m_buffer; }

private:
    int m_socket;
    std::string m_buffer;
};

/// Listens on an address; each connection has a thread of its own. Thread-safe.
class listener
{
public:
    struct options
    {
        /// Size of the receive buffer and of the largest segment, 0 for the usual ones.
        int receiveBytes = 0;
        int segmentBytes = 0;
    };

    listener(local_address address, std::function<void(connection &)> serve, options extra);
    /// Refuses new connections and resets all that are open.
    void stop();

private:
    struct shared_state
    {
        std::mutex mutex;
        std::vector<int> sockets;
        bool isStopped = false;
    };

    int m_socket = -1;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
};

/// The platform's store: objects by kind and name, one revision, watches, conditional calls.
/// Thread-safe.
class platform_store
{
public:
    platform_store();
    const local_address &address() const { return m_address; }
    /// Writes as the operator or a worker does. The return is the acknowledgement.
    void put(const std::string &kind, const std::string &name, const Json::Value &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct stored_object
    {
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        Json::Value spec;
        Json::Value status;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        Json::Value event;
    };

    void serve(connection &stream);
    std::pair<int, Json::Value> handle(const http_message &call);
    std::pair<int, Json::Value> write(const std::string &method, const std::string &kind,
                                      std::string name, bool isStatus, const http_message &call,
                                      std::uint64_t expected);
    Json::Value toJson(const std::string &name, const stored_object &object) const;
    void record(const std::string &kind, const std::string &name, stored_object &object,
                bool isRemoved);

    local_address m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, stored_object>> m_objects;
    std::deque<change> m_history;
    std::optional<listener> m_listener;
};

/// A worker as the pages describe it. It registers itself in the store with a heartbeat, answers
/// `/health`, `/report` and `/order`, turns away what expects another instance, and runs requests:
/// those of a service with engines as streams of twelve events. Thread-safe.
class worker
{
public:
    struct options
    {
        std::string service;
        std::string zone = "pa-depot";
        bool isEngine = false;
        listener::options network;
        /// Called with each call before the worker handles it. Returns whether it was answered; the
        /// connection ends then.
        std::function<bool(worker &, connection &, const http_message &)> trouble;
        /// Called when a request begins to run.
        std::function<void(worker &, const http_message &)> onRun;
        milliseconds workTime {15};
        milliseconds eventTime {5};
    };

    worker(platform_store &store, options settings);
    /// Ends all connections; the entry expires after three heartbeats. Starts again with a new id
    /// after @p downTime.
    void crash(milliseconds downTime);
    std::string id();
    std::uint64_t weights();
    const local_address &address() const { return m_address; }

    static constexpr int eventCount = 12;
    /// Returns event @p number of the stream that answers request @p id.
    static std::string event(const std::string &id, int number);
    /// Returns the head of the stream that answers @p request, in chunks.
    static std::string streamHead(const http_message &request, std::uint64_t weights);
    static std::string chunk(std::string_view text);

private:
    void listen();
    void beat();
    void serve(connection &stream);
    bool run(connection &stream, const http_message &request);
    std::string order(const http_message &call);

    platform_store &m_store;
    options m_options;
    local_address m_address;
    std::mutex m_mutex;
    std::string m_id;
    std::uint64_t m_born = 0;
    std::uint64_t m_beats = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_weights = 1;
    bool m_isBusy = false;
    bool m_isDown = false;
    std::unique_ptr<listener> m_listener;
};

/// One machine of the system: the project's program, started with the command of the deploy file.
class machine
{
public:
    machine(std::string name, std::string zone, const platform_store &store,
            const std::vector<std::string> &command, std::string folder);
    ~machine();
    void start();
    void signal(int number);
    /// Returns whether the process runs.
    bool isRunning();
    /// Waits up to @p limit for the end of the process.
    bool waitForEnd(milliseconds limit);
    /// Returns the resident memory in bytes.
    std::uint64_t memoryBytes() const;
    /// Waits until the process says that it is ready.
    bool waitUntilReady(milliseconds limit) const;
    const local_address &front() const { return m_front; }
    const std::string &name() const { return m_name; }
    moment startedAt() const { return m_startedAt; }
    /// Limit on the memory of a process (`memory_mb`).
    static constexpr std::uint64_t memoryLimit = 110'000'000;

private:
    std::string m_name;
    std::vector<std::string> m_command;
    std::string m_settingsPath;
    std::string m_logPath;
    local_address m_front;
    local_address m_ready;
    pid_t m_pid = 0;
    moment m_startedAt;
};

/// A client's request.
struct client_request
{
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string key;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    milliseconds patience {1000};
};

/// What a client got.
struct client_answer
{
    /// 0 if there was no answer.
    int status = 0;
    std::string body;
    /// Whether the answer ended as its framing says.
    bool isComplete = false;
    bool isSealed = false;
};

/// Sends a request on a new connection and reads the answer.
client_answer ask(const local_address &front, const client_request &request);

/// Starts @p work in a thread of its own that ends with the program.
void inBackground(std::function<void()> work);

/// Formats an answer with a length. @p fields are complete lines.
std::string formatAnswer(int status, std::string_view fields, std::string_view body);

/// Returns the configuration that all cases start from: an unsafe and a safe route to `ledger`, a
/// stream that may not be resumed and one that may be to `llm`, two tenants.
Json::Value baseConfiguration();

/// Host of all routes.
inline constexpr const char *routeHost = "kits.example";

/// Arguments of a case: its folder, a folder for temporary files and the command of the deploy
/// file.
struct case_arguments
{
    std::string folder;
    std::string temporary;
    std::vector<std::string> command;
};

/// Reads the arguments and ends the program with 2 if it lasts longer than 115 s.
case_arguments beginCase(int count, char **values);
/// Ends the program and all processes that it started.
[[noreturn]] void endCase(int status);

} // namespace review
