#include "answer_text.hpp"

#include <base/ipv4.hpp>

namespace cairnhead
{

std::string_view to_text(vm_state state)
{
    switch (state)
    {
    case vm_state::joining:
        return "joining";
    case vm_state::serving:
        return "serving";
    case vm_state::leaving:
        return "leaving";
    case vm_state::view_expired:
        return "view_expired";
    }
    return "unknown";
}

std::string_view to_text(member_status status)
{
    switch (status)
    {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        return "dead";
    }
    return "unknown";
}

std::string_view to_text(flow_class traffic)
{
    switch (traffic)
    {
    case flow_class::feed:
        return "feed";
    case flow_class::form:
        return "form";
    case flow_class::media:
        return "media";
    case flow_class::upload:
        return "upload";
    }
    return "unknown";
}

std::string_view to_text(placement_preference preference)
{
    switch (preference)
    {
    case placement_preference::continuity:
        return "continuity";
    case placement_preference::balance:
        return "balance";
    }
    return "unknown";
}

std::string_view to_text(refusal_style style)
{
    switch (style)
    {
    case refusal_style::reset:
        return "reset";
    case refusal_style::http_503:
        return "http_503";
    }
    return "unknown";
}

std::string_view to_text(upstream_condition condition)
{
    switch (condition)
    {
    case upstream_condition::healthy:
        return "healthy";
    case upstream_condition::draining:
        return "draining";
    case upstream_condition::shedding:
        return "shedding";
    case upstream_condition::failed:
        return "failed";
    }
    return "unknown";
}

std::string_view to_text(explained_rule rule)
{
    switch (rule)
    {
    case explained_rule::own_pin:
        return "own_pin";
    case explained_rule::ask_owner:
        return "ask_owner";
    case explained_rule::ask_earlier_holders:
        return "ask_earlier_holders";
    case explained_rule::place_opening:
        return "place_opening";
    case explained_rule::unknown_destination:
        return "unknown_destination";
    }
    return "unknown";
}

std::string_view to_text(shown_verdict verdict)
{
    switch (verdict)
    {
    case shown_verdict::ready:
        return "ready";
    case shown_verdict::avoided:
        return "avoided";
    case shown_verdict::unreachable:
        return "unreachable";
    case shown_verdict::domain_unreachable:
        return "domain_unreachable";
    case shown_verdict::missing:
        return "missing";
    case shown_verdict::gone:
        return "gone";
    case shown_verdict::draining:
        return "draining";
    case shown_verdict::evacuated:
        return "evacuated";
    case shown_verdict::cold:
        return "cold";
    case shown_verdict::ejected:
        return "ejected";
    }
    return "unknown";
}

std::string to_text(endpoint const& address)
{
    bool const is_tcp = address.protocol == transport_protocol::tcp;
    std::string const protocol = is_tcp ? "tcp:" : "udp:";
    return protocol + format_ipv4(address.address) + ":" +
           std::to_string(address.port);
}

std::string to_text(vm_id vm)
{
    return format_ipv4(ipv4_address(vm.value()));
}

std::string to_text(upstream_id upstream)
{
    return format_ipv4(ipv4_address(upstream.value()));
}

std::string yes_or_no(bool is_so)
{
    return is_so ? "yes" : "no";
}

} // namespace cairnhead
