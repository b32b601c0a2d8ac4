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

/// Runs an instance until SIGTERM or SIGINT.
struct serve_options
{
    std::string settingsFile;
};
int runServe(const serve_options &options);

/// Runs an entry instance that is hosted by an external platform until SIGTERM or SIGINT.
struct edge_options
{
    /// Settings file provided by the platform; empty to take its path from the environment.
    std::string settingsFile;
};
int runEdge(const edge_options &options);

/// Prints the log records of several instances that concern one request, sorted by time.
struct explain_options
{
    std::string request;
    /// Log files; empty to read standard input.
    std::vector<std::string> files;
    print_format format = print_format::Text;
};
int runExplain(const explain_options &options);

/// Checks settings and tables and prints all findings. Files with an empty name are skipped.
struct check_options
{
    std::string settingsFile;
    std::string routesFile;
    std::string poolsFile;
    print_format format = print_format::Text;
};
int runCheck(const check_options &options);

/// Checks tables and writes them to the platform by conditional update.
struct apply_options
{
    std::string platform;
    std::string routesFile;
    std::string poolsFile;
};
int runApply(const apply_options &options);

/// Prints the status report of an instance.
struct status_options
{
    /// "address:port" of an instance's operators' listener.
    std::string instance;
    print_format format = print_format::Text;
};
int runStatus(const status_options &options);

/// Issues, lists or withdraws callers' keys.
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
int runKeys(const keys_options &options);

} // namespace trefoil
