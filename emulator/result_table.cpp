#include <emulator/result_table.hpp>

#include <array>
#include <functional>
#include <iomanip>
#include <ostream>

namespace cairnhead::emulator
{

namespace
{

struct column
{
    char const* name;
    int digits;
    std::function<double(run_result const&)> value;
};

std::array<column, 12> const columns{{
    {"vms", 0,
     [](run_result const& one)
     {
         return one.vms;
     }},
    {"bytes/s", 0, &run_result::mean_bytes_per_second},
    {"busiest", 0, &run_result::busiest_bytes_per_second},
    {"across", 0, &run_result::between_domains_per_second},
    {"datagrams/s", 1, &run_result::datagrams_per_second},
    {"cpu%", 3, &run_result::mean_processor_percent},
    {"busiest%", 3, &run_result::busiest_processor_percent},
    {"calls/s", 1, &run_result::platform_calls_per_second},
    {"start ms", 0, &run_result::cold_start_milliseconds},
    {"in force ms", 0, &run_result::in_force_worst_milliseconds},
    {"MB", 2, &run_result::memory_megabytes},
    {"violations", 0,
     [](run_result const& one)
     {
         return static_cast<double>(one.violations);
     }},
}};

constexpr int name_width = 22;
constexpr int value_width = 12;

} // namespace

void print_table(std::span<run_result const> results, std::ostream& out)
{
    out << std::left << std::setw(name_width) << "experiment" << std::right;
    for (column const& each : columns)
        out << std::setw(value_width) << each.name;
    out << '\n';
    for (run_result const& one : results)
    {
        out << std::left << std::setw(name_width) << one.experiment
            << std::right << std::fixed;
        for (column const& each : columns)
            out << std::setw(value_width) << std::setprecision(each.digits)
                << each.value(one);
        out << (one.violations_by_kind.empty() ? "" : "  ")
            << one.violations_by_kind << '\n';
    }
}

void write_csv(std::span<run_result const> results, std::ostream& out)
{
    out << "experiment";
    for (column const& each : columns)
        out << ',' << each.name;
    out << '\n' << std::fixed;
    for (run_result const& one : results)
    {
        out << one.experiment;
        for (column const& each : columns)
            out << ',' << std::setprecision(each.digits) << each.value(one);
        out << '\n';
    }
}

} // namespace cairnhead::emulator
