#pragma once

#include <event/settings.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>
#include <variant>

/// The optional sections as tables: the name in the file, the member it sets
/// and what it may be. A new setting is one line here.
namespace cairnhead
{

/// The file's word for a duration, and its bounds.
template <typename Section>
struct duration_field
{
    std::string_view name;
    duration Section::*member;
    duration minimum;
    duration maximum;
};

/// The file's word for a number, and its bounds.
template <typename Section>
struct number_field
{
    std::string_view name;
    std::uint32_t Section::*member;
    std::uint32_t minimum;
    std::uint32_t maximum;
};

/// The file's word for a decimal fraction, and its bounds.
template <typename Section>
struct fraction_field
{
    std::string_view name;
    double Section::*member;
    double minimum;
    double maximum;
};

/// The file's word for a choice of the placement rule. Its words are those of
/// `to_placement_rule`.
template <typename Section>
struct placement_rule_field
{
    std::string_view name;
    placement_rule Section::*member;
};

template <typename Section>
using section_field = std::variant<
    duration_field<Section>,
    number_field<Section>,
    fraction_field<Section>,
    placement_rule_field<Section>>;

/// Whether two ordered durations may be the same.
enum class ordering : std::uint8_t
{
    below,
    at_most,
};

/// Two durations of one section that must stand in order.
template <typename Section>
struct ordered_durations
{
    std::string_view lower_name;
    duration Section::*lower;
    ordering relation;
    duration Section::*upper;
};

/// The fields and orders of one section; specialised for each.
template <typename Section>
struct section_rules;

/// Bounds that many fields share.
inline constexpr duration shortest_duration = 1ms;
inline constexpr duration longest_timeout = 1h;
inline constexpr duration longest_lifetime = 168h;
inline constexpr std::uint32_t any_number =
    std::numeric_limits<std::uint32_t>::max();
inline constexpr std::uint32_t hundred_percent = 100;

template <>
struct section_rules<membership_settings>
{
    using section = membership_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    static constexpr std::array<section_field<section>, 9> fields = {{
        durations{
            "probe_period", &section::probe_period, 10ms, longest_timeout},
        durations{
            "probe_timeout", &section::probe_timeout, 1ms, longest_timeout},
        numbers{"indirect_probes", &section::indirect_probes, 0, 16},
        durations{
            "suspicion_timeout", &section::suspicion_timeout, 10ms,
            longest_timeout},
        durations{"lease", &section::lease, 10ms, longest_timeout},
        durations{
            "dead_retention", &section::dead_retention, 1s, longest_lifetime},
        durations{
            "dead_probe_period", &section::dead_probe_period, 10ms,
            longest_timeout},
        numbers{"updates_per_message", &section::updates_per_message, 1, 64},
        durations{
            "contact_period", &section::contact_period, 10ms, longest_timeout},
    }};

    // A VM must void its own view before the others replace it: with a longer
    // lease it would wake up and place flows that already have a new owner.
    static constexpr std::array<ordered_durations<section>, 2> orders = {{
        {"probe_timeout", &section::probe_timeout, ordering::below,
         &section::probe_period},
        {"lease", &section::lease, ordering::at_most,
         &section::suspicion_timeout},
    }};
};

template <>
struct section_rules<ownership_settings>
{
    using section = ownership_settings;
    using durations = duration_field<section>;

    static constexpr std::array<section_field<section>, 1> fields = {{
        durations{
            "history_retention", &section::history_retention, 1s,
            longest_lifetime},
    }};

    static constexpr std::array<ordered_durations<section>, 0> orders = {};
};

template <>
struct section_rules<pin_settings>
{
    using section = pin_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    static constexpr std::array<section_field<section>, 9> fields = {{
        numbers{"maximum_pins", &section::maximum_pins, 1, 16'000'000},
        durations{
            "opening_lifetime", &section::opening_lifetime, shortest_duration,
            longest_lifetime},
        durations{
            "closing_lifetime", &section::closing_lifetime, shortest_duration,
            longest_lifetime},
        durations{
            "reset_lifetime", &section::reset_lifetime, shortest_duration,
            longest_lifetime},
        durations{
            "feed_lifetime", &section::feed_lifetime, shortest_duration,
            longest_lifetime},
        durations{
            "form_lifetime", &section::form_lifetime, shortest_duration,
            longest_lifetime},
        durations{
            "media_lifetime", &section::media_lifetime, shortest_duration,
            longest_lifetime},
        durations{
            "refresh_period", &section::refresh_period, shortest_duration,
            longest_timeout},
        durations{
            "sweep_period", &section::sweep_period, shortest_duration,
            longest_timeout},
    }};

    static constexpr std::array<ordered_durations<section>, 0> orders = {};
};

template <>
struct section_rules<handover_settings>
{
    using section = handover_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    static constexpr std::array<section_field<section>, 4> fields = {{
        numbers{"bytes_per_second", &section::bytes_per_second, 1, any_number},
        durations{
            "stop_grace", &section::stop_grace, duration::zero(),
            longest_timeout},
        durations{
            "leave_timeout", &section::leave_timeout, shortest_duration,
            longest_lifetime},
        durations{
            "leave_minimum", &section::leave_minimum, shortest_duration,
            longest_timeout},
    }};

    static constexpr std::array<ordered_durations<section>, 1> orders = {{
        {"leave_minimum", &section::leave_minimum, ordering::at_most,
         &section::leave_timeout},
    }};
};

template <>
struct section_rules<version_settings>
{
    using section = version_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    static constexpr std::array<section_field<section>, 8> fields = {{
        numbers{"readers_per_domain", &section::readers_per_domain, 1, 64},
        durations{
            "reader_patience", &section::reader_patience, duration::zero(),
            longest_timeout},
        durations{"watch_wait", &section::watch_wait, 1s, 10min},
        durations{
            "backoff_minimum", &section::backoff_minimum, shortest_duration,
            longest_timeout},
        durations{
            "backoff_maximum", &section::backoff_maximum, shortest_duration,
            longest_timeout},
        durations{
            "fetch_timeout", &section::fetch_timeout, shortest_duration,
            longest_timeout},
        numbers{"announce_fanout", &section::announce_fanout, 1, 64},
        durations{
            "join_timeout", &section::join_timeout, shortest_duration,
            longest_timeout},
    }};

    static constexpr std::array<ordered_durations<section>, 1> orders = {{
        {"backoff_minimum", &section::backoff_minimum, ordering::at_most,
         &section::backoff_maximum},
    }};
};

template <>
struct section_rules<placement_settings>
{
    using section = placement_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    static constexpr std::array<section_field<section>, 8> fields = {{
        numbers{"failures_to_eject", &section::failures_to_eject, 1, 1'000},
        durations{
            "ejection_minimum", &section::ejection_minimum, shortest_duration,
            longest_lifetime},
        durations{
            "ejection_maximum", &section::ejection_maximum, shortest_duration,
            longest_lifetime},
        numbers{
            "maximum_ejected_percent", &section::maximum_ejected_percent, 0,
            hundred_percent},
        durations{
            "slow_start", &section::slow_start, shortest_duration,
            longest_timeout},
        durations{
            "report_lifetime", &section::report_lifetime, shortest_duration,
            longest_timeout},
        durations{
            "probe_period", &section::probe_period, 10ms, longest_timeout},
        numbers{"probers_per_upstream", &section::probers_per_upstream, 1, 64},
    }};

    static constexpr std::array<ordered_durations<section>, 1> orders = {{
        {"ejection_minimum", &section::ejection_minimum, ordering::at_most,
         &section::ejection_maximum},
    }};
};

template <>
struct section_rules<admission_settings>
{
    using section = admission_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    static constexpr std::array<section_field<section>, 4> fields = {{
        durations{"burst", &section::burst, shortest_duration, longest_timeout},
        durations{
            "minimum_retry_after", &section::minimum_retry_after,
            shortest_duration, longest_timeout},
        durations{
            "maximum_retry_after", &section::maximum_retry_after,
            shortest_duration, longest_timeout},
        numbers{
            "maximum_organisation_percent",
            &section::maximum_organisation_percent, 1, hundred_percent},
    }};

    static constexpr std::array<ordered_durations<section>, 1> orders = {{
        {"minimum_retry_after", &section::minimum_retry_after,
         ordering::at_most, &section::maximum_retry_after},
    }};
};

template <>
struct section_rules<tagging_settings>
{
    using section = tagging_settings;
    using durations = duration_field<section>;
    using numbers = number_field<section>;

    using fractions = fraction_field<section>;

    static constexpr std::array<section_field<section>, 19> fields = {{
        placement_rule_field<section>{"placement", &section::placement},
        durations{
            "upstream_retention", &section::upstream_retention,
            shortest_duration, longest_lifetime},
        durations{
            "missing_grace", &section::missing_grace, shortest_duration,
            longest_timeout},
        durations{
            "answer_timeout", &section::answer_timeout, shortest_duration,
            longest_timeout},
        durations{
            "retry_after", &section::retry_after, shortest_duration,
            longest_timeout},
        numbers{"maximum_retries", &section::maximum_retries, 0, 10},
        durations{
            "silence_timeout", &section::silence_timeout, shortest_duration,
            longest_timeout},
        durations{
            "ask_timeout", &section::ask_timeout, shortest_duration,
            longest_timeout},
        durations{
            "check_after", &section::check_after, shortest_duration,
            longest_timeout},
        durations{
            "check_period", &section::check_period, shortest_duration,
            longest_timeout},
        durations{
            "avoidance_minimum", &section::avoidance_minimum, shortest_duration,
            longest_timeout},
        durations{
            "avoidance_maximum", &section::avoidance_maximum, shortest_duration,
            longest_timeout},
        durations{
            "idle_timeout", &section::idle_timeout, shortest_duration,
            longest_lifetime},
        durations{
            "flow_lifetime", &section::flow_lifetime, shortest_duration,
            longest_lifetime},
        numbers{"remote_load_factor", &section::remote_load_factor, 1, 1'000},
        numbers{
            "cold_share_percent", &section::cold_share_percent, 1,
            hundred_percent},
        fractions{"cold_overrun", &section::cold_overrun, 0.0, 1'000.0},
        fractions{"cold_slack", &section::cold_slack, 0.0, 1'000'000.0},
        numbers{"maximum_flows", &section::maximum_flows, 1, any_number},
    }};

    static constexpr std::array<ordered_durations<section>, 1> orders = {{
        {"avoidance_minimum", &section::avoidance_minimum, ordering::at_most,
         &section::avoidance_maximum},
    }};
};

} // namespace cairnhead
