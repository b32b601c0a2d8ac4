#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "verbs.h"

ABSL_FLAG(std::string, settings, "", "settings file of the instance");
ABSL_FLAG(std::string, routes, "", "file with the routes table");
ABSL_FLAG(std::string, pools, "", "file with the pools table");
ABSL_FLAG(std::string, platform, "", "address:port of the platform's object API");
ABSL_FLAG(std::string, instance, "", "address:port of an instance's operators' listener");
ABSL_FLAG(std::string, team, "", "name of a team");
ABSL_FLAG(std::string, name, "", "name of the key");
ABSL_FLAG(std::string, digest, "", "first digits of a key's digest");
ABSL_FLAG(std::string, format, "text", "text or json");

namespace {

using trefoil::exit_status;

struct verb_help
{
    const char *summary;
    const char *usage;
};

const std::map<std::string, verb_help> &verbs()
{
    static const std::map<std::string, verb_help> all {
        {"serve", {"runs an entry instance until SIGTERM", "trefoilrouter serve --settings FILE"}},
        {"edge",
         {"runs an entry instance hosted by an external platform until SIGTERM",
          "trefoilrouter edge [--settings FILE]"}},
        {"check",
         {"prints every finding in settings, routes and pools; exit 2 on any",
          "trefoilrouter check [--settings FILE] [--routes FILE] [--pools FILE] [--format "
          "text|json]"}},
        {"apply",
         {"checks tables and writes them to the platform by conditional update",
          "trefoilrouter apply --platform ADDRESS:PORT [--routes FILE] [--pools FILE]"}},
        {"status",
         {"prints members, configuration in force, limits and rollouts",
          "trefoilrouter status --instance ADDRESS:PORT [--format text|json]"}},
        {"explain",
         {"prints the log records of several instances about one request",
          "trefoilrouter explain REQUEST-ID [FILE...] [--format text|json]"}},
        {"keys",
         {"issues, lists and withdraws callers' keys",
          "trefoilrouter keys issue --platform ADDRESS:PORT --team TEAM [--name NAME]\n"
          "       trefoilrouter keys list --platform ADDRESS:PORT [--team TEAM] [--format "
          "text|json]\n"
          "       trefoilrouter keys withdraw --platform ADDRESS:PORT --digest DIGITS"}},
        {"version", {"prints the version", "trefoilrouter version"}},
        {"help", {"prints this list, or the usage of a verb", "trefoilrouter help [VERB]"}},
    };
    return all;
}

void printHelp(std::ostream &out, const std::string &verb)
{
    const auto found = verbs().find(verb);
    if (found != verbs().end()) {
        out << found->second.summary << "\nusage: " << found->second.usage << "\n";
        return;
    }
    out << "usage: trefoilrouter VERB [FLAGS]\n";
    for (auto it = verbs().begin(); it != verbs().end(); ++it)
        out << "  " << it->first << std::string(9 - it->first.size(), ' ') << it->second.summary
            << "\n";
}

trefoil::print_format format()
{
    return absl::GetFlag(FLAGS_format) == "json" ? trefoil::print_format::Json
                                                 : trefoil::print_format::Text;
}

int runVerb(const std::string &verb, const std::vector<std::string> &rest)
{
    if (verb == "serve")
        return trefoil::runServe({.settingsFile = absl::GetFlag(FLAGS_settings)});
    if (verb == "edge")
        return trefoil::runEdge({.settingsFile = absl::GetFlag(FLAGS_settings)});
    if (verb == "check")
        return trefoil::runCheck({.settingsFile = absl::GetFlag(FLAGS_settings),
                                  .routesFile = absl::GetFlag(FLAGS_routes),
                                  .poolsFile = absl::GetFlag(FLAGS_pools),
                                  .format = format()});
    if (verb == "apply")
        return trefoil::runApply({.platform = absl::GetFlag(FLAGS_platform),
                                  .routesFile = absl::GetFlag(FLAGS_routes),
                                  .poolsFile = absl::GetFlag(FLAGS_pools)});
    if (verb == "status")
        return trefoil::runStatus({.instance = absl::GetFlag(FLAGS_instance), .format = format()});
    if (verb == "explain")
        return trefoil::runExplain({.request = rest.empty() ? "" : rest.front(),
                                    .files = {rest.begin() + (rest.empty() ? 0 : 1), rest.end()},
                                    .format = format()});
    if (verb == "keys")
        return trefoil::runKeys({.platform = absl::GetFlag(FLAGS_platform),
                                 .action = rest.empty() ? "" : rest.front(),
                                 .team = absl::GetFlag(FLAGS_team),
                                 .name = absl::GetFlag(FLAGS_name),
                                 .digest = absl::GetFlag(FLAGS_digest),
                                 .format = format()});
    if (verb == "version") {
        std::cout << "trefoilrouter " << TREFOIL_VERSION << "\n";
        return exit_status::ExitOk;
    }
    if (verb == "help") {
        printHelp(std::cout, rest.empty() ? "" : rest.front());
        return exit_status::ExitOk;
    }
    std::cerr << "trefoilrouter: \"" << verb << "\" is not a verb\n";
    printHelp(std::cerr, "");
    return exit_status::ExitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    // Abseil's --help would list the flags of all verbs; here each verb prints its own usage.
    for (const std::string &word : words) {
        if (word == "--help" || word == "-h") {
            printHelp(std::cout, words.front());
            return exit_status::ExitOk;
        }
    }
    absl::SetProgramUsageMessage("trefoilrouter VERB [FLAGS]");
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    if (arguments.empty()) {
        printHelp(std::cerr, "");
        return exit_status::ExitUsage;
    }
    const std::string formatName = absl::GetFlag(FLAGS_format);
    if (formatName != "text" && formatName != "json") {
        std::cerr << "trefoilrouter: --format must be text or json, not \"" << formatName << "\"\n";
        return exit_status::ExitUsage;
    }
    return runVerb(arguments.front(), {arguments.begin() + 1, arguments.end()});
}
