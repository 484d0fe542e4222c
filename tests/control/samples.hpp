#pragma once

#include <control/control_client.hpp>
#include <control/document_client.hpp>
#include <control/rpc_server.hpp>

#include <future>
#include <netinet/in.h>

/// What several tests of the control library use.
namespace cairnhead::control_samples
{

inline constexpr ipv4_address loopback{INADDR_LOOPBACK};
inline constexpr vm_id loopback_vm{INADDR_LOOPBACK};

inline status_answer make_status()
{
    return {
        .vm = vm_id(0x7f000102),
        .failure_domain = "stirling",
        .state = vm_state::view_expired,
        .uptime_seconds = 86'400,
        .pins = 300'000,
        .members_alive = 8,
        .members_suspect = 1,
        .members_dead = 2,
        .documents =
            {{"association", document_version(412), std::nullopt},
             {"registry/routes", document_version(14),
              std::chrono::milliseconds(9630)}},
        .documents_generation = 41,
        .is_reader = true,
        .packets = {1, 2, 3, 4}};
}

inline std::vector<member_answer> make_members()
{
    return {
        {vm_id(1), "stirling", incarnation(7), member_status::alive},
        {vm_id(2), "", incarnation(1'767'225'600'123), member_status::dead}};
}

inline std::vector<service_answer> make_services()
{
    return {
        {.name = "association/listings",
         .address = {ipv4_address(3), 8443, transport_protocol::tcp},
         .traffic = flow_class::feed,
         .prefer = placement_preference::continuity,
         .refusal = refusal_style::http_503,
         .is_idempotent = false,
         .upstreams = 14},
        {.name = "brackenlea/status",
         .address = {ipv4_address(4), 53, transport_protocol::udp},
         .is_idempotent = true}};
}

inline std::vector<upstream_answer> make_upstreams()
{
    // As many as two deployments have, many times over.
    return std::vector<upstream_answer>(
        1000, {.id = upstream_id(5),
               .name = "listings-1",
               .failure_domain = "perth",
               .flows = 1900,
               .condition = upstream_condition::shedding,
               .reported_load_permille = 990,
               .is_ejected = true,
               .is_cold = true,
               .slots = 3,
               .belief = belief_answer{
                   .verdict = shown_verdict::draining,
                   .load_permille = 1250,
                   .unanswered = 2,
                   .answered_ago = std::chrono::milliseconds(0),
                   .silent_for = std::chrono::milliseconds(812),
                   .avoided_for = std::nullopt,
                   .missing_for = std::chrono::milliseconds(90),
                   .rating = rating_answer{
                       .relative_permille = 5000,
                       .short_permille = 333,
                       .work_permille = 1730,
                       .is_ejected = true,
                       .in_force_for = std::chrono::milliseconds(2900)}}});
}

inline explain_question make_question()
{
    return {
        {ipv4_address(6), 40'000, transport_protocol::udp},
        {ipv4_address(4), 53, transport_protocol::udp}};
}

inline explain_answer make_explanation()
{
    return {
        .service = "brackenlea/status",
        .owner = vm_id(1),
        .backup = std::nullopt,
        .pinned = upstream_id(5),
        .rule = explained_rule::own_pin,
        .predicted = std::nullopt,
        .documents_generation = 41,
        .pool = "listings",
        .candidates =
            {{.id = upstream_id(5),
              .name = "listings-1",
              .failure_domain = "perth",
              .belief = belief_answer()},
             {.id = upstream_id(6),
              .name = "listings-2",
              .failure_domain = "",
              .belief = std::nullopt},
             {.id = upstream_id(7),
              .name = "listings-3",
              .failure_domain = "perth",
              .belief = belief_answer{.verdict = shown_verdict::ejected}}},
        .would_get = upstream_id(5),
        .documents = {
            {"registry/upstreams", document_version(61),
             std::chrono::milliseconds(12'283)}}};
}

/// Answers at once with what `make` gives.
template <typename Make>
auto answer_with(Make make)
{
    return [make](auto const& reply)
    {
        reply(make());
    };
}

inline control_source make_source()
{
    return {
        .status = answer_with(make_status),
        .members = answer_with(make_members),
        .services = answer_with(make_services),
        .upstreams = answer_with(make_upstreams),
        .explain = [](explain_question const& asked,
                      reply_to<explain_answer> const& reply)
        {
            auto answer = make_explanation();
            if (asked != make_question())
                answer.service = "another question arrived";
            reply(answer);
        }};
}

/// A port at which nothing listens.
inline std::uint16_t closed_port()
{
    rpc_server server;
    return server.serve_control(loopback, 0, make_source());
}

/// Long enough for any machine; no test waits for it but by a fault.
inline constexpr duration patience = std::chrono::minutes(1);

} // namespace cairnhead::control_samples
