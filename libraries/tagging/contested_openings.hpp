#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <registry/tag.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// An opening that this VM sends to an upstream after another one has got it,
/// perhaps from another VM.
struct opening_offer
{
    flow_id flow;
    endpoint caller;
    endpoint destination;
    std::span<std::uint8_t const> bytes;
    std::uint32_t sequence = 0;
    /// Zero if only another VM knows it.
    upstream_tag earlier;
    upstream_tag latest;
};

/// An opening that several upstreams may have got, some of them from this VM.
/// The caller confirms the answer of one of them; each answer of another one
/// changes the tag of the caller's packets.
struct contested_opening
{
    flow_id flow;
    endpoint caller;
    endpoint destination;
    std::vector<std::uint8_t> bytes;
    /// By this VM. Each upstream once. The one that waited longest for a
    /// correction comes first.
    std::vector<upstream_tag> offered_to;
    /// The upstream that the caller confirmed; zero until that is known.
    upstream_tag confirmed;
    /// How often the tags are corrected before a packet shows that one is
    /// still wrong: a correction may be lost.
    std::uint32_t corrections_left = 0;
    /// No packet leads to another correction before this.
    time_point next_correction_at;
    time_point expires_at;
};

/// Openings that several upstreams may have got, for as long as these may
/// repeat their answers.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class contested_openings
{
public:
    /// Records an offer. An opening beyond the bound of the table is not
    /// recorded.
    void record(time_point now, opening_offer const& offer);

    /// The flow's opening, or nullptr; valid until the next change.
    [[nodiscard]] contested_opening* find(flow_id flow);

    /// Removes the flow.
    void remove(flow_id flow);

    /// Removes what has expired.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const;

private:
    absl::flat_hash_map<flow_id, contested_opening> openings;
};

} // namespace cairnhead
