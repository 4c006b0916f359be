#include "oriolehold/core/configuration.h"

#include <algorithm>
#include <utility>

namespace oriolehold::core {

namespace {

std::uint32_t indexKey(service_id service, std::uint8_t index)
{
    return std::uint32_t { toInteger(service) } << 8 | index;
}

template<typename Map, typename Key>
auto findOrNull(const Map &map, const Key &key) -> typename Map::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

bool matchesPath(std::string_view classPath, std::string_view path)
{
    return path.starts_with(classPath)
            && (path.size() == classPath.size() || path[classPath.size()] == '/');
}

} // namespace

configuration::configuration(configuration_content content) : m_content(std::move(content))
{
    for (const service &item : m_content.services) {
        m_services.emplace(toInteger(item.id), &item);
        m_servicesByAddress.emplace(item.address, &item);
    }
    for (const upstream &item : m_content.upstreams) {
        m_upstreams.emplace(toInteger(item.id), &item);
        m_upstreamsByIndex.emplace(indexKey(item.service, item.index), &item);
        m_upstreamsByAgent.emplace(item.agent, &item);
        m_upstreamsByService[toInteger(item.service)].push_back(&item);
    }
}

const service *configuration::findService(service_id id) const
{
    return findOrNull(m_services, toInteger(id));
}

const service *configuration::findServiceByAddress(const endpoint &address) const
{
    return findOrNull(m_servicesByAddress, address);
}

const upstream *configuration::findUpstream(upstream_id id) const
{
    return findOrNull(m_upstreams, toInteger(id));
}

const upstream *configuration::findUpstreamByIndex(service_id service, std::uint8_t index) const
{
    return findOrNull(m_upstreamsByIndex, indexKey(service, index));
}

const upstream *configuration::findUpstreamByAgent(const endpoint &agent) const
{
    return findOrNull(m_upstreamsByAgent, agent);
}

std::span<const upstream *const> configuration::upstreamsOf(service_id service) const
{
    const auto found = m_upstreamsByService.find(toInteger(service));
    return found == m_upstreamsByService.end() ? std::span<const upstream *const>()
                                               : std::span<const upstream *const>(found->second);
}

const request_class *findClass(const service &service, request_method method, std::string_view path)
{
    const request_class *best = nullptr;
    for (const request_class &candidate : service.classes) {
        const bool longer = best == nullptr || candidate.path.size() > best->path.size();
        if (candidate.method == method && longer && matchesPath(candidate.path, path))
            best = &candidate;
    }
    return best;
}

} // namespace oriolehold::core
