#include <observability/metrics.hpp>

#include <numeric>
#include <prometheus/text_serializer.h>
#include <utility>

namespace cairnhead
{

namespace
{

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

constexpr char shared_label[] = "other";

Family<Counter>&
make_counter_family(Registry& registry, char const* name, char const* help)
{
    return BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Gauge>&
make_gauge_family(Registry& registry, char const* name, char const* help)
{
    return BuildGauge().Name(name).Help(help).Register(registry);
}

Family<Histogram>& make_handshake_family(Registry& registry)
{
    return BuildHistogram()
        .Name("cairnhead_handshake_seconds")
        .Help("Time from an opening to the caller's confirmation.")
        .Register(registry);
}

/// Adds one series for each value of an enumeration.
template <typename Enumeration, std::size_t Size>
void add_series(
    std::array<Counter*, Size>& series,
    Family<Counter>& family,
    std::string const& label,
    std::string const& prefix = {})
{
    static_assert(Size == count_of_values<Enumeration>());
    for (std::size_t index = 0; index < Size; ++index)
    {
        auto const name = to_text(static_cast<Enumeration>(index));
        series[index] = &family.Add({{label, prefix + std::string(name)}});
    }
}

/// Moves counts into series, and returns their sum.
template <typename Counts, typename Series>
double move_counts(Counts& counts, Series const& series)
{
    double sum = 0;
    std::size_t index = 0;
    for (auto& count : counts)
    {
        auto* const target = series[index++];
        if (count == 0)
            continue;
        auto const value = static_cast<double>(std::exchange(count, 0));
        target->Increment(value);
        sum += value;
    }
    return sum;
}

void move_count(std::uint64_t& count, Counter* target)
{
    if (count != 0)
        target->Increment(static_cast<double>(std::exchange(count, 0)));
}

std::uint64_t sum_of(std::span<std::uint64_t const> counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

} // namespace

metrics::metrics(std::span<std::string_view const> fault_names)
    : all(std::make_shared<Registry>()),
      packets(make_counter_family(
          *this->all,
          "cairnhead_packets_total",
          "Callers' packets, by where they went.")),
      refusals(make_counter_family(
          *this->all,
          "cairnhead_openings_refused_total",
          "Openings that callers were told were not run.")),
      handshakes(make_handshake_family(*this->all))
{
    this->resolve_packet_series(fault_names);
    this->resolve_gauges();
}

void metrics::resolve_packet_series(
    std::span<std::string_view const> fault_names)
{
    this->to_upstream = &this->packets.Add({{"route", "upstream"}});
    this->dropped = &this->packets.Add({{"route", "dropped"}});
    this->refused = &this->packets.Add({{"route", "refused"}});
    add_series<frame_role>(this->to_peer, this->packets, "route", "peer_");

    auto& drop_family = make_counter_family(
        *this->all, "cairnhead_packets_dropped_total",
        "Well-formed packets that were dropped.");
    add_series<drop_reason>(this->drops, drop_family, "reason");

    auto& fault_family = make_counter_family(
        *this->all, "cairnhead_packets_malformed_total",
        "Packets and datagrams that could not be read or trusted.");
    for (auto const name : fault_names)
        this->faults.push_back(
            &fault_family.Add({{"fault", std::string(name)}}));

    auto& control_family = make_counter_family(
        *this->all, "cairnhead_control_bytes_total",
        "Bytes of control messages between VMs.");
    this->control_sent = &control_family.Add({{"direction", "sent"}});
    this->control_received = &control_family.Add({{"direction", "received"}});
}

void metrics::resolve_gauges()
{
    auto& registry = *this->all;
    this->pins = &make_gauge_family(
                      registry, "cairnhead_pins", "Flows that have a pin here.")
                      .Add({});
    auto& members = make_gauge_family(
        registry, "cairnhead_members", "Entry VMs as this one sees them.");
    this->members_alive = &members.Add({{"status", "alive"}});
    this->members_suspect = &members.Add({{"status", "suspect"}});
    this->members_dead = &members.Add({{"status", "dead"}});
    this->documents_generation =
        &make_gauge_family(
             registry, "cairnhead_documents_generation",
             "Goes up with each document that comes into force.")
             .Add({});
    this->view_fresh =
        &make_gauge_family(
             registry, "cairnhead_view_fresh",
             "1 while this VM may place openings, 0 after a long pause.")
             .Add({});
}

void metrics::flush(packet_counters& counters)
{
    auto const dropped_now = sum_of(counters.drops) + sum_of(counters.faults);
    this->dropped->Increment(static_cast<double>(dropped_now));
    move_counts(counters.drops, this->drops);
    move_counts(counters.faults, this->faults);
    move_counts(counters.sent_to_peer, this->to_peer);
    move_count(counters.sent_to_upstream, this->to_upstream);
    move_count(counters.control_sent, this->control_sent);
    move_count(counters.control_received, this->control_received);
    for (auto& [id, counts] : counters.organisations)
        this->flush_organisation(id, counts);
    counters.organisations.clear();
}

void metrics::flush_organisation(
    organisation_id id, organisation_counts const& counts)
{
    auto& series = this->series_of(id);
    auto refusal_counts = counts.refusals;
    this->refused->Increment(move_counts(refusal_counts, series.refusals));
    std::size_t index = 0;
    for (auto const& seen : counts.handshakes)
    {
        auto* const target = series.handshakes[index++];
        if (sum_of(seen.buckets) == 0)
            continue;
        target->ObserveMultiple(
            {seen.buckets.begin(), seen.buckets.end()}, seen.sum_seconds);
    }
}

void metrics::set_gauges(gauge_values const& values)
{
    auto const set = [](gauge target, std::uint64_t value)
    {
        target->Set(static_cast<double>(value));
    };
    set(this->pins, values.pins);
    set(this->members_alive, values.members_alive);
    set(this->members_suspect, values.members_suspect);
    set(this->members_dead, values.members_dead);
    set(this->documents_generation, values.documents_generation);
    this->view_fresh->Set(values.view == view_freshness::fresh ? 1 : 0);
}

void metrics::name_organisations(std::span<organisation_name const> given)
{
    for (auto const& item : given)
    {
        auto& name = this->names[item.id];
        if (name == item.name)
            continue;
        name = item.name;
        // What was counted under the digits stays there.
        this->organisations.erase(item.id);
    }
}

std::string metrics::label_of(organisation_id id) const
{
    auto const known = this->names.find(id);
    if (known != this->names.end())
        return known->second;
    return "id-" + std::to_string(id.value());
}

metrics::organisation_series& metrics::series_of(organisation_id id)
{
    auto const known = this->organisations.find(id);
    if (known != this->organisations.end())
        return known->second;
    auto const has_room =
        this->organisations.size() < maximum_labelled_organisations;
    auto const label = has_room ? this->label_of(id) : shared_label;
    return this->organisations.emplace(id, this->make_series(label))
        .first->second;
}

metrics::organisation_series metrics::make_series(std::string const& label)
{
    static Histogram::BucketBoundaries const bounds(
        handshake_bounds.begin(), handshake_bounds.end());
    organisation_series series;
    for (std::size_t index = 0; index < series.refusals.size(); ++index)
    {
        std::string const reason(to_text(static_cast<refusal_reason>(index)));
        series.refusals[index] =
            &this->refusals.Add({{"organisation", label}, {"reason", reason}});
    }
    for (std::size_t index = 0; index < series.handshakes.size(); ++index)
    {
        std::string const traffic(to_text(static_cast<flow_class>(index)));
        series.handshakes[index] = &this->handshakes.Add(
            {{"organisation", label}, {"class", traffic}}, bounds);
    }
    return series;
}

std::shared_ptr<prometheus::Registry> metrics::registry() const
{
    return this->all;
}

std::string metrics::scrape() const
{
    return prometheus::TextSerializer().Serialize(this->all->Collect());
}

} // namespace cairnhead
