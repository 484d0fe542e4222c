#pragma once

#include <placement/rendezvous.hpp>

#include <optional>
#include <vector>

namespace cairnhead
{

/// How many different sets of upstreams are remembered for each service.
inline constexpr std::size_t retained_versions = 3;

/// The sets of upstreams that one service has had lately, newest first.
/// A flow opened under an older set and still running must not be predicted
/// at the upstream that only the newest set gives: its packets would be reset
/// there. Therefore only what all sets give is a prediction.
/// Thread safety of all methods: none.
class prediction_history
{
public:
    /// A set is in force. Does nothing when it equals the newest; an equal
    /// older one moves to the front. No precondition.
    void add(std::vector<weighted_upstream> set);

    /// What all retained sets give. No precondition.
    [[nodiscard]] std::optional<upstream_id> predict(flow_id flow) const;

    /// Whether all retained sets but the newest give this upstream; for those
    /// who know already what the newest gives. No precondition.
    [[nodiscard]] bool
    do_older_sets_give(flow_id flow, upstream_id upstream) const;

private:
    std::vector<std::vector<weighted_upstream>> sets;
};

} // namespace cairnhead
