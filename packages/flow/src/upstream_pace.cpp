#include "oriolehold/flow/upstream_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolehold::flow {

namespace {

constexpr double reportUnit = 1000.0; // the limit is reported in thousandths
// More are as good as no limit, and the report has room for them.
constexpr std::uint32_t maxSlots = 1'000'000;
constexpr int silentServiceTimes = 8;
// A single unanswered request may be a long one.
constexpr std::uint32_t silentRequests = 2;
constexpr std::string_view publishedRate = "published rate of the warm-up";

} // namespace

upstream_pace::upstream_pace(std::unique_ptr<concurrency_limit> limit, load_meter &load)
    : m_limit(std::move(limit)), m_load(load)
{ }

void upstream_pace::setSlots(std::uint32_t slots)
{
    m_slots = std::min(slots, maxSlots);
    if (m_limit)
        m_limit->setMaximum(m_slots + 1.0);
}

void upstream_pace::begin(base::time_point now)
{
    m_silent = false;
    m_begunAt = now;
    m_former = m_load.running();
    m_load.restart(now);
}

void upstream_pace::noticed(const upstream_notice &notice, base::time_point now)
{
    // Instances with an older list name a former start.
    if (!m_limit || notice.incarnation == 0 || notice.incarnation < m_incarnation)
        return;
    const bool first = m_incarnation == 0;
    const bool other = notice.incarnation != m_incarnation;
    m_incarnation = notice.incarnation;
    m_coldRate = notice.coldRate;
    // The remaining time is from a copy of the list, so it may be too long and is never too short.
    const base::time_point end = now + notice.warmUpLeft;
    m_warmUpEndsAt = other ? end : std::min(m_warmUpEndsAt, end);
    if (!other || (first && notice.warmUpLeft.count() == 0))
        return;
    m_limit->upstreamStarted(now);
    begin(now);
    m_formerAreLost = !first;
    m_warmingUp = notice.warmUpLeft.count() > 0;
    m_limit->setWarmingUp(m_warmingUp);
}

void upstream_pace::began(base::time_point now)
{
    if (m_load.running() <= 1)
        m_heardAt = std::max(m_heardAt, now);
}

void upstream_pace::heard(base::time_point now)
{
    m_heardAt = now;
    if (!m_limit || !m_silent)
        return;
    // Requests from before this answer include the time of the silence.
    m_limit->upstreamRecovering(now);
    begin(now);
    m_formerAreLost = false;
}

void upstream_pace::forgetFormer(base::duration age, base::time_point now)
{
    if (m_former > 0 && now - age < m_begunAt)
        --m_former;
}

void upstream_pace::answered(base::duration serviceTime, bool brokenOff, base::time_point now)
{
    if (!m_limit)
        return;
    forgetFormer(serviceTime, now);
    if (brokenOff)
        m_limit->failed(now);
    else
        m_limit->answered(serviceTime, m_load.running() + 1.0, now);
}

void upstream_pace::abandoned(base::duration age, bool timedOut, base::time_point now)
{
    if (!m_limit)
        return;
    forgetFormer(age, now);
    if (timedOut)
        m_limit->failed(now);
}

void upstream_pace::openingsUnanswered(base::time_point now)
{
    if (!m_limit || m_silent)
        return;
    m_silent = true;
    m_limit->upstreamRecovering(now);
}

void upstream_pace::advance(bool stalled, base::time_point now)
{
    if (!m_limit)
        return;
    if (stalled)
        m_heardAt = now;
    const base::duration patience =
            std::max(silenceTime, silentServiceTimes * m_load.meanServiceTime());
    if (m_load.running() >= silentRequests && now - m_heardAt > patience)
        openingsUnanswered(now);
    if (m_warmingUp && now >= m_warmUpEndsAt) {
        m_warmingUp = false;
        m_limit->setWarmingUp(false);
        // The times of the cold upstream would keep flows away from the warm one.
        m_load.restart(now);
    }
    if (!m_silent)
        m_limit->advance(now);
}

double upstream_pace::cappedLimit() const
{
    const double seconds = std::chrono::duration<double>(m_load.meanServiceTime()).count();
    if (!m_warmingUp || m_coldRate <= 0 || seconds <= 0)
        return m_limit->limit();
    return std::clamp(m_coldRate * seconds, 1.0, m_limit->limit());
}

std::uint32_t upstream_pace::limit() const
{
    if (!m_limit || !m_limit->isLimiting() || m_slots == 0)
        return 0;
    // A part of a request above the published rate is left to the limit on opening packets.
    const double own = std::min(std::floor(m_limit->limit()), std::ceil(cappedLimit()));
    const auto allowed = static_cast<std::uint32_t>(own) + m_former;
    return m_formerAreLost ? allowed : std::min(allowed, m_slots + 1);
}

std::uint32_t upstream_pace::concurrency() const
{
    if (!m_limit || !m_limit->isLimiting() || m_slots == 0)
        return 0;
    const double value = std::min<double>(cappedLimit(), m_slots);
    return value < m_slots || m_warmingUp ? static_cast<std::uint32_t>(value * reportUnit) : 0;
}

pace_change upstream_pace::state() const
{
    const bool capped = m_limit && cappedLimit() < std::floor(m_limit->limit());
    return { limit(), m_load.running(),
             capped            ? publishedRate
                     : m_limit ? m_limit->reason()
                               : std::string_view {} };
}

std::optional<pace_change> upstream_pace::change()
{
    if (std::exchange(m_reportedLimit, limit()) == m_reportedLimit)
        return std::nullopt;
    return state();
}

} // namespace oriolehold::flow
