#include "verbs.h"

#include <csignal>
#include <iostream>
#include <stop_token>
#include <thread>

#include <configuration/settings.h>
#include <telemetry/log.h>

#include "instance.h"
#include "table_files.h"

namespace trefoil {

namespace {

/// How often the signal thread checks whether the instance has ended by itself.
constexpr long signalCheckNanoseconds = 100'000'000;

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

int runServe(const serve_options &options)
{
    if (options.settingsFile.empty()) {
        std::cerr << "serve: give --settings\n";
        return ExitUsage;
    }
    const result<std::string> text = readFile(options.settingsFile);
    if (!text) {
        std::cerr << "serve: " << text.error().message << "\n";
        return ExitUsage;
    }
    const tl::expected<settings, findings> read = readSettings(*text, options.settingsFile);
    if (!read) {
        std::cerr << toString(read.error());
        return ExitUsage;
    }
    startLog({.minLevel = parseLogLevel(read->logLevel),
              .asJson = read->logAsJson,
              .instance = read->name});
    // Blocked in every thread, so that only the signal thread below receives them.
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::stop_source stop;
    std::jthread signalThread([&](const std::stop_token &ended) {
        const timespec timeout {.tv_sec = 0, .tv_nsec = signalCheckNanoseconds};
        while (!ended.stop_requested()) {
            if (sigtimedwait(&set, nullptr, &timeout) > 0) {
                stop.request_stop();
                return;
            }
        }
    });
    instance router(*read);
    const result<void> outcome = router.run(stop.get_token());
    return outcome ? ExitOk : ExitFailed;
}

} // namespace trefoil
