#pragma once

#include "oriolehold/flow/peer_message.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace oriolehold::flow {

// Decides for an entry instance which agents get a notice with the next hello. Notices are
// datagrams and may be lost, so a changed one is repeated.
class notice_schedule
{
public:
    // Three hellos. With more, the notices to all agents after a loss of all machines take
    // processor time that searches need.
    static constexpr std::chrono::seconds repeatTime { 1 };

    // Whether the notice is due. agentBootId identifies the process of the agent: one that was
    // restarted has no notice.
    bool due(std::uint32_t machine, const upstream_notice &notice, std::uint64_t agentBootId,
             base::time_point now);
    // Forgets the machines that are not in the list.
    void keepOnly(std::span<const std::uint32_t> machines);

private:
    struct sent_notice
    {
        upstream_notice notice;
        std::uint64_t agentBootId = 0;
        base::time_point changedAt {};
    };

    boost::unordered_flat_map<std::uint32_t, sent_notice> m_sent; // by machine address
};

} // namespace oriolehold::flow
