// Servers that run a request and fail it with their own 503, without X-Not-Executed.

#include <chrono>
#include <iostream>
#include <set>
#include <thread>

#include "../rig.h"

using namespace trefoil;
using namespace trefoil::rig;

namespace {

constexpr int serverCount = 8;
constexpr int requestCount = 160;

struct ledger
{
    std::mutex mutex;
    /// Bookings that were made, by request id.
    std::map<std::string, int> runs;
};

} // namespace

int main(int, char **arguments)
{
    const std::string directory = arguments[1];
    record_file record(arguments[2]);
    ledger booked;
    deployment system({.directory = directory});
    const bool isFailing = hasTrouble();
    std::vector<std::unique_ptr<server>> servers;
    std::atomic<int> calls = 0;
    for (int i = 0; i < serverCount; ++i) {
        const std::string id = "i-" + std::to_string(i);
        const auto serve = [&, i, id](const soak::received_request &request) -> server_reply {
            const header_list &headers = request.head.headers;
            const std::string name(headers.value("X-Request-Id"));
            std::string lines = "X-Request-Id: " + name + "\r\n";
            if (headers.value("X-Expect-Instance") != id)
                return {.parts = {soak::formatResponse(421, lines + "X-Not-Executed: 1\r\n", "")}};
            {
                const std::lock_guard<std::mutex> lock(booked.mutex);
                booked.runs[name] += 1;
            }
            lines += "X-Server-Seal: " + id + "." + name + "\r\nX-Server-Load: 1,0,6\r\n";
            // The grey server fails two in five of its requests.
            const bool fails = isFailing && i == 0 && calls++ % 5 < 2;
            const int status = fails ? 503 : 200;
            record.add(id + " runs " + name + " and answers " + std::to_string(status));
            std::this_thread::sleep_for(std::chrono::milliseconds(15));
            return {.parts = {soak::formatResponse(status, lines,
                                                   fails ? "the ledger is away" : "booked")}};
        };
        servers.push_back(
            std::make_unique<server>(system.address(201 + i, deployment::serverPort), serve));
        system.store().put("servers", id,
                           serverEntry("ledger", servers.back()->address(), 6, 1700000000000 + i));
    }
    Json::Value configuration(Json::objectValue);
    configuration["version"] = 1;
    Json::Value &route = configuration["routes"][0];
    route["name"] = "kit-booking";
    route["host"] = "kits.example";
    route["path_prefix"] = "/book/";
    route["kind"] = "unsafe";
    route["service"] = "ledger";
    route["max_attempts"] = 1;
    route["timeout_ms"] = 1000;
    route["target_latency_ms"] = 100;
    configuration["services"][0]["name"] = "ledger";
    Json::Value &tenant = configuration["tenants"][0];
    tenant["name"] = "palermo";
    tenant["api_keys"][0] = "k-palermo";
    system.store().put("config", "main", configuration);
    for (int i = 1; i <= 3; ++i)
        system.start(i);
    if (!system.waitUntilReady())
        return 2;

    // Each booking is tried up to twice: once more after a promise that it has not run.
    int broken = 0;
    int served = 0;
    int bookedTwice = 0;
    for (int i = 0; i < requestCount; ++i) {
        std::set<std::string> tries;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const std::string id = "b" + std::to_string(i) + "a" + std::to_string(attempt);
            tries.insert(id);
            const client_answer answer = ask(system.front(1 + (i + attempt) % 3),
                                             {.path = "/book/" + std::to_string(i),
                                              .headers = {{"Host", "kits.example"},
                                                          {"X-Request-Id", id},
                                                          {"X-Deadline-Ms", "1000"},
                                                          {"Authorization", "Bearer k-palermo"}},
                                              .body = "kit 7 for booking " + std::to_string(i)},
                                             std::chrono::seconds(2));
            bool hasRun = false;
            {
                const std::lock_guard<std::mutex> lock(booked.mutex);
                hasRun = booked.runs.contains(id);
            }
            const bool isPromise = answer.status == 429 || answer.status == 503
                || answer.status == 408 || answer.status == 421;
            const bool isBroken = isPromise && hasRun;
            broken += isBroken ? 1 : 0;
            served += answer.status == 200 ? 1 : 0;
            record.add("client: " + id + " is answered " + std::to_string(answer.status)
                       + (isBroken ? "  REFUSED: it has run" : ""));
            if (!isPromise)
                break;
        }
        const std::lock_guard<std::mutex> lock(booked.mutex);
        int runs = 0;
        for (const std::string &id : tries)
            runs += booked.runs.contains(id) ? booked.runs[id] : 0;
        bookedTwice += runs > 1 ? 1 : 0;
    }
    const std::string result = std::to_string(requestCount) + " bookings, " + std::to_string(served)
        + " served, " + std::to_string(bookedTwice) + " made twice; REFUSED broken "
        + std::to_string(broken) + " times";
    record.add(result);
    std::cout << result << std::endl;
    if (served == 0 || system.hasLostInstance())
        return 2;
    return broken > 0 ? 1 : 0;
}
