#pragma once

#include <string>
#include <vector>

namespace trefoil {

/// Exit statuses of the program.
enum exit_status {
    ExitOk = 0,
    /// The work could not be done.
    ExitFailed = 1,
    /// The command line or a document is wrong.
    ExitUsage = 2
};

/// How tables are printed.
enum class print_format { Text, Json };

/// Runs an instance until SIGTERM or SIGINT.
struct serve_options
{
    std::string settingsFile;
};
int runServe(const serve_options &options);

/// Runs an entry instance on the users' platform until SIGTERM or SIGINT.
struct edge_options
{
    /// The platform's settings file; empty to take the path from the environment.
    std::string settingsFile;
};
int runEdge(const edge_options &options);

/// Prints what the logs of several instances say of one request, in the order of time.
struct explain_options
{
    std::string request;
    /// Log files; empty to read the standard input.
    std::vector<std::string> files;
    print_format format = print_format::Text;
};
int runExplain(const explain_options &options);

/// Checks documents and prints every finding. Empty names are not checked.
struct check_options
{
    std::string settingsFile;
    std::string routesFile;
    std::string poolsFile;
    print_format format = print_format::Text;
};
int runCheck(const check_options &options);

/// Puts checked tables into the platform by conditional update.
struct apply_options
{
    std::string platform;
    std::string routesFile;
    std::string poolsFile;
};
int runApply(const apply_options &options);

/// Prints what an instance reports.
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
