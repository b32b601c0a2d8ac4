#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/digest.h>
#include <dispatch/load_board.h>
#include <dispatch/team_limits.h>
#include <rollout/evidence.h>

namespace trefoil {

/// A crash of a server and a request that ran on it then.
struct crash_note
{
    digest128 request;
    std::string event;
};

/// Outcomes of one release on one route, as one instance has counted them since it started.
struct release_outcomes
{
    std::string service;
    std::string release;
    std::string route;
    outcome_counts counts;
};

/// What an instance tells the others every few hundred milliseconds. Each report stands by itself,
/// so that lost ones do no harm.
struct peer_report
{
    std::string from;
    /// Start of the process in milliseconds since 1970.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    /// Milliseconds until the next report.
    double periodMs = 0;
    /// How long the instance's threads wait for its processor, in milliseconds.
    double delayMs = 0;
    /// Newest store revision that the instance has seen, by kind of object.
    std::map<std::string, std::uint64_t, std::less<>> revisions;
    std::map<std::string, server_load, std::less<>> load;
    admitted_totals admitted;
    admitted_totals levels;
    admitted_totals askedRates;
    std::vector<placed_parts> placed;
    std::vector<crash_note> crashes;
    /// Servers that load weights by this instance's order.
    std::vector<std::string> loading;
    /// Servers at whose addresses others answer.
    std::vector<std::string> gone;
    /// Servers that can't be reached from there.
    std::vector<std::string> unreachable;
    /// Newest weights seen in answers, by server; model names are joined in front of "=".
    std::map<std::string, std::uint64_t, std::less<>> weights;
    /// Milliseconds since weights were named, by "model=version": a restarted instance can't know.
    std::map<std::string, std::uint64_t, std::less<>> namedAgeMs;
    /// Milliseconds since the instance heard the platform's store; nothing before the first time.
    std::optional<std::uint64_t> storeHeardAgoMs;
    /// Epoch of the duty that the instance holds, 0 for none.
    std::uint64_t dutyEpoch = 0;
    std::vector<release_outcomes> releases;
    /// Epochs of the stores of KV cache by address as the holder of the duty sees them, 0 while one
    /// doesn't answer. Nothing from instances that don't ask them.
    std::map<std::string, std::uint64_t, std::less<>> storeEpochs;
};

/// Weights as reports and records name them.
struct weights_name
{
    std::string model;
    std::uint64_t version = 0;
};

/// Returns "model=version". Thread-safe.
std::string weightsKey(std::string_view model, std::uint64_t version);
/// Parses what weightsKey() wrote; nothing on any other text. Thread-safe.
std::optional<weights_name> parseWeightsKey(std::string_view text);

/// Returns the datagram. Thread-safe.
std::string toText(const peer_report &report);

/// Reads what toText() wrote; nothing where it is malformed. Thread-safe.
std::optional<peer_report> peerReportFromText(std::string_view text);

} // namespace trefoil
