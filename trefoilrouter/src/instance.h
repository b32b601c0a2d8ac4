#pragma once

#include <memory>
#include <stop_token>

#include <configuration/settings.h>
#include <core/error.h>

namespace trefoil {

/// An entry instance: creates its components and runs them in a supervisor tree.
///
///     instance router(settings);
///     // Blocks until stop is requested or a component keeps failing.
///     result<void> outcome = router.run(stop);
class instance
{
public:
    explicit instance(settings options);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Runs until @p stop is requested, then shuts down gracefully: it leaves the entry list, hands
    /// over its leases and waits for open streams. Error: that of the component that kept failing.
    result<void> run(const std::stop_token &stop);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace trefoil
