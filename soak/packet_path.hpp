#pragma once

#include <emulator/agenda.hpp>

#include <array>
#include <functional>
#include <random>

namespace cairnhead::soak
{

enum class packet_harm : std::uint8_t
{
    lost,
    doubled,
    late,
};

inline constexpr std::size_t packet_harms = 3;

/// What happens to packets on their way, of callers and to upstreams.
/// Thread safety of all methods: none.
class packet_path
{
public:
    /// Precondition: the schedule outlives the object.
    packet_path(emulator::agenda& schedule, std::uint64_t seed)
        : time(schedule), random(seed)
    {
    }

    /// Harms some of the packets until then. No precondition.
    void harm(packet_harm kind, time_point until)
    {
        auto& ends_at = this->harmed_until.at(static_cast<std::size_t>(kind));
        ends_at = std::max(ends_at, until);
    }

    /// Has a packet arrive: once and now, unless it is harmed. No precondition.
    void carry(std::function<void()> const& arrive)
    {
        if (this->strikes(packet_harm::lost, lost_percent))
            return;
        if (this->strikes(packet_harm::doubled, doubled_percent))
            arrive();
        if (!this->strikes(packet_harm::late, late_percent))
            return arrive();
        auto const delay = std::chrono::milliseconds(
            this->random() % longest_delay_milliseconds);
        this->time.add(this->time.now() + delay, arrive);
    }

private:
    // Much more than a network does to packets, and little enough that callers
    // get through by repeating them.
    static constexpr std::uint64_t lost_percent = 5;
    static constexpr std::uint64_t doubled_percent = 10;
    static constexpr std::uint64_t late_percent = 30;
    static constexpr std::uint64_t longest_delay_milliseconds = 300;

    bool strikes(packet_harm kind, std::uint64_t percent)
    {
        auto const until =
            this->harmed_until.at(static_cast<std::size_t>(kind));
        return this->time.now() < until && this->random() % 100 < percent;
    }

    emulator::agenda& time;
    std::mt19937_64 random;
    std::array<time_point, packet_harms> harmed_until{};
};

} // namespace cairnhead::soak
