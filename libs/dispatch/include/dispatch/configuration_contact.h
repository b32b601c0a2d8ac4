#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <core/clock.h>
#include <dispatch/report_lateness.h>

namespace trefoil {

/// Options of a configuration_contact.
struct configuration_contact_options
{
    /// Time without news after which a newer configuration may be in force unnoticed.
    duration maxSilence = std::chrono::seconds(3);
    /// Time after which a newer configuration that another instance knows counts as missed.
    duration maxTimeBehind = std::chrono::seconds(1);
    /// Time within which a confirmed change must be in force.
    duration applyTime = std::chrono::seconds(2);
};

/// What a report of another instance says of its configuration.
struct configuration_report
{
    std::string_view instance;
    /// Start time of the sender's process in milliseconds since 1970.
    std::uint64_t incarnation = 0;
    /// Time since the sender's start; nothing if an older build sent the report.
    std::optional<duration> uptime {};
    /// Time between the last confirmation of the configuration and the report, if it was confirmed.
    std::optional<duration> confirmedAgo {};
};

/// Decides whether the configuration that an instance knows may be taken for the one in force. It
/// is confirmed by an answer of the store about it, directly or through reports of other instances.
/// If neither arrives, an outage that most instances see stops all changes; a smaller one cuts off
/// this instance, which then may miss a change. Not thread-safe.
class configuration_contact
{
public:
    explicit configuration_contact(const configuration_contact_options &options)
        : m_options(options)
    { }

    /// Records that the store stated at @p at that there is no newer configuration.
    void recordStoreAnswer(timestamp at) { m_confirmedAt = std::max(m_confirmedAt, at); }
    /// Records a report of another instance that arrived at @p now. What it says is as old as the
    /// report, which report_lateness estimates. Precondition: if the sender's configuration
    /// is newer than this instance's, setBehindSince() has been called.
    void recordReport(timestamp now, const configuration_report &report);
    /// Sets since when another instance is known to have a newer configuration, if one has.
    void setBehindSince(std::optional<timestamp> since) { m_behindSince = since; }
    /// Returns whether another instance is known to have a newer configuration.
    bool isBehind() const { return m_behindSince.has_value(); }
    /// Returns when the store last stated, to this instance or another one, that there is no newer
    /// configuration.
    timestamp confirmedAt() const { return m_confirmedAt; }
    /// Returns what other instances may rely on: confirmedAt(), or nothing while it may have been
    /// said of a newer configuration than the one that this instance knows.
    std::optional<timestamp> confirmationForOthers() const;
    /// Returns whether the configuration may be taken for the one in force. @p otherInstances is
    /// the number of listed instances other than this one.
    bool isConfirmed(timestamp now, std::size_t otherInstances) const;
    /// Returns whether no newer configuration can have to be in force: what this one doesn't allow
    /// may be refused for good. Stricter than isConfirmed(), as a store that was away for all may
    /// have confirmed a change since its return.
    bool isCurrent(timestamp now) const;

private:
    struct reporting_instance
    {
        timestamp heardAt;
        std::uint64_t incarnation = 0;
        report_lateness lateness;
    };

    configuration_contact_options m_options;
    timestamp m_confirmedAt {};
    std::optional<timestamp> m_behindSince;
    std::map<std::string, reporting_instance, std::less<>> m_reporting;
};

} // namespace trefoil
