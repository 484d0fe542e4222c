#pragma once

#include "loop.hpp"
#include "packet.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// One machine of the system and its process.
struct machine
{
    std::string name;
    std::string zone;
    std::uint32_t address = 0;
    std::uint32_t store_address = 0;
    pid_t process = -1;
    time_point started_at;
    bool is_meant_to_run = false;
    bool is_in_rotation = false;
    int misses = 0;
};

/// The machines of the system, the platform's prober, and its routers.
class fleet
{
public:
    struct options
    {
        std::string binary;
        std::string settings_template;
        std::string folder;
        std::vector<std::uint32_t> seeds;
    };

    fleet(loop& on, record& into, options chosen);
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;
    /// Ends all processes that it started.
    ~fleet();

    void add(machine const& one);
    void start(std::string const& name);
    void start_all();
    void kill(std::string const& name, int signal);
    [[nodiscard]] machine const& find(std::string const& name) const;
    [[nodiscard]] std::vector<machine> const& all() const;
    [[nodiscard]] bool are_all_in_rotation() const;
    /// Whether each machine's process was started after that time.
    [[nodiscard]] bool have_all_started(time_point after) const;

    /// The machine to which the routers of the zone send the packet.
    [[nodiscard]] machine const*
    route(std::string const& zone, packet const& sent) const;

private:
    struct probe;

    [[nodiscard]] machine& get(std::string const& name);
    [[nodiscard]] std::string write_settings(machine const& one) const;
    void probe_all();
    void start_probe(std::string const& name);
    void end_probe(std::string const& name, bool is_ready);
    void reap();

    loop& events;
    record& seen;
    options chosen;
    std::vector<machine> machines;
};

} // namespace review
