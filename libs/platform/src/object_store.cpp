#include <platform/object_store.h>

#include <algorithm>

namespace trefoil {

result<object_changes> object_store::snapshot(const std::string &prefix)
{
    result<std::vector<object>> objects = list(prefix);
    if (!objects)
        return tl::unexpected(objects.error());
    object_changes changes {.changed = std::move(*objects)};
    for (const object &each : changes.changed)
        changes.upToVersion = std::max(changes.upToVersion, each.version);
    return changes;
}

} // namespace trefoil
