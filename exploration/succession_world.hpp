#pragma once

#include <exploration/disturbance.hpp>

#include <versions/reader_election.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cairnhead::exploration
{

/// A rule about all VMs of a failure domain together that was broken.
struct succession_violation
{
    enum class rule : std::uint8_t
    {
        /// The platform would serve a VM, and none was served for too long.
        platform_unread,
        /// The platform is back for all, and nobody asked it soon.
        asked_late,
        /// The platform serves nobody, and is called too often.
        too_many_calls,
        /// More VMs than needed go on reading.
        too_many_readers,
    };

    rule broken = rule::platform_unread;
    duration at{};
};

/// As people see it, such as `platform_unread`. Thread safety: no shared state.
[[nodiscard]] std::string to_text(succession_violation const& found);

/// The VMs of one failure domain, as far as reading the platform concerns them:
/// real `reader_election` objects, with calls, heartbeats and views of the
/// members in between. Time passes in steps.
/// Thread safety of all methods: none.
class succession_world
{
public:
    /// Precondition: `vms` is above zero.
    succession_world(std::uint32_t vms, std::vector<disturbance> script);

    /// Plays until all is over and has settled; the first violation, if any.
    /// Precondition: called once.
    [[nodiscard]] std::optional<succession_violation> play();

private:
    struct call
    {
        duration began_at{};
        duration ends_at{};
        bool is_answered = false;
    };

    struct vm
    {
        vm_id id;
        std::optional<reader_election> succession;
        std::optional<call> under_way;
        duration next_call_at{};
        /// Since when the platform would serve it.
        std::optional<duration> able_since;
        duration started_at{};
        duration answered_at{};
        bool is_running = false;
        bool are_peers_stale = true;
    };

    enum class word : std::uint8_t
    {
        heartbeat,
        attempt,
    };

    struct message
    {
        duration due_at{};
        std::uint32_t from = 0;
        vm_id to;
        word said = word::heartbeat;
    };

    [[nodiscard]] time_point now() const;
    [[nodiscard]] bool suffers(disturbance_kind kind, std::uint32_t rank) const;
    [[nodiscard]] bool is_platform(disturbance_kind kind) const;
    [[nodiscard]] bool is_served(std::uint32_t rank) const;
    [[nodiscard]] bool is_unanswered(std::uint32_t rank) const;
    [[nodiscard]] bool is_frozen(std::uint32_t rank) const;
    [[nodiscard]] bool is_quiet_since(duration moment) const;

    void step();
    void start_and_stop();
    void update_views();
    void deliver();
    void proceed(std::uint32_t rank);
    void tell(std::uint32_t from, std::span<vm_id const> to, word said);
    void end_call(std::uint32_t rank);
    void begin_call(std::uint32_t rank);
    void check();
    [[nodiscard]] std::size_t count_able() const;
    [[nodiscard]] bool is_unread() const;
    [[nodiscard]] bool is_asked_late() const;
    [[nodiscard]] bool are_calls_too_many();
    [[nodiscard]] bool are_readers_too_many();
    void note(succession_violation::rule broken);

    std::vector<disturbance> script;
    std::vector<vm> vms;
    std::vector<message> on_their_way;
    std::deque<duration> vain_calls;
    duration passed{};
    duration answered_at{};
    duration asked_at{};
    /// When the platform last came to serve all, after it served nobody.
    std::optional<duration> back_at;
    duration down_since{};
    bool was_down = false;
    std::optional<duration> crowded_since;
    std::optional<succession_violation> found;
};

} // namespace cairnhead::exploration
