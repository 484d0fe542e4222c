#include "world.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

/// world CASE BINARY TEMPLATE FOLDER RECORD; TROUBLE=0 leaves the disruption
/// out.
int main(int count, char** values)
{
    constexpr int expected_count = 6;
    if (count != expected_count)
    {
        std::cerr << "usage: world CASE BINARY TEMPLATE FOLDER RECORD\n";
        return 2;
    }
    char const* const trouble = std::getenv("TROUBLE");
    review::world::arguments const given{
        .binary = values[2],
        .settings_template = values[3],
        .folder = values[4],
        .record_path = values[5],
        .has_trouble = trouble == nullptr || std::string(trouble) != "0"};
    std::string const wanted = values[1];
    if (wanted == "killed-machines")
        return review::run_killed_machines(given);
    if (wanted == "rolling-restart")
        return review::run_rolling_restart(given);
    if (wanted == "planned-restart")
        return review::run_planned_restart(given);
    return 2;
}
