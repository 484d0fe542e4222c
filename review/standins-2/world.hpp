#pragma once

#include "caller.hpp"
#include "fleet.hpp"
#include "host.hpp"
#include "loop.hpp"
#include "store.hpp"

#include <memory>
#include <string>
#include <vector>

namespace review
{

/// One route of the operator's configuration.
struct route
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    std::string kind;
    std::string service;
};

/// A small deployment on loopback: three zones with two machines and four
/// hosts each, two of either service.
struct world
{
    /// As in the users' example of a configuration.
    static constexpr milliseconds usual_idle_timeout{15'000};

    struct arguments
    {
        std::string binary;
        std::string settings_template;
        std::string folder;
        std::string record_path;
        bool has_trouble = true;
    };

    explicit world(arguments const& given);

    /// Starts all machines, and waits until the platform uses them.
    void start();
    /// The operator publishes a configuration. `idle_timeout` is its limit
    /// `idleTimeoutMs`.
    void publish(
        int version,
        std::vector<route> const& routes,
        milliseconds idle_timeout = usual_idle_timeout);

    bool has_trouble;
    loop events;
    record seen;
    unsigned prefix;
    store registry;
    std::vector<std::unique_ptr<host>> hosts;
    std::unique_ptr<fleet> machines;
    /// In the first zone.
    std::unique_ptr<caller> client;
    /// An address of the platform; it stands only in packets.
    std::uint32_t first_route;
};

/// The cases; each returns 1 if the rule was broken and 0 if it held.
int run_killed_machines(world::arguments const& given);
int run_rolling_restart(world::arguments const& given);
int run_planned_restart(world::arguments const& given);

} // namespace review
