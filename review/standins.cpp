#include "standins.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const moment programStart = steady::now();
std::mutex startedMutex;
std::vector<pid_t> startedProcesses;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

sockaddr_in toSockaddr(const local_address &address)
{
    sockaddr_in raw {};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr);
    return raw;
}

int millisecondsUntil(moment deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left + 1, 0, 60'000));
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value fromText(const std::string &text)
{
    Json::Value value;
    std::istringstream input(text);
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), input, &value, &errors))
        return {};
    return value;
}

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos
        ? 0
        : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

double elapsed() { return std::chrono::duration<double>(steady::now() - programStart).count(); }

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr || std::string_view(value) != "0";
}

void sleepUntil(double seconds)
{
    std::this_thread::sleep_until(
        programStart
        + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(seconds)));
}

void sleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

void run_record::add(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f ", elapsed());
    m_file << time.data() << line << std::endl;
}

local_address freeAddress()
{
    // Ports stay bound for a moment, so that two calls don't return the same one.
    static std::vector<int> ports;
    while (true) {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in raw = toSockaddr({});
        socklen_t size = sizeof raw;
        ::bind(probe, reinterpret_cast<sockaddr *>(&raw), sizeof raw);
        ::getsockname(probe, reinterpret_cast<sockaddr *>(&raw), &size);
        ::close(probe);
        const int port = ntohs(raw.sin_port);
        if (std::find(ports.begin(), ports.end(), port) != ports.end())
            continue;
        ports.push_back(port);
        return {.port = port};
    }
}

std::string http_message::field(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &each : fields) {
        if (equalsIgnoringCase(each.first, name))
            return each.second;
    }
    return "";
}

std::string http_message::target() const
{
    const std::size_t start = startLine.find(' ');
    return startLine.substr(start + 1, startLine.rfind(' ') - start - 1);
}

int http_message::status() const
{
    return std::atoi(startLine.substr(std::min(startLine.size(), startLine.find(' '))).c_str());
}

connection::~connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

std::unique_ptr<connection> connection::open(const local_address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::unique_ptr<connection> opened = std::make_unique<connection>(socket);
    const sockaddr_in raw = toSockaddr(address);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0)
        return nullptr;
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return opened;
}

bool connection::readMore(moment deadline)
{
    pollfd entry {.fd = m_socket, .events = POLLIN, .revents = 0};
    if (::poll(&entry, 1, millisecondsUntil(deadline)) <= 0)
        return false;
    std::array<char, 65536> bytes {};
    const ssize_t size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<http_message> connection::readHead(moment deadline)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(deadline))
            return std::nullopt;
    }
    std::istringstream lines(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    http_message message;
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r'))
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (message.startLine.empty()) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon),
                                        value == std::string::npos ? "" : line.substr(value));
        }
    }
    return message;
}

bool connection::readBody(http_message &message, moment deadline)
{
    if (message.field("Transfer-Encoding") == "chunked") {
        while (true) {
            const std::size_t end = m_buffer.find("\r\n");
            if (end == std::string::npos) {
                if (!readMore(deadline))
                    return false;
                continue;
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!readMore(deadline)) {
                    message.body.append(m_buffer, end + 2);
                    return false;
                }
            }
            message.body.append(m_buffer, end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    const std::size_t length = std::strtoull(message.field("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        if (!readMore(deadline))
            return false;
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

void connection::reset()
{
    const linger abort {.l_onoff = 1, .l_linger = 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(m_socket);
    m_socket = -1;
}

bool connection::isClosed() const
{
    pollfd entry {.fd = m_socket, .events = POLLRDHUP, .revents = 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

listener::listener(local_address address, std::function<void(connection &)> serve, options extra)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (extra.receiveBytes > 0)
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &extra.receiveBytes,
                     sizeof extra.receiveBytes);
    if (extra.segmentBytes > 0)
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &extra.segmentBytes,
                     sizeof extra.segmentBytes);
    const sockaddr_in raw = toSockaddr(address);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0
        || ::listen(m_socket, 512) != 0) {
        std::cerr << "can't listen on " << address.text() << "\n";
        endCase(2);
    }
    inBackground([socket = m_socket, state = m_state, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int noDelay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            {
                const std::lock_guard<std::mutex> lock(state->mutex);
                state->sockets.push_back(accepted);
            }
            inBackground([accepted, state, serve] {
                connection stream(accepted);
                serve(stream);
                const std::lock_guard<std::mutex> lock(state->mutex);
                std::erase(state->sockets, accepted);
                if (state->isStopped && stream.socket() >= 0)
                    stream.reset();
            });
        }
    });
}

void listener::stop()
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->isStopped = true;
    ::shutdown(m_socket, SHUT_RDWR);
    ::close(m_socket);
    const linger abort {.l_onoff = 1, .l_linger = 0};
    for (const int each : m_state->sockets) {
        ::setsockopt(each, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::shutdown(each, SHUT_RD);
    }
}

platform_store::platform_store() : m_address(freeAddress())
{
    m_listener.emplace(
        m_address, [this](connection &stream) { serve(stream); }, listener::options {});
}

Json::Value platform_store::toJson(const std::string &name, const stored_object &object) const
{
    Json::Value value(Json::objectValue);
    value["metadata"]["name"] = name;
    value["metadata"]["revision"] = Json::UInt64(object.revision);
    value["metadata"]["create_revision"] = Json::UInt64(object.createRevision);
    value["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
    value["metadata"]["deleting"] = false;
    value["spec"] = object.spec;
    value["status"] = object.status;
    return value;
}

void platform_store::record(const std::string &kind, const std::string &name, stored_object &object,
                            bool isRemoved)
{
    object.revision = ++m_revision;
    if (object.createRevision == 0)
        object.createRevision = m_revision;
    Json::Value event(Json::objectValue);
    event["object"] = toJson(name, object);
    event["removed"] = isRemoved;
    m_history.push_back({.revision = m_revision, .kind = kind, .event = std::move(event)});
    m_changed.notify_all();
}

void platform_store::put(const std::string &kind, const std::string &name, const Json::Value &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    stored_object &object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return;
    object.spec = spec;
    record(kind, name, object, false);
}

void platform_store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return;
    record(kind, name, found->second, true);
    m_objects[kind].erase(found);
}

void platform_store::serve(connection &stream)
{
    while (true) {
        std::optional<http_message> call = stream.readHead(steady::now() + std::chrono::hours(1));
        if (!call || !stream.readBody(*call, steady::now() + std::chrono::seconds(5)))
            return;
        const std::pair<int, Json::Value> reply = handle(*call);
        sleepFor(milliseconds(4));
        if (!stream.write(formatAnswer(reply.first,
                                       "Content-Type: application/json\r\nStore-Era: 1\r\n",
                                       toText(reply.second))))
            return;
    }
}

std::pair<int, Json::Value> platform_store::handle(const http_message &call)
{
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    constexpr std::string_view root = "/objects/";
    if (!path.starts_with(root))
        return {404, {}};
    std::string kind = path.substr(root.size());
    std::string name;
    bool isStatus = false;
    if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
        if (name.ends_with("/status")) {
            isStatus = true;
            name.resize(name.size() - 7);
        }
    }
    if (call.method() != "GET")
        return write(call.method(), kind, name, isStatus, call, queryNumber(target, "revision"));
    std::unique_lock<std::mutex> lock(m_mutex);
    Json::Value body(Json::objectValue);
    if (target.find("watch=") != std::string::npos) {
        const std::uint64_t since = queryNumber(target, "watch");
        const moment deadline = steady::now() + milliseconds(queryNumber(target, "wait_ms"));
        body["events"] = Json::Value(Json::arrayValue);
        while (true) {
            for (const change &each : m_history) {
                if (each.kind == kind && each.revision > since)
                    body["events"].append(each.event);
            }
            if (!body["events"].empty()
                || m_changed.wait_until(lock, deadline) == std::cv_status::timeout)
                break;
        }
        body["store_revision"] = Json::UInt64(m_revision);
        return {200, body};
    }
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return {404, {}};
        return {200, toJson(name, found->second)};
    }
    body["items"] = Json::Value(Json::arrayValue);
    for (auto it = m_objects[kind].begin(); it != m_objects[kind].end(); ++it)
        body["items"].append(toJson(it->first, it->second));
    body["more_pages"] = false;
    body["store_revision"] = Json::UInt64(m_revision);
    return {200, body};
}

std::pair<int, Json::Value> platform_store::write(const std::string &method,
                                                  const std::string &kind, std::string name,
                                                  bool isStatus, const http_message &call,
                                                  std::uint64_t expected)
{
    const Json::Value body = fromText(call.body.empty() ? "{}" : call.body);
    const Json::Value metadata = body.isObject() ? body["metadata"] : Json::Value();
    if (name.empty() && metadata.isObject())
        name = metadata["name"].asString();
    if (metadata.isObject() && metadata["revision"].isUInt64())
        expected = metadata["revision"].asUInt64();
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    const bool exists = found != m_objects[kind].end();
    if (method == "POST" && exists)
        return {409, toJson(name, found->second)};
    if (method != "POST" && !exists)
        return {404, {}};
    if (exists && expected != 0 && expected != found->second.revision)
        return {409, toJson(name, found->second)};
    if (method == "DELETE") {
        record(kind, name, found->second, true);
        const Json::Value removed = toJson(name, found->second);
        m_objects[kind].erase(found);
        return {200, removed};
    }
    stored_object &object = m_objects[kind][name];
    Json::Value &part = isStatus ? object.status : object.spec;
    const Json::Value &next = body[isStatus ? "status" : "spec"];
    if (!exists || part != next) {
        part = next;
        record(kind, name, object, false);
    }
    return {200, toJson(name, object)};
}

worker::worker(platform_store &store, options settings)
    : m_store(store), m_options(std::move(settings)), m_address(freeAddress())
{
    listen();
    inBackground([this] {
        while (true) {
            sleepFor(milliseconds(1200));
            beat();
        }
    });
}

void worker::listen()
{
    static std::atomic<int> nextId = 1;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_id = "i-" + m_options.service + "-" + std::to_string(nextId++);
        m_born = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
        m_orders = 0;
        m_isDown = false;
        m_isBusy = false;
    }
    m_listener = std::make_unique<listener>(
        m_address, [this](connection &stream) { serve(stream); }, m_options.network);
    beat();
}

void worker::beat()
{
    Json::Value entry(Json::objectValue);
    std::string name;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isDown)
            return;
        name = m_id;
        entry["service"] = m_options.service;
        entry["address"] = m_address.text();
        entry["zone"] = m_options.zone;
        entry["version"] = "v1";
        entry["slots"] = m_options.isEngine ? 64 : 6;
        entry["state"] = "ready";
        entry["cold_left_ms"] = 0;
        entry["born"] = Json::UInt64(m_born);
        if (m_options.isEngine) {
            entry["stage"] = "prefill_decode";
            Json::Value model(Json::objectValue);
            model["name"] = "m0";
            model["version"] = Json::UInt64(m_weights);
            model["adapters"] = Json::Value(Json::arrayValue);
            entry["models"].append(model);
        }
        entry["sequence"] = Json::UInt64(++m_beats);
    }
    m_store.put("servers", name, entry);
}

void worker::crash(milliseconds downTime)
{
    std::string name;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isDown)
            return;
        m_isDown = true;
        name = m_id;
        m_listener->stop();
    }
    inBackground([this, downTime] {
        sleepFor(downTime);
        listen();
    });
    inBackground([this, name] {
        sleepFor(milliseconds(3600));
        m_store.remove("servers", name);
    });
}

std::string worker::id()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_id;
}

std::uint64_t worker::weights()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_weights;
}

std::string worker::event(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + id
        + "\n\n";
}

std::string worker::streamHead(const http_message &request, std::uint64_t weights)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
        + request.field("X-Request-Id") + "\r\nX-Server-Seal: seal-" + request.field("X-Request-Id")
        + "\r\nX-Weight-Versions: " + std::to_string(weights)
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string worker::chunk(std::string_view text)
{
    std::array<char, 32> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + std::string(text) + "\r\n";
}

void worker::serve(connection &stream)
{
    while (true) {
        std::optional<http_message> call =
            stream.readHead(steady::now() + std::chrono::seconds(12));
        if (!call)
            return;
        if (m_options.trouble && m_options.trouble(*this, stream, *call))
            return;
        if (!stream.readBody(*call, steady::now() + std::chrono::seconds(5)) || !run(stream, *call))
            return;
    }
}

bool worker::run(connection &stream, const http_message &request)
{
    const std::string echoed = "X-Request-Id: " + request.field("X-Request-Id") + "\r\n";
    const std::string expected = request.field("X-Expect-Instance");
    const std::string target = request.target();
    if (!expected.empty() && expected != id())
        return stream.write(
            formatAnswer(421, echoed + "X-Not-Executed: 1\r\nX-Instance-Id: " + id() + "\r\n", ""));
    if (target == "/health")
        return stream.write(formatAnswer(200, "X-Instance-Id: " + id() + "\r\n", ""));
    if (target == "/report" || target == "/order")
        return stream.write(order(request));
    const std::string version = request.field("X-Expect-Version");
    bool isLoading = false;
    std::uint64_t current = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        isLoading = m_isBusy;
        current = m_weights;
    }
    if (!version.empty() && version != std::to_string(current))
        return stream.write(formatAnswer(421, echoed + "X-Not-Executed: 1\r\n", ""));
    if (isLoading)
        return stream.write(formatAnswer(503, echoed + "X-Not-Executed: 1\r\n", ""));
    if (m_options.onRun)
        m_options.onRun(*this, request);
    {
        // A worker that has crashed answers nothing.
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isDown)
            return false;
    }
    if (!m_options.isEngine) {
        sleepFor(m_options.workTime);
        return stream.write(formatAnswer(
            200, echoed + "X-Server-Seal: seal-" + request.field("X-Request-Id") + "\r\n",
            std::string(800, 'r')));
    }
    int next = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
    if (!stream.write(streamHead(request, current)))
        return false;
    for (; next <= eventCount; ++next) {
        sleepFor(m_options.eventTime);
        if (!stream.write(chunk(event(request.field("X-Request-Id"), next))))
            return false;
    }
    return stream.write("0\r\n\r\n");
}

std::string worker::order(const http_message &call)
{
    Json::Value body(Json::objectValue);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (call.target() == "/report") {
        body["stage"] = "prefill_decode";
        Json::Value model(Json::objectValue);
        model["name"] = "m0";
        model["version"] = Json::UInt64(m_weights);
        model["adapters"] = Json::Value(Json::arrayValue);
        body["models"].append(model);
        body["busy"] = m_isBusy;
        body["sequence"] = Json::UInt64(m_orders);
        for (const char *each : {"queued", "running", "kv_used", "handles"})
            body[each] = 0;
        body["kv_total"] = 128332;
        return formatAnswer(200, "Content-Type: application/json\r\n", toText(body));
    }
    const Json::Value order = fromText(call.body);
    if (!order.isObject() || order["holder"].asString().empty()
        || !order["fencing_token"].isUInt64())
        return formatAnswer(400, "", "");
    if (order["version"].asUInt64() == m_weights)
        return formatAnswer(200, "", "");
    if (m_isBusy
        || (order.isMember("precondition") && order["precondition"].asUInt64() != m_orders))
        return formatAnswer(409, "", "");
    m_orders += 1;
    m_isBusy = true;
    inBackground([this, version = order["version"].asUInt64(), born = m_born] {
        sleepFor(milliseconds(1300));
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (born != m_born)
                return;
            m_isBusy = false;
            m_weights = version;
        }
        beat();
    });
    return formatAnswer(202, "", "");
}

machine::machine(std::string name, std::string zone, const platform_store &store,
                 const std::vector<std::string> &command, std::string folder)
    : m_name(std::move(name)), m_command(command), m_settingsPath(folder + "/" + m_name + ".json"),
      m_logPath(folder + "/" + m_name + ".log"), m_front(freeAddress()), m_ready(freeAddress())
{
    const local_address control = freeAddress();
    Json::Value root(Json::objectValue);
    root["node_name"] = m_name;
    root["role"] = "edge";
    root["machine_class"] = "edge";
    for (const char *each : {"edge", "control", "directory"})
        root["serves"].append(each);
    root["ip"] = "127.0.0.1";
    root["zone"] = zone;
    root["region"] = "sicily";
    for (const char *each : {"pa-depot", "ct-depot", "sr-depot"})
        root["zones"][each] = "sicily";
    root["listen"]["front"] = m_front.text();
    root["listen"]["ready"] = m_ready.text();
    root["listen"]["control"] = control.text();
    root["listen"]["directory"] = freeAddress().text();
    root["seeds"].append(control.text());
    root["bootstrap"] = true;
    root["limits"] = fromText(R"({"cpu_share": 0.25, "cores": 1, "memory_mb": 110,
        "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0})");
    root["discovery"] = "platform";
    root["entry"] = "directory";
    root["heartbeat_ms"] = 1200;
    root["bounds"] = fromText(R"({"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000,
        "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
        "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000,
        "revoke_strict": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
        "budget_window_s": 10, "retry_slack": 56, "quota_window_s": 8, "quota_overage": 0.1,
        "quota_slack": 110000, "expose_share": 0.1, "bad_version_slack": 50,
        "rollback_ms": 5000, "recover_s": 12, "transit_ms": 120, "again_s": 10,
        "fencing_enforced": false, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 12000,
        "version_all_ms": 17000, "ttl_max_s": 5})");
    root["platform"] = fromText(R"({"form": "objects", "writes_per_s": 400,
        "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000})");
    root["platform"]["address"] = store.address().text();
    std::ofstream(m_settingsPath) << toText(root);
}

machine::~machine() { signal(SIGKILL); }

void machine::start()
{
    std::vector<char *> words;
    for (std::string &each : m_command)
        words.push_back(each.data());
    words.push_back(nullptr);
    const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string setting = "TREFOILROUTER_BOOT=" + m_settingsPath;
    const char *path = std::getenv("PATH"); // NOLINT(concurrency-mt-unsafe)
    const std::string search = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    const std::array<const char *, 3> environment {setting.c_str(), search.c_str(), nullptr};
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(2);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(words[0], words.data(), const_cast<char *const *>(environment.data()));
        ::_exit(2);
    }
    ::close(log);
    m_startedAt = steady::now();
    const std::lock_guard<std::mutex> lock(startedMutex);
    startedProcesses.push_back(m_pid);
}

void machine::signal(int number)
{
    if (m_pid > 0 && isRunning())
        ::kill(m_pid, number);
}

bool machine::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    const std::lock_guard<std::mutex> lock(startedMutex);
    std::erase(startedProcesses, m_pid);
    m_pid = 0;
    return false;
}

bool machine::waitForEnd(milliseconds limit)
{
    const moment deadline = steady::now() + limit;
    while (isRunning()) {
        if (steady::now() >= deadline)
            return false;
        sleepFor(milliseconds(5));
    }
    return true;
}

std::uint64_t machine::memoryBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

bool machine::waitUntilReady(milliseconds limit) const
{
    const moment deadline = steady::now() + limit;
    while (steady::now() < deadline) {
        const std::unique_ptr<connection> stream = connection::open(m_ready);
        if (stream != nullptr) {
            stream->write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            const std::optional<http_message> answer = stream->readHead(deadline);
            if (answer && answer->status() == 200)
                return true;
        }
        sleepFor(milliseconds(50));
    }
    return false;
}

client_answer ask(const local_address &front, const client_request &request)
{
    client_answer answer;
    const moment deadline = steady::now() + request.patience;
    const std::unique_ptr<connection> stream = connection::open(front);
    if (stream == nullptr)
        return answer;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + routeHost
        + "\r\nX-Request-Id: " + request.id
        + "\r\nX-Deadline-Ms: " + std::to_string(request.patience.count())
        + "\r\nAuthorization: Bearer " + request.key + "\r\n";
    for (const std::pair<std::string, std::string> &each : request.fields)
        text += each.first + ": " + each.second + "\r\n";
    if (request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    stream->write(text + "\r\n" + request.body);
    std::optional<http_message> head = stream->readHead(deadline);
    if (!head)
        return answer;
    answer.status = head->status();
    answer.isSealed = !head->field("X-Server-Seal").empty();
    answer.isComplete = stream->readBody(*head, deadline);
    answer.body = head->body;
    return answer;
}

void inBackground(std::function<void()> work) { std::thread(std::move(work)).detach(); }

std::string formatAnswer(int status, std::string_view fields, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + std::string(fields)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

Json::Value baseConfiguration()
{
    return fromText(R"({"version": 3, "routes": [
        {"name": "kit-booking", "host": "kits.example", "path_prefix": "/booking/",
         "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2,
         "service": "ledger", "max_attempts": 1, "anonymous": false, "sticky": false,
         "resumable": false},
        {"name": "depot-stock", "host": "kits.example", "path_prefix": "/stock/", "kind": "safe",
         "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2, "service": "ledger",
         "max_attempts": 2, "anonymous": false, "sticky": false, "resumable": false},
        {"name": "terms-check", "host": "kits.example", "path_prefix": "/terms/",
         "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1,
         "service": "llm", "max_attempts": 1, "anonymous": false, "sticky": true,
         "resumable": false, "gap_aim_ms": 300},
        {"name": "coord-reply", "host": "kits.example", "path_prefix": "/reply/",
         "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 400, "priority": 0,
         "service": "llm", "max_attempts": 2, "anonymous": false, "sticky": true,
         "resumable": true, "gap_aim_ms": 300}],
      "services": [
        {"name": "ledger", "health_path": "/health", "conn_limit": 110, "protocol": "h1",
         "tls": false},
        {"name": "llm", "health_path": "/health", "conn_limit": 370, "protocol": "h1",
         "tls": false, "engine": {"slots": 64, "kv_capacity_tokens": 128332,
         "token_kv_bytes": 35136, "link_mbps": 550000.0, "moves": true, "backups": true,
         "stride": 4, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
         "models": [{"name": "m0"}]}}],
      "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                 "idle_timeout_ms": 15000},
      "tenants": [
        {"name": "palermo", "api_keys": ["key-palermo"], "priority": 1, "unit": "tokens",
         "plain_tokens": 200, "isolated": false, "rate_per_s": 394534, "burst": 394534},
        {"name": "catania", "api_keys": ["key-catania"], "priority": 1, "unit": "tokens",
         "plain_tokens": 200, "isolated": false, "rate_per_s": 394534, "burst": 394534}]})");
}

case_arguments beginCase(int count, char **values)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count < 4) {
        std::cerr << "usage: " << values[0] << " FOLDER TEMPORARY COMMAND..\n";
        endCase(2);
    }
    inBackground([] {
        sleepUntil(115);
        std::cerr << "the case took too long\n";
        endCase(2);
    });
    return {.folder = values[1],
            .temporary = values[2],
            .command = std::vector<std::string>(values + 3, values + count)};
}

void endCase(int status)
{
    {
        const std::lock_guard<std::mutex> lock(startedMutex);
        for (const pid_t each : startedProcesses)
            ::kill(each, SIGKILL);
        for (const pid_t each : startedProcesses)
            ::waitpid(each, nullptr, 0);
    }
    std::_Exit(status);
}

} // namespace review
