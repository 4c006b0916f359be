#pragma once

#include <cstdint>

// Decides how often an entry instance considers an upstream whose opening packets are limited.

namespace oriolehold::flow {

// All entry instances get the same reports and do not know how many they are. So each adjusts the
// probability with which it considers the upstream to what the reports say that all of them used.
class opening_share
{
public:
    // Uses the room of a new report. coldRate is the published rate per second; 0: unknown.
    void update(std::uint16_t room, double coldRate);
    double probability() const { return m_probability; }

private:
    // Low enough for 26 instances that see an idle upstream, and reaches its value within a second.
    static constexpr double initialProbability = 0.1;

    double m_probability = initialProbability;
    double m_formerRoom = -1; // of the report before; negative: none
};

} // namespace oriolehold::flow
