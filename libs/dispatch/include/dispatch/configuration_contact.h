#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <core/clock.h>

namespace trefoil {

/// Options of a configuration_contact.
struct configuration_contact_options
{
    /// Time without news after which a newer configuration may be in force unnoticed.
    duration maxSilence = std::chrono::seconds(3);
    /// Time after which a newer configuration that another instance knows counts as missed.
    duration maxTimeBehind = std::chrono::seconds(1);
};

/// Decides whether the configuration that an instance knows may be taken for the one in force. It
/// is confirmed by an answer of the store, or by a report of an instance that has had one and knows
/// no newer configuration. If neither arrives, an outage that most instances see stops all changes;
/// a smaller one cuts off this instance, which then may miss a change. Not thread-safe.
class configuration_contact
{
public:
    explicit configuration_contact(const configuration_contact_options &options)
        : m_options(options)
    { }

    /// Records that the store stated at @p at that there is no newer configuration.
    void recordStoreAnswer(timestamp at) { m_confirmedAt = std::max(m_confirmedAt, at); }
    /// Records a report of another instance, which last had an answer of the store at
    /// @p storeAnsweredAt.
    void recordReport(timestamp now, std::string_view instance,
                      std::optional<timestamp> storeAnsweredAt);
    /// Sets since when another instance is known to have a newer configuration, if one has.
    void setBehindSince(std::optional<timestamp> since) { m_behindSince = since; }
    /// Returns whether another instance is known to have a newer configuration.
    bool isBehind() const { return m_behindSince.has_value(); }
    /// Returns when the store last stated, to this instance or another one, that there is no newer
    /// configuration.
    timestamp confirmedAt() const { return m_confirmedAt; }
    /// Returns whether the configuration may be taken for the one in force. @p otherInstances is
    /// the number of listed instances other than this one.
    bool isConfirmed(timestamp now, std::size_t otherInstances) const;

private:
    configuration_contact_options m_options;
    timestamp m_confirmedAt {};
    std::optional<timestamp> m_behindSince;
    /// Time of the last report, by instance.
    std::map<std::string, timestamp, std::less<>> m_reportedAt;
};

} // namespace trefoil
