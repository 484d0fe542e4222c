#pragma once

#include <placement/rendezvous.hpp>

#include <optional>
#include <vector>

namespace cairnhead
{

/// Number of different sets of upstreams that are retained for each service.
inline constexpr std::size_t retained_sets = 3;

/// Retains the recent sets of one service's upstreams, newest first, and
/// predicts a flow's upstream where all of them agree.
/// A flow that was opened under an older set and still runs must not be
/// predicted at the upstream that only the newest set yields: its packets would
/// be reset there.
/// No method has a precondition; none is thread-safe.
class prediction_history
{
public:
    /// Puts a set into force. Does nothing when it equals the newest; an equal
    /// older one moves to the front.
    void add(std::vector<weighted_upstream> set);

    /// Returns the upstream that all retained sets yield, or nothing where they
    /// differ.
    [[nodiscard]] std::optional<upstream_id> predict(flow_id flow) const;

    /// Whether all retained sets but the newest yield this upstream. For
    /// callers that already know what the newest yields.
    [[nodiscard]] bool
    do_older_sets_choose(flow_id flow, upstream_id upstream) const;

private:
    std::vector<std::vector<weighted_upstream>> sets;
};

} // namespace cairnhead
