#include "stock.h"

#include <cstdio>
#include <iostream>
#include <thread>

namespace trefoil::rig {

namespace {

constexpr int serverCount = 4;
/// Within the largest dose of second answers in the site file: 0.6 of the servers and 0.03 of their
/// answers, for 5 s at a time.
constexpr int spoilingServers = 2;
constexpr int spoiledOneIn = 34;
constexpr duration spoilTime = std::chrono::seconds(5);
constexpr duration soundTime = std::chrono::seconds(1);
constexpr std::size_t shownBytes = 200;
constexpr duration clientPause = std::chrono::milliseconds(2);

std::string shown(std::string_view text)
{
    std::string out;
    for (const char c : text.substr(0, shownBytes))
        out += c == '\r' ? std::string("\\r") : c == '\n' ? std::string("\\n") : std::string(1, c);
    return out;
}

struct stock_state
{
    std::mutex mutex;
    /// Body by seal.
    std::map<std::string, std::string> bodies;
    std::size_t runs = 0;
    std::size_t spoiled = 0;
};

class stock_server
{
public:
    stock_server(int number, const stock_options &options, bool spoils, stock_state &state,
                 record_file &record)
        : m_id("i-" + std::to_string(number)), m_options(options), m_spoils(spoils), m_state(state),
          m_record(record)
    { }

    server_reply serve(const soak::received_request &request)
    {
        const header_list &headers = request.head.headers;
        const std::string name(headers.value("X-Request-Id"));
        if (headers.value("X-Expect-Instance") != m_id)
            return {.parts = {soak::formatResponse(
                        421, "X-Request-Id: " + name + "\r\nX-Not-Executed: 1\r\n", "")}};
        const std::lock_guard<std::mutex> lock(m_state.mutex);
        m_state.runs += 1;
        std::size_t headBytes = 0;
        const std::string answer = makeAnswer(name, headBytes);
        m_answers += 1;
        const bool isSound =
            (boot_clock::now() - m_startedAt) % (spoilTime + soundTime) >= spoilTime;
        if (!m_spoils || isSound || m_answers % spoiledOneIn != 0)
            return {.parts = {answer}};
        std::size_t secondHeadBytes = 0;
        const std::string second = makeAnswer(name, secondHeadBytes);
        m_state.spoiled += 1;
        const server_reply reply = m_options.spoil({.first = answer,
                                                    .second = second,
                                                    .headBytes = headBytes,
                                                    .secondHeadBytes = secondHeadBytes,
                                                    .number = m_spoiled++});
        std::string sizes;
        for (const std::string &part : reply.parts)
            sizes += " " + std::to_string(part.size());
        m_record.add(m_id + " runs " + name + ", spoils its answer of "
                     + std::to_string(answer.size()) + " bytes and sends" + sizes);
        return reply;
    }

private:
    std::string makeAnswer(const std::string &name, std::size_t &headBytes)
    {
        const std::string seal = m_id + "." + std::to_string(++m_seals);
        std::string body = "{" + name + "|" + seal + "|";
        while (body.size() + 1 < m_options.bodyBytes)
            body += "kits:7,";
        body.resize(m_options.bodyBytes - 1);
        body += "}";
        m_state.bodies[seal] = body;
        const std::string lines = "Content-Type: application/json\r\nX-Request-Id: " + name
            + "\r\nX-Server-Seal: " + seal + "\r\n";
        std::string text;
        if (m_options.isChunked) {
            char size[32] = {};
            std::snprintf(size, sizeof size, "%zx\r\n", body.size());
            text = "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + size
                + body + "\r\n0\r\n\r\n";
        } else {
            text = soak::formatResponse(200, lines, body);
        }
        headBytes = text.find("\r\n\r\n") + 4;
        return text;
    }

    std::string m_id;
    const stock_options &m_options;
    bool m_spoils;
    stock_state &m_state;
    record_file &m_record;
    timestamp m_startedAt = boot_clock::now();
    std::size_t m_seals = 0;
    std::size_t m_answers = 0;
    std::size_t m_spoiled = 0;
};

Json::Value makeConfiguration()
{
    Json::Value configuration(Json::objectValue);
    configuration["version"] = 1;
    Json::Value &route = configuration["routes"][0];
    route["name"] = "depot-stock";
    route["host"] = "kits.example";
    route["path_prefix"] = "/stock/";
    route["kind"] = "safe";
    route["service"] = "stock";
    route["max_attempts"] = 2;
    route["timeout_ms"] = 1000;
    route["target_latency_ms"] = 100;
    configuration["services"][0]["name"] = "stock";
    Json::Value &tenant = configuration["tenants"][0];
    tenant["name"] = "palermo";
    tenant["api_keys"][0] = "k-palermo";
    return configuration;
}

} // namespace

int runStock(const char *directory, const char *recordFile, const stock_options &options)
{
    record_file record(recordFile);
    stock_state state;
    deployment system({.directory = directory});
    std::vector<std::unique_ptr<stock_server>> stocks;
    std::vector<std::unique_ptr<server>> listeners;
    for (int i = 0; i < serverCount; ++i) {
        const bool spoils = hasTrouble() && i < spoilingServers;
        stocks.push_back(std::make_unique<stock_server>(i, options, spoils, state, record));
        listeners.push_back(std::make_unique<server>(
            system.address(201 + i, deployment::serverPort),
            [each = stocks.back().get()](const soak::received_request &request) {
                return each->serve(request);
            }));
        system.store().put("servers", "i-" + std::to_string(i),
                           serverEntry("stock", listeners.back()->address(), 6,
                                       1700000000000 + static_cast<std::uint64_t>(i)));
    }
    system.store().put("config", "main", makeConfiguration());
    for (int i = 1; i <= 3; ++i)
        system.start(i);
    if (!system.waitUntilReady())
        return 2;

    const timestamp end = boot_clock::now() + options.time;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> broken = 0;
    const auto client = [&](int number) {
        while (boot_clock::now() < end && broken < options.enough) {
            std::this_thread::sleep_for(clientPause);
            const std::string id = "s" + std::to_string(sent++);
            const client_answer answer = ask(system.front(1 + number % 3),
                                             {.method = "GET",
                                              .path = "/stock/" + std::to_string(number),
                                              .headers = {{"Host", "kits.example"},
                                                          {"X-Request-Id", id},
                                                          {"X-Deadline-Ms", "1000"},
                                                          {"Authorization", "Bearer k-palermo"}},
                                              .body = {}},
                                             std::chrono::seconds(2));
            if (answer.status < 200 || answer.status > 299 || !answer.isWhole)
                continue;
            served += 1;
            const std::string seal(answer.headers.value("X-Server-Seal"));
            std::string expected;
            {
                const std::lock_guard<std::mutex> lock(state.mutex);
                expected = state.bodies.contains(seal) ? state.bodies[seal] : "";
                state.bodies.erase(seal);
            }
            const bool isOwn = expected.starts_with("{" + id + "|");
            if (isOwn && answer.body == expected)
                continue;
            broken += 1;
            std::size_t same = 0;
            while (same < std::min(answer.body.size(), expected.size())
                   && answer.body[same] == expected[same])
                ++same;
            record.add("client: " + id + " is answered " + std::to_string(answer.status)
                       + " with the seal " + seal + " and " + std::to_string(answer.body.size())
                       + " bytes  MIXED: the body of this seal has "
                       + std::to_string(expected.size()) + " bytes and differs from byte "
                       + std::to_string(same) + " on, where the client got: "
                       + shown(std::string_view(answer.body).substr(same)));
        }
    };
    std::vector<std::thread> clients;
    for (int i = 0; i < options.clients; ++i)
        clients.emplace_back(client, i);
    for (std::thread &each : clients)
        each.join();
    const std::string result = std::to_string(sent) + " requests sent, " + std::to_string(served)
        + " served, " + std::to_string(state.runs) + " runs, " + std::to_string(state.spoiled)
        + " answers spoiled; MIXED broken " + std::to_string(broken) + " times";
    record.add(result);
    std::cout << result << std::endl;
    if (served == 0 || system.hasLostInstance())
        return 2;
    return broken > 0 ? 1 : 0;
}

} // namespace trefoil::rig
