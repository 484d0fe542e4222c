#pragma once

#include <absl/container/flat_hash_set.h>
#include <runtime/datagram_fault.hpp>
#include <runtime/receive_batch.hpp>
#include <settings/settings.hpp>

#include <variant>

namespace cairnhead
{

/// Reads what the fabric sent: callers' packets in GUE.
/// Thread safety: concurrent calls of const methods are safe.
class packet_ingest
{
public:
    explicit packet_ingest(fabric_settings const& settings);

    using result = std::variant<packet_view, datagram_fault>;

    /// Reads one datagram; the view is into its bytes. `oldest_accepted` is
    /// the moment before which a datagram is too old. No precondition.
    [[nodiscard]] result
    read(received_datagram const& datagram, wall_time oldest_accepted) const;

private:
    [[nodiscard]] bool is_from_fabric(ipv4_address source) const;
    [[nodiscard]] packet_result
    read_content(std::span<std::uint8_t const> bytes) const;

    fabric_encapsulation form;
    absl::flat_hash_set<ipv4_address> sources;
};

} // namespace cairnhead
