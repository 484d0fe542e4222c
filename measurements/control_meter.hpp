#pragma once

#include <reducer/reducer.hpp>
#include <wire/authenticator.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Counts what the control events of a fleet cost.
namespace cairnhead::measure
{

/// Control traffic of one VM.
struct vm_traffic
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
};

/// What was counted since the meter's last reset, over all VMs.
struct control_totals
{
    static constexpr std::size_t kind_count = std::variant_size_v<control_body>;

    std::uint64_t datagrams = 0;
    std::uint64_t datagram_bytes = 0;
    std::array<std::uint64_t, kind_count> bytes_by_kind{};
    std::uint64_t peer_fetches = 0;
    std::uint64_t peer_document_bytes = 0;
    std::uint64_t platform_answers = 0;
    std::uint64_t platform_bytes = 0;
    std::uint64_t upstream_probes = 0;
    std::uint64_t control_events = 0;
    duration reducer_time{};
    duration codec_time{};
    std::map<vm_id, vm_traffic> by_vm;
};

/// Stands between a fleet and its reducers. Datagrams are encoded and signed
/// as the runtime does; IP and UDP headers are added. Datagrams that are lost
/// on the way count as received.
/// Thread safety of all methods: none.
class control_meter
{
public:
    control_meter();

    /// Applies the event and counts it; packets are passed through uncounted.
    /// No precondition.
    void
    apply(vm_id vm, reducer& decides, event const& event, effect_list& effects);

    /// Forgets what was counted. No precondition.
    void reset();
    [[nodiscard]] control_totals const& totals() const;

    /// A new version of the watched document was published: its latency ends
    /// when all these VMs have it in force. No precondition.
    void note_publication(
        time_point at, document_version version, std::set<vm_id> const& vms);

    /// A VM died: no publication waits for it. No precondition.
    void forget(vm_id vm);

    /// Of the publications that are in force everywhere. No precondition.
    [[nodiscard]] std::vector<duration> const& latencies() const;
    [[nodiscard]] std::size_t unfinished() const;
    void clear_publications();

private:
    struct publication
    {
        time_point at;
        document_version version;
        std::set<vm_id> missing;
    };

    void note_received(vm_id vm, event const& event);
    void note_received(vm_id vm, document_fetched const& body);
    void note_received(vm_id vm, platform_listed const& body);
    template <typename Other>
    void note_received(vm_id vm, Other const& body);
    void note_sent(vm_id vm, send_control const& body);
    void note_in_force(vm_id vm, reducer const& decides, time_point now);
    void drop_finished();
    [[nodiscard]] std::size_t
    encode_and_decode(vm_id vm, control_body const& body);

    authenticator keys;
    duration overhead;
    control_totals counted;
    std::map<vm_id, std::uint64_t> generations;
    std::vector<publication> waiting;
    std::vector<duration> finished;
    std::vector<std::uint8_t> datagram;
};

/// Name of the document whose publications are timed.
inline constexpr std::string_view watched_document =
    "organisations/association";

} // namespace cairnhead::measure
