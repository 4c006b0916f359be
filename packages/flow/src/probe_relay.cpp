#include "oriolehold/flow/probe_relay.h"

#include <algorithm>

namespace oriolehold::flow {

void probe_relay::begin(std::uint32_t entry, const flow_key &flow, const probe_request &request,
                        base::time_point now)
{
    if (m_searches.size() >= maxSearches || request.machines.empty())
        return;
    relayed_search &search = m_searches.emplace_back();
    search.entry = entry;
    search.result.flow = flow;
    search.result.requestId = request.requestId;
    search.waiting = request.machines.size();
    search.endsAt = now + answerTimeout;
    for (const std::uint32_t machine : request.machines)
        m_sendProbe(machine, request.packet);
}

void probe_relay::end(relayed_search &search)
{
    search.ended = true;
    m_sendResult(search.entry, search.result);
}

void probe_relay::eraseEnded()
{
    while (!m_searches.empty() && m_searches.front().ended)
        m_searches.pop_front();
}

void probe_relay::denied(const flow_key &flow, std::uint32_t machine)
{
    for (relayed_search &search : m_searches) {
        std::vector<std::uint32_t> &machines = search.result.denied;
        if (search.ended || search.result.flow != flow || std::ranges::count(machines, machine) > 0)
            continue;
        machines.push_back(machine);
        if (--search.waiting == 0)
            end(search);
    }
    eraseEnded();
}

void probe_relay::claimed(const flow_key &flow, std::uint32_t machine)
{
    for (relayed_search &search : m_searches) {
        if (search.ended || search.result.flow != flow)
            continue;
        search.result.owner = machine;
        end(search);
    }
    eraseEnded();
}

void probe_relay::expire(base::time_point now)
{
    for (relayed_search &search : m_searches) {
        if (search.endsAt > now)
            break;
        if (!search.ended)
            end(search);
    }
    eraseEnded();
}

base::time_point probe_relay::next() const
{
    return m_searches.empty() ? base::time_point::max() : m_searches.front().endsAt;
}

} // namespace oriolehold::flow
