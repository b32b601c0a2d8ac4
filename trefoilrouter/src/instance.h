#pragma once

#include <memory>
#include <stop_token>

#include <configuration/settings.h>
#include <core/error.h>

namespace trefoil {

/// One entry instance: the wiring of its parts into a supervisor tree.
///
///     instance router(settings);
///     result<void> end = router.run(stop); // until stop is requested, or a part keeps failing
class instance
{
public:
    explicit instance(settings options);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Runs until @p stop is requested, then shuts down gracefully: it leaves the entry answer,
    /// hands its rights over, finishes its streams and ends. Error: the reason of a part that kept
    /// failing.
    result<void> run(const std::stop_token &stop);

private:
    class parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace trefoil
