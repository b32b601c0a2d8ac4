#pragma once

namespace trefoil {

/// Returns the factor, 1 to 8, by which a demand has certainly grown, given the units requested in
/// two equal times and the average units of a request. Thread-safe.
double certainGrowth(double before, double current, double size);

/// Estimates the present demand of a team on all instances of which some report late: it takes
/// their demand to have grown as that of the instances that are heard without delay. Not
/// thread-safe.
///
/// Handles a jump in demand beside late reports, and tells it from callers that move to other
/// instances: these ask for more at one instance and for less at another. All demands are the units
/// requested in a time that is the same for all instances.
class demand_estimate
{
public:
    /// @p usual is the mean demand of an instance that had any. @p size is the average units of a
    /// request.
    demand_estimate(double usual, double size) : m_usual(usual), m_size(size) { }

    /// Sets the demand on this instance.
    void setOwn(double before, double current) { m_own = {.before = before, .current = current}; }
    /// Adds another instance whose present demand is known.
    void addKnown(double before, double current);
    /// Adds another instance of which only an earlier demand is known.
    void addLate(double before) { m_late += before; }

    /// Returns what is certain of the present demand.
    double certain() const;

private:
    struct sample
    {
        double before = 0;
        double current = 0;
    };

    bool isUsual(double before) const;

    double m_usual;
    double m_size;
    sample m_own;
    /// Other instances that already had a usual demand.
    sample m_known;
    /// Present demand of other instances that had little or none before. Their growth says nothing
    /// about others.
    double m_arrived = 0;
    double m_late = 0;
};

} // namespace trefoil
