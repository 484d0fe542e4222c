#pragma once

#include <emulator/flow_packet.hpp>
#include <emulator/traffic_meter.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead::soak
{

using emulator::flow_number;

/// What must not happen, whatever is done to the programs.
enum class broken_promise : std::uint8_t
{
    /// A flow ended though its upstream served and could be reached.
    living_flow_reset,
    /// Nobody answered though a VM and an upstream could be reached.
    living_flow_hung,
    /// A packet reached an upstream of another service.
    wrong_service,
    /// Two upstreams worked on one request, or one upstream twice.
    run_twice,
    /// An upstream worked for a flow whose opening was refused.
    run_though_refused,
    /// A caller got what belongs to another request.
    wrong_answer,
    /// An upstream that drains got a new flow after the bound.
    new_at_leaving,
    /// A caller was refused while an upstream could take its flow.
    refused_in_vain,
    /// A route was served, or was not, as an older configuration has it.
    old_configuration,
    /// A VM's process ended by itself.
    vm_ended,
    /// Memory, threads or descriptors of a VM beyond their bounds.
    unbounded,
    /// After the last fault the system did not serve as before.
    not_recovered,
    /// A VM that was told to stop was still sent callers after the bound.
    in_use_after_stop,
};

inline constexpr std::size_t promises = 13;

[[nodiscard]] std::string_view to_text(broken_promise kind);

/// What callers and upstreams saw in one run.
/// Thread safety of all methods: none.
class soak_record
{
public:
    /// `what` names the parties. No precondition.
    void note(time_point now, broken_promise kind, std::string_view what);

    /// A request ended. No precondition.
    void note_end(emulator::request_end how);

    /// An upstream begins to work on a request; an opening was refused. Tells
    /// whether that breaks a promise. No precondition.
    void note_run(
        time_point now,
        flow_number flow,
        std::uint32_t request,
        std::string_view upstream);
    void note_refusal(flow_number flow);

    [[nodiscard]] std::uint64_t violations() const;
    [[nodiscard]] std::uint64_t violations_of(broken_promise kind) const;
    [[nodiscard]] std::uint64_t requests() const;
    [[nodiscard]] std::uint64_t ended(emulator::request_end how) const;

    /// All that was noted, one line each. No precondition.
    [[nodiscard]] std::vector<std::string> const& lines() const;

private:
    std::array<std::uint64_t, promises> found{};
    std::array<std::uint64_t, emulator::request_ends> ends{};
    std::vector<std::string> told;
    /// Flow and request.
    absl::flat_hash_set<std::uint64_t> executed;
    absl::flat_hash_set<flow_number> refused;
};

} // namespace cairnhead::soak
