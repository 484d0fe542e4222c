#pragma once

#include <event/event.hpp>
#include <event/flow_decision.hpp>
#include <event/platform_called.hpp>
#include <observability/effect_text.hpp>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace cairnhead
{

/// Services with labels of their own; others share one.
inline constexpr std::size_t maximum_labelled_services = 64;

/// Whether a call to the platform was answered as it should be.
enum class call_outcome : std::uint8_t
{
    answered,
    failed,
};

/// What one VM believes, in numbers.
struct belief_gauges
{
    struct document
    {
        std::string name;
        document_version version;
        duration age{};
    };

    std::uint64_t upstreams_ready = 0;
    std::uint64_t upstreams_avoided = 0;
    std::uint64_t upstreams_unreachable = 0;
    std::uint64_t upstreams_draining = 0;
    std::uint64_t upstreams_missing = 0;
    std::uint64_t upstreams_evacuated = 0;
    std::uint64_t evacuated_domains = 0;
    std::vector<document> documents;
    std::uint64_t log_lines_left_out = 0;
    std::uint64_t flow_lines_sampled_out = 0;
    std::uint64_t ratings_in_force = 0;
    /// Since the start.
    std::uint64_t outlier_ejections = 0;
    std::uint64_t observation_messages_sent = 0;
    std::uint64_t observation_messages_received = 0;
    std::uint64_t rating_messages_sent = 0;
    std::uint64_t rating_messages_received = 0;
};

/// Metrics of flows whose packets carry tags, and of what they are placed by.
/// Thread safety: the methods belong to one thread; the registry may be read by
/// others meanwhile.
class flow_metrics
{
public:
    explicit flow_metrics(prometheus::Registry& all);

    /// Counts a decision, by service and step; a caller's confirmation also by
    /// how long the upstream's answer took. No precondition.
    void count(flow_decision const& decided);

    /// A check of an upstream took that long. No precondition.
    void observe_check(connection_outcome outcome, duration took);

    /// A call to the platform took that long. No precondition.
    void observe_call(
        call_outcome outcome, platform_call_reason reason, duration took);

    /// An entry of the registry names no upstream. No precondition.
    void count_rejected_entry();

    /// No precondition.
    void set(belief_gauges const& values);

private:
    using counter = prometheus::Counter*;

    /// The series of one service, found once.
    struct service_series
    {
        std::array<counter, count_of_values<flow_step>()> steps{};
        counter spilled = nullptr;
        prometheus::Histogram* answers = nullptr;
    };

    service_series& series_of(std::string const& service);
    [[nodiscard]] service_series make_series(std::string const& label);
    void set_rating_messages(char const* kind, std::uint64_t count);
    void set_upstreams(char const* state, std::uint64_t count);

    prometheus::Family<prometheus::Counter>& steps;
    prometheus::Family<prometheus::Histogram>& answers;
    prometheus::Family<prometheus::Histogram>& checks;
    prometheus::Family<prometheus::Histogram>& calls;
    prometheus::Family<prometheus::Counter>& rejected_entries;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Counter>& refusals_by_priority;
    prometheus::Family<prometheus::Counter>& spilled;
    prometheus::Family<prometheus::Gauge>& evacuated_domains;
    prometheus::Family<prometheus::Gauge>& upstreams;
    prometheus::Family<prometheus::Gauge>& versions;
    prometheus::Family<prometheus::Gauge>& ages;
    prometheus::Family<prometheus::Gauge>& lines;
    prometheus::Family<prometheus::Gauge>& ratings;
    prometheus::Family<prometheus::Counter>& ejections;
    prometheus::Family<prometheus::Counter>& rating_messages;
    absl::flat_hash_map<std::string, service_series> services;
};

} // namespace cairnhead
