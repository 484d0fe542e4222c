#pragma once

#include <wire/codec.hpp>

#include <optional>
#include <random>
#include <vector>

/// Messages that several tests of the wire library use.
namespace cairnhead::wire_samples
{

inline member_update make_update(std::uint32_t number)
{
    return {
        .vm = vm_id(0x0a010203 + number),
        .domain = failure_domain_id(0x9e3779b9U * (number + 1)),
        .life = incarnation(1'767'225'600'123 + number),
        .status = static_cast<member_status>(number % 4)};
}

inline pin_claim make_pin(std::uint64_t number)
{
    return {
        .flow = flow_id(0x9e3779b97f4a7c15U * (number + 1)),
        .service = service_id(0x85ebca6bU),
        .upstream = upstream_id(0x0a630000U + std::uint32_t(number)),
        .state = static_cast<pin_state>(number % 3)};
}

template <typename Make>
auto make_list(std::size_t count, Make make)
{
    std::vector<decltype(make(0))> list;
    for (std::size_t number = 0; number < count; ++number)
        list.push_back(make(static_cast<std::uint32_t>(number)));
    return list;
}

inline upstream_report make_report(std::uint32_t number)
{
    return {
        .upstream = upstream_id(0x0a630001U + number),
        .condition = static_cast<upstream_condition>(number % 4),
        .load_permille = 870,
        .age_milliseconds = 1500};
}

inline request_observation make_observation(std::uint32_t number)
{
    return {
        .upstream = upstream_tag(0x7f3a0101U + number),
        .outcome = static_cast<request_outcome>(number % 3),
        .relative_permille = static_cast<std::uint16_t>(900 + 100 * number),
        .answer_milliseconds = 47 + number};
}

inline announced_rating make_rating(std::uint32_t number)
{
    return {
        .upstream = upstream_tag(0x7f3a0101U + number),
        .relative_permille = static_cast<std::uint16_t>(5000 + number),
        .short_permille = 333,
        .work_permille = 1730,
        .is_ejected = number % 2 == 0,
        .lifetime_milliseconds = 3000};
}

inline std::vector<control_body> all_bodies()
{
    auto const updates = make_list(8, make_update);
    return {
        ping{7, 0x1122334455667788, updates},
        ping{},
        ping_answer{8, vm_id(0x7f000102), 9, updates},
        ping_request{9, vm_id(0x7f000103), {}},
        member_listing{listing_kind::answer, updates},
        document_listing{
            listing_kind::request,
            {{"association", document_version(412)},
             {"", document_version(0)},
             {"brackenlea/route status", document_version(~0ULL)}}},
        pin_batch{make_list(40, make_pin)},
        upstream_report_listing{make_list(18, make_report)},
        registry_change{
            registry_document::upstreams, document_version(412),
            vm_id(0x7f000103), std::string(900, 'x')},
        registry_change{},
        reading_heartbeat{0x1122334455667788, platform_index(99)},
        document_listing{
            listing_kind::answer,
            {{"registry/routes", document_version(7)}},
            platform_index(~0ULL)},
        join_request{failure_domain_id(0xffffffff), false, true, 3},
        join_request{failure_domain_id(7), true, false, 0},
        join_request{},
        join_referral{{vm_id(0x7f000101), vm_id(0x7f000102)}, false},
        join_referral{{}, true},
        reading_attempt{},
        flow_lookup{flow_id(~0ULL), upstream_tag(0xff3a0101), 0x80000001},
        flow_binding{flow_id(1), upstream_tag(0x7f3a0101), 0},
        upstream_observation_listing{make_list(9, make_observation), 125, 999},
        upstream_observation_listing{},
        upstream_rating_listing{
            vm_id(0x7f000103), 0xffffffff, make_list(9, make_rating)},
        upstream_rating_listing{}};
}

inline std::vector<std::uint8_t> encoded(control_body body)
{
    std::vector<std::uint8_t> bytes;
    encode_control({vm_id(0x7f000101), std::move(body)}, bytes);
    return bytes;
}

inline peer_frame frame_with(std::uint32_t visited)
{
    peer_frame frame{
        .sender = vm_id(0x0a010203),
        .role = frame_role::adopt,
        .claim = make_pin(4),
        .visited = {}};
    for (std::uint32_t number = 0; number < visited; ++number)
        frame.visited.push_back(vm_id(0x0a010300 + number));
    return frame;
}

inline peer_frame largest_frame()
{
    return frame_with(maximum_visited_vms);
}

/// Why a decoder refuses; nothing when it accepts.
template <typename Decode>
std::optional<malformed_reason> reason_of(Decode decode)
{
    try
    {
        (void)decode();
    }
    catch (malformed_datagram const& caught)
    {
        return caught.reason();
    }
    return std::nullopt;
}

} // namespace cairnhead::wire_samples
