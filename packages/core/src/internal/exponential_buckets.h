#pragma once

#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/accumulators/numeric/functional.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

// Boost.Accumulators feature that counts samples in buckets whose upper bounds are powers of two.

namespace oriolehold::core::internal {

// Bucket i counts samples in (2^(i-1), 2^i]; the first also counts smaller ones, the last all
// larger ones. 2^27 microseconds are 134 s, beyond every deadline in use.
inline constexpr std::size_t exponentialBucketCount = 29;
using bucket_counts = std::array<std::uint64_t, exponentialBucketCount>;

template<typename Sample>
class exponential_buckets_impl : public boost::accumulators::accumulator_base
{
public:
    using result_type = const bucket_counts &;

    exponential_buckets_impl(boost::accumulators::dont_care /*args*/) { }

    template<typename Args>
    void operator()(const Args &args)
    {
        const Sample value = args[boost::accumulators::sample];
        const auto whole = static_cast<std::uint64_t>(value);
        const std::size_t index = whole <= 1 ? 0 : std::bit_width(whole - 1);
        ++m_counts[std::min(index, exponentialBucketCount - 1)];
    }

    result_type result(boost::accumulators::dont_care /*args*/) const { return m_counts; }

private:
    bucket_counts m_counts {};
};

struct exponential_buckets_tag : boost::accumulators::depends_on<>
{
    using impl = exponential_buckets_impl<boost::mpl::_1>;
};

inline const boost::accumulators::extractor<exponential_buckets_tag> exponentialBuckets {};

} // namespace oriolehold::core::internal
