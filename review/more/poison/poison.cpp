// A request that crashes workers comes again at any machine, while the machines are stopped and
// started in turn.

#include <csignal>
#include <random>
#include <thread>

#include "../../standins/standins.h"

using namespace review;

namespace {

constexpr int machineCount = 6;
/// How often all machines are stopped and started in turn.
constexpr int restartRounds = 2;
constexpr int workerCount = 6;
constexpr double poisonFrom = 5;
constexpr double restartsFrom = 12;
constexpr double endAt = 96;
/// The request that crashes workers comes this often, at any machine.
constexpr milliseconds poisonTime {1000};
/// A crashed worker is back after this time.
constexpr milliseconds downTime {2000};
/// Between the start of one machine and the SIGTERM of the next (`roll_term`).
constexpr milliseconds gapTime {1300};
constexpr milliseconds graceTime {8000};
constexpr double contactTime = 3;

/// One arrival of the request at a worker.
struct arrival
{
    double sentAt = 0;
    double at = 0;
    bool isInTouch = false;
};

} // namespace

int main(int count, char **values)
{
    const case_arguments arguments = beginCase(count, values);
    run_record record(arguments.folder + "/record.txt");
    platform_store store;
    store.put("config", "main", baseConfiguration());
    std::mutex mutex;
    // When each attempt was sent, and whether by a machine in touch.
    std::map<std::string, arrival> attempts;
    std::vector<arrival> arrivals;
    std::vector<double> crashes;
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < workerCount; ++i) {
        worker::options options {.service = "ledger"};
        options.onRun = [&](worker &self, const http_message &request) {
            if (request.target() != "/booking/poison")
                return;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                arrival each = attempts[request.field("X-Request-Id")];
                each.at = elapsed();
                arrivals.push_back(each);
                crashes.push_back(each.at);
                record.add("run at " + self.id() + " of " + request.field("X-Request-Id")
                           + (each.isInTouch ? "" : ", from a machine that is not in touch")
                           + "; the worker crashes (crash " + std::to_string(crashes.size()) + ")");
            }
            self.crash(downTime);
        };
        workers.push_back(std::make_unique<worker>(store, options));
    }
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 1; i <= machineCount; ++i) {
        machines.push_back(std::make_unique<machine>("edge-" + std::to_string(i), "pa-depot", store,
                                                     arguments.command, arguments.temporary));
        machines.back()->start();
    }
    for (const std::unique_ptr<machine> &each : machines) {
        if (!each->waitUntilReady(milliseconds(10000)))
            endCase(2);
    }
    // When each machine began to be in touch, or an infinite time while it stops.
    std::vector<std::atomic<double>> inTouchFrom(machineCount);
    for (std::atomic<double> &each : inTouchFrom)
        each = elapsed() + contactTime;
    sleepUntil(4);
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < machineCount; ++i) {
        clients.emplace_back([&, i] {
            for (int number = 1; elapsed() < endAt; ++number) {
                sleepFor(milliseconds(150));
                if (inTouchFrom[i] > elapsed())
                    continue;
                const std::string id =
                    "booking-" + std::to_string(i + 1) + "-" + std::to_string(number);
                const client_answer answer = ask(
                    machines[i]->front(),
                    {.path = "/booking/kit", .id = id, .key = "key-palermo", .body = "kit " + id});
                sent += 1;
                served += answer.status == 200 && answer.isComplete ? 1 : 0;
            }
        });
    }
    clients.emplace_back([&] {
        std::mt19937 random(std::random_device {}());
        for (int number = 1; elapsed() < endAt; ++number) {
            const std::size_t i = random() % machineCount;
            sleepUntil(poisonFrom + number * std::chrono::duration<double>(poisonTime).count());
            // A client doesn't come to a machine that isn't ready.
            if (inTouchFrom[i] > 1e6)
                continue;
            const std::string id = "poison-" + std::to_string(number);
            {
                const std::lock_guard<std::mutex> lock(mutex);
                attempts[id] = {.sentAt = elapsed(), .isInTouch = elapsed() >= inTouchFrom[i]};
            }
            const client_answer answer = ask(machines[i]->front(),
                                             {.path = "/booking/poison",
                                              .id = id,
                                              .key = "key-palermo",
                                              .body = "the same each time"});
            record.add("answer of " + machines[i]->name() + " to " + id + ": "
                       + std::to_string(answer.status));
        }
    });
    if (hasTrouble()) {
        sleepUntil(restartsFrom);
        for (std::size_t turn = 0; turn < machineCount * restartRounds; ++turn) {
            const std::size_t i = turn % machineCount;
            inTouchFrom[i] = 1e9;
            record.add("SIGTERM to " + machines[i]->name());
            machines[i]->signal(SIGTERM);
            if (!machines[i]->waitForEnd(graceTime))
                machines[i]->signal(SIGKILL);
            machines[i]->waitForEnd(graceTime);
            sleepFor(milliseconds(300));
            machines[i]->start();
            machines[i]->waitUntilReady(milliseconds(5000));
            record.add(machines[i]->name() + " is started again");
            inTouchFrom[i] = elapsed() + contactTime;
            sleepFor(gapTime);
        }
    }
    for (std::thread &each : clients)
        each.join();
    int late = 0;
    if (crashes.size() >= 3) {
        const double bound = crashes[2] + contactTime;
        for (const arrival &each : arrivals)
            late += each.isInTouch && each.sentAt > bound ? 1 : 0;
    }
    record.add(std::to_string(sent) + " other requests sent, " + std::to_string(served)
               + " served; " + std::to_string(crashes.size()) + " crashes");
    record.add(std::to_string(late)
               + " arrivals from machines in touch later than contact_ms after the third crash");
    if (served < sent / 2)
        endCase(2);
    endCase(late > 3 ? 1 : 0);
}
