#pragma once

#include <cstdio>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Least-squares lines through measured points, and tables of them in Markdown.

namespace oriolehold::capacity {

struct point
{
    double x = 0.0;
    double y = 0.0;
};

// y = intercept + slope * x
struct fitted_line
{
    double slope = 0.0;
    double intercept = 0.0;
    double rSquared = 1.0; // R squared
};

inline fitted_line fitLine(std::span<const point> points)
{
    double meanX = 0.0;
    double meanY = 0.0;
    for (const point &item : points) {
        meanX += item.x / static_cast<double>(points.size());
        meanY += item.y / static_cast<double>(points.size());
    }
    double xx = 0.0;
    double xy = 0.0;
    double yy = 0.0;
    for (const point &item : points) {
        xx += (item.x - meanX) * (item.x - meanX);
        xy += (item.x - meanX) * (item.y - meanY);
        yy += (item.y - meanY) * (item.y - meanY);
    }
    fitted_line result;
    result.slope = xy / xx;
    result.intercept = meanY - result.slope * meanX;
    result.rSquared = yy > 0.0 ? xy * xy / (xx * yy) : 1.0;
    return result;
}

// Table with one column per quantity over the same x, and the fitted line of each column below it.
class slope_table
{
public:
    slope_table(std::string_view title, std::string_view xName,
                const std::vector<std::string_view> &quantities)
        : m_title(title), m_xName(xName), m_quantities(quantities.begin(), quantities.end()),
          m_points(m_quantities.size())
    { }

    void add(double x, std::span<const double> values)
    {
        for (std::size_t i = 0; i < m_points.size(); ++i)
            m_points[i].push_back({ x, values[i] });
    }

    void print() const
    {
        std::printf("\n### %s\n\n| %s |", m_title.c_str(), m_xName.c_str());
        for (const std::string &name : m_quantities)
            std::printf(" %s |", name.c_str());
        std::printf("\n|---|");
        for (std::size_t i = 0; i < m_quantities.size(); ++i)
            std::printf("---|");
        for (std::size_t row = 0; row < m_points.front().size(); ++row) {
            std::printf("\n| %.0f |", m_points.front()[row].x);
            for (const std::vector<point> &column : m_points)
                std::printf(" %.6g |", column[row].y);
        }
        std::printf("\n| **slope per unit** |");
        for (const std::vector<point> &column : m_points)
            std::printf(" %.4g |", fitLine(column).slope);
        std::printf("\n| **intercept** |");
        for (const std::vector<point> &column : m_points)
            std::printf(" %.4g |", fitLine(column).intercept);
        std::printf("\n| **R squared** |");
        for (const std::vector<point> &column : m_points)
            std::printf(" %.3f |", fitLine(column).rSquared);
        std::printf("\n");
        std::fflush(stdout);
    }

private:
    std::string m_title;
    std::string m_xName;
    std::vector<std::string> m_quantities;
    std::vector<std::vector<point>> m_points;
};

} // namespace oriolehold::capacity
