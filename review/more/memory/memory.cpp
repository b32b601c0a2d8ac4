// One of seven model workers sends bytes without end and doesn't read the requests any more.

#include <csignal>
#include <thread>

#include "../../standins/standins.h"

using namespace review;

namespace {

constexpr int workerCount = 7;
constexpr double troubleAt = 6;
constexpr double endAt = 45;
/// The worker sends no faster than its machine's link carries (`link_mbps` 1,000).
constexpr std::size_t pieceBytes = 1000 * 1000;
constexpr milliseconds pieceTime {10};
constexpr milliseconds restartTime {1000};
/// Sizes of bodies on the sheet of `terms-check`: mean and largest.
constexpr std::size_t usualBody = 18'000;
constexpr std::size_t largestBody = 4'000'000;
/// One in so many requests has the largest body.
constexpr int largeShare = 20;

/// What the platform does: a process over its memory is killed, and one that ended is started
/// again after a short delay.
void watchMachine(machine &watched, run_record &record, std::atomic<int> &kills)
{
    while (true) {
        sleepFor(milliseconds(10));
        const std::uint64_t memory = watched.memoryBytes();
        if (memory <= machine::memoryLimit && watched.isRunning())
            continue;
        record.add(watched.name() + " has " + std::to_string(memory / 1000000)
                   + " MB of 110 MB and is killed");
        watched.signal(SIGKILL);
        watched.waitForEnd(milliseconds(1000));
        kills += 1;
        sleepFor(restartTime);
        watched.start();
        watched.waitUntilReady(milliseconds(5000));
        record.add(watched.name() + " is started again");
    }
}

} // namespace

int main(int count, char **values)
{
    const case_arguments arguments = beginCase(count, values);
    run_record record(arguments.folder + "/record.txt");
    platform_store store;
    store.put("config", "main", baseConfiguration());
    Json::Value weights(Json::objectValue);
    weights["model"] = "m0";
    weights["version"] = 1;
    store.put("versions", "m0", weights);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < workerCount; ++i) {
        worker::options options {.service = "llm",
                                 .isEngine = true,
                                 .network = {.receiveBytes = 16384, .segmentBytes = 1460}};
        if (i == 0 && hasTrouble())
            options.trouble = [&record](worker &self, connection &stream,
                                        const http_message &call) {
                if (elapsed() < troubleAt || call.field("Content-Length").size() < 7)
                    return false;
                const std::string noise(pieceBytes, 'x');
                std::size_t sent = 0;
                while (stream.write(noise) && !stream.isClosed()) {
                    sent += noise.size();
                    sleepFor(pieceTime);
                }
                record.add("bytes without end from " + self.id() + " for "
                           + call.field("X-Request-Id") + " with " + call.field("Content-Length")
                           + " bytes: " + std::to_string(sent / 1000000)
                           + " MB until the caller closed");
                return true;
            };
        workers.push_back(std::make_unique<worker>(store, options));
    }
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::atomic<int>> kills(2);
    for (int i = 1; i <= 2; ++i) {
        machines.push_back(std::make_unique<machine>("edge-" + std::to_string(i), "pa-depot", store,
                                                     arguments.command, arguments.temporary));
        machines.back()->start();
    }
    for (const std::unique_ptr<machine> &each : machines) {
        if (!each->waitUntilReady(milliseconds(10000)))
            endCase(2);
    }
    sleepUntil(4);
    for (std::size_t i = 0; i < machines.size(); ++i)
        inBackground([&, i] { watchMachine(*machines[i], record, kills[i]); });
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> servedEarly = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < 6; ++i) {
        clients.emplace_back([&, i] {
            while (elapsed() < endAt) {
                const int number = ++sent;
                const std::string id = "terms-" + std::to_string(number);
                const client_answer answer = ask(
                    machines[static_cast<std::size_t>(i % 2)]->front(),
                    {.path = "/terms/" + std::to_string(number % 41),
                     .id = id,
                     .key = "key-palermo",
                     .fields = {{"X-Model-Name", "m0"},
                                {"X-Token-Count", "9190,12"},
                                {"X-Prompt-Prefix",
                                 "a" + std::to_string(number % 41) + ":6300,b"
                                     + std::to_string(number) + ":2890"}},
                     .body = std::string(number % largeShare == 0 ? largestBody : usualBody, 'q'),
                     .patience = milliseconds(5000)});
                const bool isServed = answer.status == 200 && answer.isComplete;
                served += isServed ? 1 : 0;
                servedEarly += isServed && elapsed() < troubleAt ? 1 : 0;
                if (!isServed)
                    record.add("answer to " + id + ": " + std::to_string(answer.status));
                sleepFor(milliseconds(100));
            }
        });
    }
    for (std::thread &each : clients)
        each.join();
    record.add(std::to_string(sent) + " sent, " + std::to_string(served) + " served");
    int dying = 0;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        record.add(machines[i]->name() + " was killed " + std::to_string(kills[i])
                   + " times for its memory");
        dying += kills[i] >= 3 ? 1 : 0;
    }
    if (servedEarly == 0)
        endCase(2);
    endCase(dying >= 2 ? 1 : 0);
}
