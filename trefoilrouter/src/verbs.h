#pragma once

#include <string>
#include <vector>

namespace trefoil {

/// Exit codes of the program.
enum exit_status {
    ExitOk = 0,
    /// The operation failed.
    ExitFailed = 1,
    /// The command line, the settings or a table is invalid.
    ExitUsage = 2
};

/// Output format.
enum class print_format { Text, Json };

struct serve_options
{
    std::string settingsFile;
};
/// Runs an instance until SIGTERM or SIGINT.
int runServe(const serve_options &options);

struct edge_options
{
    /// Settings file provided by the platform; empty to take its path from the environment.
    std::string settingsFile;
};
/// Runs an entry instance that is hosted by an external platform until SIGTERM or SIGINT.
int runEdge(const edge_options &options);

struct explain_options
{
    std::string request;
    /// Log files; empty to read standard input.
    std::vector<std::string> files;
    print_format format = print_format::Text;
};
/// Prints the log records of several instances that concern one request, sorted by time.
int runExplain(const explain_options &options);

/// What check prints: text, a JSON object with findings and differences, or only a JSON list of the
/// findings.
enum class check_output { Text, Report, FindingList };

struct check_options
{
    std::string settingsFile;
    std::string routesFile;
    std::string poolsFile;
    /// A document, or a folder with documents.
    std::string configuration;
    /// The version in force of one of the documents.
    std::string inForceFile;
    /// "address:port" of the store that holds the version in force and the servers.
    std::string store;
    check_output output = check_output::Text;
};
/// Checks settings, tables and the platform's configuration, and prints all findings and the
/// differences from the version in force. Empty names are skipped. Returns 1 if there are findings,
/// 2 if the check could not run.
int runCheck(const check_options &options);

struct apply_options
{
    std::string platform;
    std::string routesFile;
    std::string poolsFile;
};
/// Checks tables and writes them to the platform by conditional update.
int runApply(const apply_options &options);

struct status_options
{
    /// "address:port" of an instance's operators' listener.
    std::string instance;
    print_format format = print_format::Text;
};
/// Prints the status report of an instance.
int runStatus(const status_options &options);

struct keys_options
{
    std::string platform;
    /// issue, list or withdraw.
    std::string action;
    std::string team;
    std::string name;
    /// The first digits of the digest of the key to withdraw.
    std::string digest;
    print_format format = print_format::Text;
};
/// Issues, lists or withdraws callers' keys.
int runKeys(const keys_options &options);

} // namespace trefoil
