#pragma once

#include <emulator/topology.hpp>
#include <protocol/control_message.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cairnhead::emulator
{

/// What control cost one VM since the last reset.
struct vm_cost
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t bytes_between_domains = 0;
    std::uint64_t datagrams = 0;
    /// In the reducer, and in encoding and decoding of messages.
    duration processor_time{};
};

/// One change of the registry, and who has it.
struct change_progress
{
    time_point published_at;
    std::size_t document = 0;
    document_version version;
    std::vector<bool> is_in_force;
    std::optional<time_point> last_in_force_at;
};

/// What must not happen.
enum class violation : std::uint8_t
{
    /// A document's version went down on a VM.
    version_fell,
    /// A change was not in force in time on a VM that could learn of it.
    change_late,
    /// A VM that ran and could be reached was declared dead.
    wrong_death,
    /// A VM that started did not know the registry in time.
    start_late,
};

[[nodiscard]] std::string_view to_text(violation kind);

/// Counts what control costs and how long changes take.
/// Thread safety of all methods: none.
class fleet_meter
{
public:
    explicit fleet_meter(std::uint32_t vms);

    /// Forgets costs and changes; violations stay. No precondition.
    void reset(time_point now);

    /// A message went from one VM to another. No precondition.
    void note_message(
        std::uint32_t sender,
        std::uint32_t receiver,
        std::size_t bytes,
        bool is_between_domains,
        std::size_t kind);

    /// Bytes that a VM exchanged with the platform. No precondition.
    void note_platform_call(std::uint32_t vm, std::uint64_t bytes);

    /// A VM spent processor time. No precondition.
    void note_time(std::uint32_t vm, duration spent);

    /// A change was published, of the document of that index. No precondition.
    void note_published(
        time_point now, std::size_t document, document_version version);

    /// A VM has that version in force. No precondition.
    void note_in_force(
        time_point now,
        std::uint32_t vm,
        std::size_t document,
        document_version version);

    void note_violation(violation kind);

    /// The time since the last reset. No precondition.
    [[nodiscard]] duration elapsed(time_point now) const;
    [[nodiscard]] std::vector<vm_cost> const& costs() const;
    [[nodiscard]] std::vector<change_progress> const& changes() const;
    [[nodiscard]] std::uint64_t platform_calls() const;
    [[nodiscard]] std::uint64_t violations() const;
    [[nodiscard]] std::uint64_t violations_of(violation kind) const;
    [[nodiscard]] std::uint64_t bytes_of_kind(std::size_t kind) const;

private:
    static constexpr std::size_t violation_kinds = 4;

    time_point began_at;
    std::vector<vm_cost> by_vm;
    std::vector<change_progress> progress;
    std::uint64_t calls = 0;
    std::array<std::uint64_t, std::variant_size_v<control_body> + 1> by_kind{};
    std::array<std::uint64_t, violation_kinds> found{};
};

} // namespace cairnhead::emulator
