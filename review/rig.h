#pragma once

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <core/json.h>

#include "fake_store.h"
#include "threaded_server.h"

/// A small deployment for the scripts of the review: instances of the router as separate processes,
/// a stand-in of the platform's store, and what is common to the stand-ins of servers and clients.
namespace trefoil::rig {

/// What was sent, answered and run, in the order of time. Thread-safe.
class record_file
{
public:
    explicit record_file(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    timestamp m_start;
};

/// What a stand-in server does after it has read a request.
struct server_reply
{
    /// Bytes that are sent, in parts with a pause between each two.
    std::vector<std::string> parts;
    duration pause = duration::zero();
    /// Whether the connection ends behind them, and whether by a reset.
    bool ends = false;
    bool resets = false;
};

/// A server that is run by this process.
class server
{
public:
    using handler = std::function<server_reply(const soak::received_request &request)>;

    server(endpoint address, handler serve);
    const endpoint &address() const { return m_address; }

private:
    endpoint m_address;
    soak::threaded_server m_listener;
};

/// An answer as a client sees it; status 0 if the connection ended without one.
struct client_answer
{
    int status = 0;
    header_list headers;
    std::string body;
    bool isWhole = false;
};

struct client_request
{
    std::string method = "POST";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Sends one request on a connection of its own and reads the answer, which has a length or chunks.
client_answer ask(const endpoint &front, const client_request &request, duration patience);

/// Returns the number of @p text, which is that of the environment variable @p name.
bool hasTrouble();

struct deployment_options
{
    int instances = 3;
    /// Directory for the settings files and logs.
    std::string directory;
    std::vector<std::string> contracts {"base",    "drain",   "config",  "cost",   "retry",
                                        "recover", "kvcache", "stream",  "engine", "tenants",
                                        "quota",   "rollout", "platform"};
};

/// Instances of the router with a store. All of them end with this object.
class deployment
{
public:
    explicit deployment(deployment_options options);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    soak::fake_store &store() { return *m_store; }
    /// Returns an address of the deployment; instances have the last bytes from 1 on.
    endpoint address(int lastByte, int port) const;
    endpoint front(int instance) const { return address(instance, frontPort); }
    void start(int instance);
    void signal(int instance, int number);
    /// Waits until all instances say that they are ready. Returns false if they don't within 15 s.
    bool waitUntilReady();
    /// Returns whether an instance has ended that was not killed by signal().
    bool hasLostInstance();

    static constexpr int frontPort = 8000;
    static constexpr int readyPort = 8001;
    static constexpr int controlPort = 8002;
    static constexpr int directoryPort = 8003;
    static constexpr int storePort = 8004;
    static constexpr int serverPort = 8100;

private:
    void writeSettings(int instance);

    deployment_options m_options;
    std::string m_prefix;
    std::unique_ptr<soak::fake_store> m_store;
    std::map<int, pid_t> m_processes;
};

/// Returns the entry of a server in the store.
Json::Value serverEntry(const std::string &service, const endpoint &address, int slots,
                        std::uint64_t born);

} // namespace trefoil::rig
