#include <observability/flow_metrics.hpp>

#include <observability/effect_text.hpp>

namespace cairnhead
{

namespace
{

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

constexpr char shared_label[] = "other";

/// From a round trip within a failure domain to a caller's last try, seconds.
Histogram::BucketBoundaries const answer_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5};

/// Of checks and of calls to the platform, seconds.
Histogram::BucketBoundaries const call_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0};

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

void raise_to(prometheus::Counter& counter, std::uint64_t total)
{
    auto const more = static_cast<double>(total) - counter.Value();
    if (more > 0)
        counter.Increment(more);
}

std::string_view to_label(connection_outcome outcome)
{
    switch (outcome)
    {
    case connection_outcome::connected:
        return "connected";
    case connection_outcome::refused:
        return "refused";
    case connection_outcome::unanswered:
        return "unanswered";
    case connection_outcome::inconclusive:
        return "inconclusive";
    }
    return "unknown";
}

/// Priorities with labels of their own: a scrape must not grow with what the
/// platform publishes.
constexpr std::uint8_t labelled_priorities = 10;

std::string to_label(std::optional<std::uint8_t> priority)
{
    if (!priority)
        return "none";
    return *priority < labelled_priorities ? std::to_string(*priority)
                                           : shared_label;
}

} // namespace

flow_metrics::flow_metrics(prometheus::Registry& all)
    : steps(BuildCounter()
                .Name("cairnhead_flow_steps_total")
                .Help("What was decided about flows, by service.")
                .Register(all)),
      answers(BuildHistogram()
                  .Name("cairnhead_opening_answer_seconds")
                  .Help("From an opening that this VM sent until its caller "
                        "acknowledged an upstream's answer.")
                  .Register(all)),
      checks(BuildHistogram()
                 .Name("cairnhead_upstream_check_seconds")
                 .Help("How long checks of silent upstreams took.")
                 .Register(all)),
      calls(BuildHistogram()
                .Name("cairnhead_platform_call_seconds")
                .Help("How long calls to the platform took.")
                .Register(all)),
      rejected_entries(
          BuildCounter()
              .Name("cairnhead_registry_entries_rejected_total")
              .Help("Entries of the registry that name no upstream, as they "
                    "cannot be read; each counts once until it changes.")
              .Register(all)),
      refusals(
          BuildCounter()
              .Name("cairnhead_openings_refused_by_rule_total")
              .Help("Openings that were refused, by the rule that said so.")
              .Register(all)),
      refusals_by_priority(
          BuildCounter()
              .Name("cairnhead_refused_openings_total")
              .Help("Openings that were refused, by the priority that their "
                    "route declares.")
              .Register(all)),
      spilled(BuildCounter()
                  .Name("cairnhead_spilled_openings_total")
                  .Help("Openings that were sent to another failure domain, as "
                        "requests wait in the own one, by service.")
                  .Register(all)),
      evacuated_domains(BuildGauge()
                            .Name("cairnhead_evacuated_failure_domains")
                            .Help("Failure domains that operators evacuate.")
                            .Register(all)),
      upstreams(BuildGauge()
                    .Name("cairnhead_upstreams")
                    .Help("Upstreams by what this VM believes of them.")
                    .Register(all)),
      versions(BuildGauge()
                   .Name("cairnhead_document_version")
                   .Help("The version that is in force here.")
                   .Register(all)),
      ages(BuildGauge()
               .Name("cairnhead_document_age_seconds")
               .Help("Since when that version is in force here.")
               .Register(all)),
      lines(BuildGauge()
                .Name("cairnhead_log_lines_left_out")
                .Help("Log lines that were not written since the start.")
                .Register(all)),
      ratings(BuildGauge()
                  .Name("cairnhead_upstream_ratings")
                  .Help("Upstreams with a rating in force: they perform "
                        "differently from their pool.")
                  .Register(all)),
      ejections(BuildCounter()
                    .Name("cairnhead_upstream_ejections_total")
                    .Help("Ejections of upstreams whose answers were short, by "
                          "the VM that collects their observations.")
                    .Register(all)),
      rating_messages(BuildCounter()
                          .Name("cairnhead_rating_messages_total")
                          .Help("Messages of observations and of ratings "
                                "between VMs.")
                          .Register(all))
{
}

void flow_metrics::count(flow_decision const& decided)
{
    service_series& series = this->series_of(decided.service);
    series.steps[static_cast<std::size_t>(decided.step)]->Increment();
    bool const is_timed =
        decided.step == flow_step::confirmed && decided.waited > duration{};
    if (is_timed)
        series.answers->Observe(to_seconds(decided.waited));
    if (decided.rule == flow_rule::spilled)
        series.spilled->Increment();
    if (decided.step != flow_step::refused)
        return;
    this->refusals.Add({{"rule", std::string(to_text(decided.rule))}})
        .Increment();
    this->refusals_by_priority.Add({{"priority", to_label(decided.priority)}})
        .Increment();
}

void flow_metrics::observe_check(connection_outcome outcome, duration took)
{
    this->checks.Add({{"outcome", std::string(to_label(outcome))}}, call_bounds)
        .Observe(to_seconds(took));
}

void flow_metrics::observe_call(
    call_outcome outcome, platform_call_reason reason, duration took)
{
    char const* const label =
        outcome == call_outcome::answered ? "answered" : "failed";
    this->calls
        .Add(
            {{"outcome", label}, {"reason", std::string(to_text(reason))}},
            call_bounds)
        .Observe(to_seconds(took));
}

void flow_metrics::count_rejected_entry()
{
    this->rejected_entries.Add({}).Increment();
}

void flow_metrics::set(belief_gauges const& values)
{
    this->set_upstreams("ready", values.upstreams_ready);
    this->set_upstreams("avoided", values.upstreams_avoided);
    this->set_upstreams("unreachable", values.upstreams_unreachable);
    this->set_upstreams("draining", values.upstreams_draining);
    this->set_upstreams("missing", values.upstreams_missing);
    this->set_upstreams("evacuated", values.upstreams_evacuated);
    this->evacuated_domains.Add({}).Set(
        static_cast<double>(values.evacuated_domains));
    for (belief_gauges::document const& held : values.documents)
    {
        this->versions.Add({{"document", held.name}})
            .Set(static_cast<double>(held.version.value()));
        this->ages.Add({{"document", held.name}}).Set(to_seconds(held.age));
    }
    this->ratings.Add({}).Set(static_cast<double>(values.ratings_in_force));
    raise_to(this->ejections.Add({}), values.outlier_ejections);
    this->set_rating_messages(
        "observations_sent", values.observation_messages_sent);
    this->set_rating_messages(
        "observations_received", values.observation_messages_received);
    this->set_rating_messages("ratings_sent", values.rating_messages_sent);
    this->set_rating_messages(
        "ratings_received", values.rating_messages_received);
    this->lines.Add({{"reason", "limit"}})
        .Set(static_cast<double>(values.log_lines_left_out));
    this->lines.Add({{"reason", "sampling"}})
        .Set(static_cast<double>(values.flow_lines_sampled_out));
}

void flow_metrics::set_rating_messages(char const* kind, std::uint64_t count)
{
    raise_to(this->rating_messages.Add({{"kind", kind}}), count);
}

void flow_metrics::set_upstreams(char const* state, std::uint64_t count)
{
    this->upstreams.Add({{"state", state}}).Set(static_cast<double>(count));
}

flow_metrics::service_series&
flow_metrics::series_of(std::string const& service)
{
    auto const known = this->services.find(service);
    if (known != this->services.end())
        return known->second;
    // A scrape must not grow with what the platform publishes.
    bool const has_room = this->services.size() < maximum_labelled_services;
    auto made = this->make_series(has_room ? service : shared_label);
    return this->services.emplace(service, made).first->second;
}

flow_metrics::service_series flow_metrics::make_series(std::string const& label)
{
    service_series series;
    for (std::size_t index = 0; index < series.steps.size(); ++index)
    {
        std::string const step(to_text(static_cast<flow_step>(index)));
        series.steps[index] =
            &this->steps.Add({{"service", label}, {"step", step}});
    }
    series.spilled = &this->spilled.Add({{"service", label}});
    series.answers = &this->answers.Add({{"service", label}}, answer_bounds);
    return series;
}

} // namespace cairnhead
