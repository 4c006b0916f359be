#include "oriolehold/flow/opening_share.h"

#include "oriolehold/flow/peer_message.h"

#include <algorithm>
#include <cmath>

namespace oriolehold::flow {

namespace {

constexpr double reportInterval = 0.2; // seconds
// Room that is kept free for random bursts, in report intervals of the published rate, beside the
// room that arises until the next report.
constexpr double reserve = 2.25;
// Fraction of the deviation from the reserve that is made up for within one report interval.
constexpr double correction = 0.5;
// Exponent of the adjustment. The packets of one interval are few, so their number varies.
constexpr double smoothing = 0.4;
constexpr double maxStep = 2;
constexpr double minProbability = 0.002;

} // namespace

void opening_share::update(std::uint16_t room, double coldRate)
{
    if (room == capacity_report::unlimited) {
        *this = {};
        return;
    }
    const double refill = std::max(coldRate * reportInterval, 0.1);
    const double used = m_formerRoom < 0 ? refill : m_formerRoom - room + refill;
    const double wanted = refill + correction * (room - refill * reserve);
    m_formerRoom = room;
    const double smallest = refill / 10;
    const double ratio = std::max(wanted, smallest) / std::max(used, smallest);
    const double step = std::clamp(std::pow(ratio, smoothing), 1 / maxStep, maxStep);
    m_probability = std::clamp(m_probability * step, minProbability, 1.0);
}

} // namespace oriolehold::flow
