#include <platform/object_table.h>

namespace trefoil {

result<object> object_table::get(const std::string &name) const
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return failure(platform_errors::notFound, "object \"" + name + "\" does not exist");
    return found->second;
}

std::vector<object> object_table::list(std::string_view prefix) const
{
    std::vector<object> found;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        found.push_back(it->second);
    }
    return found;
}

result<std::uint64_t> object_table::put(const std::string &name, const std::string &value,
                                        std::uint64_t expected)
{
    const auto found = m_objects.find(name);
    const std::uint64_t current = found == m_objects.end() ? 0 : found->second.version;
    if (current != expected)
        return failure(platform_errors::conflict,
                       "object \"" + name + "\" has version " + std::to_string(current) + ", not "
                           + std::to_string(expected));
    ++m_version;
    m_objects[name] = {.name = name, .version = m_version, .value = value};
    return m_version;
}

object_changes object_table::changesSince(std::string_view prefix, std::uint64_t from) const
{
    object_changes changes {.changed = {}, .upToVersion = m_version};
    for (const object &each : list(prefix)) {
        if (each.version > from)
            changes.changed.push_back(each);
    }
    return changes;
}

} // namespace trefoil
