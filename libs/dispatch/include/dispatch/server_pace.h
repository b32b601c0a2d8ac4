#pragma once

#include <core/clock.h>

namespace trefoil {

/// Options of a server_pace.
struct server_pace_options
{
    /// Time in which the weight of a reading falls to 1/e. A pace changes many times a second, so
    /// one reading describes a moment only. A server answers an instance a few times a second: one
    /// second averages over several readings, and is no longer than a prefill and its queue, for
    /// which the estimate is used.
    duration timeConstant = std::chrono::seconds(1);
    /// Readings closer together than this count partially: responses that end together describe the
    /// same moment.
    duration spacing = std::chrono::milliseconds(50);
    /// Weight, in readings, of the assumption that the pace has not changed. One reading moves the
    /// estimate by a third of the difference.
    double priorWeight = 2;
    /// Bounds of a reading as a factor. A machine under other work was seen to be 2.5 times slower;
    /// a larger statement would direct all traffic by itself.
    double minFactor = 0.5;
    double maxFactor = 4;
};

/// Estimates from a server's own statements how much longer than usual its work takes now. Not
/// thread-safe.
///
/// Handles servers that other work on their machine makes up to 2.5 times slower, many times a
/// second: what an instance measures itself follows only after about ten requests. What it measures
/// already includes the pace of that time, so factor() is relative to it: a slowdown that has been
/// measured is not counted again, and a server that always states the same pace gains and loses
/// nothing by it.
class server_pace
{
public:
    server_pace() = default;
    explicit server_pace(const server_pace_options &options) : m_options(options) { }

    /// Records that the server stated @p pace, 100 for the usual speed and more for a slower one.
    /// Ignored unless positive. Precondition: @p now does not decrease.
    void record(timestamp now, double pace);
    /// Returns the factor by which work takes longer at @p now than at @p measuredPace, the average
    /// of pace() during the measurements that the factor is applied to. It is 1 without readings
    /// and returns to 1 as they age.
    double factor(timestamp now, double measuredPace = 1) const;
    /// Returns the average of the readings as a factor of the usual time, 1 without readings.
    double pace() const;

private:
    double weightAt(timestamp now) const;

    server_pace_options m_options;
    /// Sum of the weights of the readings at m_recordedAt.
    double m_weight = 0;
    /// Weighted mean of the readings' logarithms, so that a single extreme one counts little.
    double m_meanLog = 0;
    timestamp m_recordedAt;
};

} // namespace trefoil
