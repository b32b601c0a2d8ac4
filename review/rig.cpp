#include "rig.h"

#include <chrono>
#include <cstdlib>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <fcntl.h>
#include <http/response_body.h>
#include <http/response_head_reader.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace trefoil::rig {

namespace {

constexpr const char *program = "target/trefoilrouter/trefoilrouter";
constexpr duration writeTime = std::chrono::seconds(2);
constexpr std::size_t maxHeadBytes = 16 * 1024;
constexpr std::size_t maxBodyBytes = 16 * 1024 * 1024;

/// Returns whether nothing listens on the ports of a deployment with the addresses @p prefix.
bool isFree(const std::string &prefix, int instances)
{
    try {
        for (int i = 1; i <= instances; ++i) {
            for (int port = deployment::frontPort; port <= deployment::directoryPort; ++port)
                Poco::Net::ServerSocket(Poco::Net::SocketAddress(prefix + std::to_string(i),
                                                                 static_cast<std::uint16_t>(port)));
        }
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

std::string freePrefix(int instances)
{
    constexpr int subnets = 200;
    const int first = static_cast<int>(::getpid()) % subnets;
    for (int i = 0; i < subnets; ++i) {
        const int subnet = (first + i) % subnets + 20;
        std::string prefix = "127.77." + std::to_string(subnet) + ".";
        if (isFree(prefix, instances))
            return prefix;
    }
    return "127.77.1.";
}

} // namespace

record_file::record_file(const std::string &path) : m_file(path), m_start(boot_clock::now()) { }

void record_file::add(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << toMilliseconds(boot_clock::now() - m_start) << " ms  " << line << std::endl;
}

server::server(endpoint address, handler serve)
    : m_address(std::move(address)),
      m_listener(
          m_address, [serve = std::move(serve)](byte_stream stream, const std::stop_token &stop) {
              while (!stop.stop_requested()) {
                  const std::optional<soak::received_request> request = soak::readRequest(stream);
                  if (!request)
                      return;
                  const server_reply reply = serve(*request);
                  for (std::size_t i = 0; i < reply.parts.size(); ++i) {
                      if (i > 0)
                          std::this_thread::sleep_for(reply.pause);
                      if (!stream.write(reply.parts[i], boot_clock::now() + writeTime))
                          return;
                  }
                  if (reply.resets)
                      stream.abort();
                  else if (reply.ends)
                      stream.close();
                  if (reply.resets || reply.ends)
                      return;
              }
          })
{ }

client_answer ask(const endpoint &front, const client_request &request, duration patience)
{
    client_answer answer;
    const timestamp deadline = boot_clock::now() + patience;
    result<byte_stream> stream = byte_stream::connect(front, std::chrono::seconds(1));
    if (!stream)
        return answer;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    for (const std::pair<std::string, std::string> &each : request.headers)
        appendField(text, each.first, each.second);
    if (request.method != "GET")
        appendField(text, "Content-Length", std::to_string(request.body.size()));
    if (!stream->write(text + "\r\n" + request.body, deadline))
        return answer;
    response_head_reader heads(maxHeadBytes);
    std::optional<response_head> head;
    while (!head) {
        result<std::optional<response_head>> next = heads.feed(stream->buffer());
        if (!next)
            return answer;
        head = std::move(*next);
        if (!head && stream->readMore(deadline) != read_outcome::Bytes)
            return answer;
    }
    answer.status = head->status;
    answer.headers = head->headers;
    const result<body_framing> framing = framingOf(*head, request.method);
    if (!framing)
        return answer;
    response_body body({.framing = *framing, .maxHeldBytes = maxBodyBytes});
    while (true) {
        body.feed(stream->buffer());
        if (body.state() != body_state::Incomplete)
            break;
        const read_outcome outcome = stream->readMore(deadline);
        if (outcome == read_outcome::Bytes)
            continue;
        body.end(outcome == read_outcome::End);
        break;
    }
    answer.isWhole = body.state() == body_state::Whole;
    answer.body = std::move(body.plainBody());
    return answer;
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

deployment::deployment(deployment_options options)
    : m_options(std::move(options)), m_prefix(freePrefix(m_options.instances)),
      m_store(std::make_unique<soak::fake_store>(address(200, storePort)))
{
    for (int i = 1; i <= m_options.instances; ++i)
        writeSettings(i);
}

deployment::~deployment()
{
    for (auto it = m_processes.begin(); it != m_processes.end(); ++it) {
        ::kill(it->second, SIGKILL);
        ::waitpid(it->second, nullptr, 0);
    }
}

endpoint deployment::address(int lastByte, int port) const
{
    return {.host = m_prefix + std::to_string(lastByte), .port = static_cast<std::uint16_t>(port)};
}

void deployment::writeSettings(int instance)
{
    Json::Value settings(Json::objectValue);
    const std::string zone = "z" + std::to_string(instance);
    settings["node_name"] = "edge-" + std::to_string(instance);
    settings["role"] = "edge";
    settings["machine_class"] = "edge";
    settings["ip"] = address(instance, frontPort).host;
    settings["zone"] = zone;
    settings["region"] = "r";
    settings["listen"]["front"] = toString(address(instance, frontPort));
    settings["listen"]["ready"] = toString(address(instance, readyPort));
    settings["listen"]["control"] = toString(address(instance, controlPort));
    settings["listen"]["directory"] = toString(address(instance, directoryPort));
    settings["platform"]["address"] = toString(address(200, storePort));
    settings["platform"]["form"] = "objects";
    settings["platform"]["writes_per_s"] = 400;
    settings["platform"]["reads_per_s"] = 2000;
    settings["platform"]["history_s"] = 20;
    settings["limits"]["memory_mb"] = 260;
    settings["limits"]["cpu_share"] = 0.25;
    settings["limits"]["cores"] = 1;
    settings["limits"]["link_mbps"] = 1000;
    settings["limits"]["max_fds"] = 4100;
    settings["heartbeat_ms"] = 1200;
    for (const std::string &contract : m_options.contracts)
        settings["contracts"].append(contract);
    const std::map<std::string, double> bounds {
        {"contact_ms", 3000},    {"ack_ms", 4000},
        {"drain_ms", 2000},      {"grace_s", 8},
        {"loss_slack_ms", 200},  {"config_apply_ms", 2000},
        {"max_skew_ms", 5000},   {"retry_budget_ratio", 0.2},
        {"budget_window_s", 10}, {"retry_slack", 52},
        {"quota_window_s", 8},   {"quota_overage", 0.1},
        {"quota_slack", 110000}, {"expose_share", 0.1},
        {"rollback_ms", 5000},   {"recover_s", 12},
        {"lease_ms", 3000},      {"thaw_ms", 300},
        {"version_ms", 12000},   {"ttl_max_s", 5}};
    for (auto it = bounds.begin(); it != bounds.end(); ++it)
        settings["bounds"][it->first] = it->second;
    std::ofstream(m_options.directory + "/edge-" + std::to_string(instance) + ".json")
        << writeJson(settings);
}

void deployment::start(int instance)
{
    const std::string path = m_options.directory + "/edge-" + std::to_string(instance);
    const pid_t process = ::fork();
    if (process != 0) {
        m_processes[instance] = process;
        return;
    }
    // Also when this process is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("TREFOILROUTER_BOOT", (path + ".json").c_str(), 1);
    ::execl(program, program, "edge", nullptr);
    ::_exit(127);
}

void deployment::signal(int instance, int number)
{
    const auto found = m_processes.find(instance);
    if (found == m_processes.end())
        return;
    ::kill(found->second, number);
    if (number == SIGKILL) {
        ::waitpid(found->second, nullptr, 0);
        m_processes.erase(found);
    }
}

bool deployment::hasLostInstance()
{
    for (auto it = m_processes.begin(); it != m_processes.end(); ++it) {
        if (::waitpid(it->second, nullptr, WNOHANG) != 0)
            return true;
    }
    return false;
}

bool deployment::waitUntilReady()
{
    const timestamp end = boot_clock::now() + std::chrono::seconds(15);
    for (int i = 1; i <= m_options.instances; ++i) {
        while (ask(address(i, readyPort),
                   {.method = "GET", .path = "/ready", .headers = {{"Host", "ready"}}, .body = {}},
                   std::chrono::seconds(1))
                   .status
               != 200) {
            if (boot_clock::now() >= end)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    // Each hears of all others, and of all servers.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return true;
}

Json::Value serverEntry(const std::string &service, const endpoint &address, int slots,
                        std::uint64_t born)
{
    Json::Value entry(Json::objectValue);
    entry["service"] = service;
    entry["address"] = toString(address);
    entry["zone"] = "z1";
    entry["version"] = "v1";
    entry["slots"] = slots;
    entry["state"] = "ready";
    entry["cold_left_ms"] = 0;
    entry["sequence"] = 1;
    entry["born"] = Json::UInt64(born);
    return entry;
}

} // namespace trefoil::rig
