#include "verbs.h"

#include <csignal>
#include <iostream>

#include <adapter/platform_settings.h>
#include <telemetry/event_log.h>
#include <telemetry/log.h>

#include "edge/edge_instance.h"
#include "table_files.h"

namespace trefoil {

int runEdge(const edge_options &options)
{
    const std::string path =
        options.settingsFile.empty() ? platformSettingsPath() : options.settingsFile;
    if (path.empty()) {
        std::cerr << "edge: give --settings or the platform's settings variable\n";
        return ExitUsage;
    }
    const result<std::string> text = readFile(path);
    if (!text) {
        std::cerr << "edge: " << text.error().message << "\n";
        return ExitUsage;
    }
    const tl::expected<platform_settings, findings> settings = readPlatformSettings(*text, path);
    if (!settings) {
        std::cerr << toString(settings.error());
        return ExitUsage;
    }
    // Blocked in every thread, so that only the instance's signal wait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    startLog({.minLevel = log_level::Info, .asJson = true, .instance = settings->name});
    startEventLog({.instance = settings->name});
    edge_instance instance(*settings);
    const result<void> outcome = instance.run(signals);
    stopEventLog();
    if (!outcome)
        std::cerr << "edge: " << outcome.error().message << "\n";
    return outcome ? ExitOk : ExitFailed;
}

} // namespace trefoil
