#pragma once

#include <observability/packet_counters.hpp>

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace cairnhead
{

enum class view_freshness : std::uint8_t
{
    expired,
    fresh,
};

/// State of one moment, for the gauges.
struct gauge_values
{
    std::uint64_t pins = 0;
    std::uint64_t members_alive = 0;
    std::uint64_t members_suspect = 0;
    std::uint64_t members_dead = 0;
    std::uint64_t documents_generation = 0;
    view_freshness view = view_freshness::expired;
};

/// An organisation's name, for labels.
struct organisation_name
{
    organisation_id id;
    std::string_view name;
};

/// Organisations with labels of their own. Those beyond share one label, so
/// that the allotment cannot make a scrape grow without bound.
inline constexpr std::size_t maximum_labelled_organisations = 256;

/// All metrics of the process.
/// Thread safety: the methods that change something belong to one thread;
/// the registry may be read by others meanwhile.
class metrics
{
public:
    /// `fault_names`: labels of the malformed packets, in the order of the
    /// indices given to `packet_counters::count_fault`.
    explicit metrics(std::span<std::string_view const> fault_names);

    /// Adds the counts to the registry and sets them to zero.
    /// Precondition: made for as many faults as this object has names.
    void flush(packet_counters& counters);

    /// No precondition.
    void set_gauges(gauge_values const& values);

    /// Names organisations for the labels; call it when documents come into
    /// force. Without a name, the id's digits stand in the label.
    /// No precondition.
    void name_organisations(std::span<organisation_name const> names);

    /// For an exposer. Thread safety: any thread.
    [[nodiscard]] std::shared_ptr<prometheus::Registry> registry() const;

    /// The text that a scrape gives. Thread safety: any thread.
    [[nodiscard]] std::string scrape() const;

private:
    using counter = prometheus::Counter*;
    using gauge = prometheus::Gauge*;
    using histogram = prometheus::Histogram*;

    /// The series of one organisation, found once.
    struct organisation_series
    {
        std::array<counter, count_of_values<refusal_reason>()> refusals{};
        std::array<histogram, count_of_values<flow_class>()> handshakes{};
    };

    void resolve_packet_series(std::span<std::string_view const> fault_names);
    void resolve_gauges();
    [[nodiscard]] std::string label_of(organisation_id id) const;
    [[nodiscard]] organisation_series make_series(std::string const& label);
    organisation_series& series_of(organisation_id id);
    void
    flush_organisation(organisation_id id, organisation_counts const& counts);

    std::shared_ptr<prometheus::Registry> all;
    prometheus::Family<prometheus::Counter>& packets;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Histogram>& handshakes;

    counter to_upstream = nullptr;
    counter dropped = nullptr;
    counter refused = nullptr;
    counter control_sent = nullptr;
    counter control_received = nullptr;
    std::array<counter, count_of_values<frame_role>()> to_peer{};
    std::array<counter, count_of_values<drop_reason>()> drops{};
    std::vector<counter> faults;

    gauge pins = nullptr;
    gauge members_alive = nullptr;
    gauge members_suspect = nullptr;
    gauge members_dead = nullptr;
    gauge documents_generation = nullptr;
    gauge view_fresh = nullptr;

    absl::flat_hash_map<organisation_id, std::string> names;
    absl::flat_hash_map<organisation_id, organisation_series> organisations;
};

} // namespace cairnhead
