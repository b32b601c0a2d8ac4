#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/marshalling.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>

#include "verbs.h"

ABSL_FLAG(std::string, settings, "", "settings file of the instance");
ABSL_FLAG(std::string, routes, "", "file with the routes table");
ABSL_FLAG(std::string, pools, "", "file with the pools table");
ABSL_FLAG(std::string, configuration, "",
          "file or folder with the platform's configuration and tables");
ABSL_FLAG(std::string, in_force, "", "file with the version in force, to compare with");
ABSL_FLAG(std::string, store, "", "address:port of the store that holds the version in force");
ABSL_FLAG(bool, json, false, "print JSON");
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
         {"prints every finding in settings, tables and configuration; exit 1 on any",
          "trefoilrouter check [--settings FILE] [--routes FILE] [--pools FILE]\n"
          "       [--configuration FILE|FOLDER] [--in-force FILE | --store ADDRESS:PORT]\n"
          "       [--json | --format text|json]"}},
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
    return absl::GetFlag(FLAGS_json) || absl::GetFlag(FLAGS_format) == "json"
        ? trefoil::print_format::Json
        : trefoil::print_format::Text;
}

trefoil::check_output checkOutput()
{
    if (absl::GetFlag(FLAGS_json))
        return trefoil::check_output::Report;
    return format() == trefoil::print_format::Json ? trefoil::check_output::FindingList
                                                   : trefoil::check_output::Text;
}

/// Returns what is wrong with the flags among @p words, or "". Abseil would end the program with
/// status 1, which tells the callers of a verb that its operation failed.
std::string findWrongFlag(const std::vector<std::string> &words)
{
    for (std::size_t i = 0; i < words.size(); ++i) {
        const std::string &word = words[i];
        if (word == "--")
            return "";
        if (word.size() < 2 || word.front() != '-')
            continue;
        const std::size_t start = word.starts_with("--") ? 2 : 1;
        const std::size_t equals = word.find('=');
        const bool hasValue = equals != std::string::npos;
        const std::string name = word.substr(start, hasValue ? equals - start : equals);
        const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr && name.starts_with("no") && !hasValue) {
            flag = absl::FindCommandLineFlag(name.substr(2));
            if (flag != nullptr && flag->IsOfType<bool>())
                continue;
            flag = nullptr;
        }
        if (flag == nullptr)
            return "unknown flag \"" + word.substr(0, equals) + "\"";
        if (flag->IsOfType<bool>()) {
            bool value = false;
            std::string error;
            if (hasValue && !absl::ParseFlag(word.substr(equals + 1), &value, &error))
                return "flag \"--" + name + "\" must be true or false";
        } else if (!hasValue && ++i == words.size()) {
            return "flag \"--" + name + "\" needs a value";
        }
    }
    return "";
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
                                  .configuration = absl::GetFlag(FLAGS_configuration),
                                  .inForceFile = absl::GetFlag(FLAGS_in_force),
                                  .store = absl::GetFlag(FLAGS_store),
                                  .output = checkOutput()});
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
    std::vector<std::string> words(argv + 1, argv + argc);
    // Abseil's --help would list the flags of all verbs; here each verb prints its own usage.
    for (const std::string &word : words) {
        if (word == "--help" || word == "-h") {
            printHelp(std::cout, words.front());
            return exit_status::ExitOk;
        }
    }
    absl::SetProgramUsageMessage("trefoilrouter VERB [FLAGS]");
    // Abseil's names of flags have no hyphens.
    for (std::string &word : words) {
        if (word == "--in-force" || word.starts_with("--in-force="))
            word.replace(0, std::string_view("--in-force").size(), "--in_force");
    }
    if (const std::string wrong = findWrongFlag(words); !wrong.empty()) {
        std::cerr << "trefoilrouter: " << wrong << "\n";
        return exit_status::ExitUsage;
    }
    std::vector<char *> commandLine {argv[0]};
    for (std::string &word : words)
        commandLine.push_back(word.data());
    const std::vector<char *> positional =
        absl::ParseCommandLine(static_cast<int>(commandLine.size()), commandLine.data());
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
