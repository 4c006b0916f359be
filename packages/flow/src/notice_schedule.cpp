#include "oriolehold/flow/notice_schedule.h"

#include <algorithm>

namespace oriolehold::flow {

namespace {

// Revisions and remaining times change without any consequence for the agent.
bool saysTheSame(const upstream_notice &left, const upstream_notice &right)
{
    return left.incarnation == right.incarnation && left.coldRate == right.coldRate
            && left.evacuated == right.evacuated;
}

} // namespace

bool notice_schedule::due(std::uint32_t machine, const upstream_notice &notice,
                          std::uint64_t agentBootId, base::time_point now)
{
    const auto [item, added] = m_sent.try_emplace(machine);
    sent_notice &sent = item->second;
    if (added || !saysTheSame(sent.notice, notice) || sent.agentBootId != agentBootId)
        sent.changedAt = now;
    sent.notice = notice;
    sent.agentBootId = agentBootId;
    return notice.evacuated || notice.warmUpLeft.count() > 0 || now - sent.changedAt < repeatTime;
}

void notice_schedule::keepOnly(std::span<const std::uint32_t> machines)
{
    boost::unordered::erase_if(m_sent, [&](const auto &item) {
        return std::ranges::find(machines, item.first) == machines.end();
    });
}

} // namespace oriolehold::flow
