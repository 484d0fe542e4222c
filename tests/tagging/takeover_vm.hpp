#pragma once

#include "router_fixture.hpp"

namespace cairnhead::tagging_test
{

inline vm_id const first_peer(1);
inline vm_id const second_peer(2);

/// Of the caller's first packet after the opening. Those of
/// `router_fixture::request` come later.
inline constexpr std::uint32_t first_sequence = opening_sequence + 1;

/// Of the fixture's openings.
inline std::uint64_t provisional_tag_of(
    std::uint64_t instance, offer_standing standing = offer_standing::latest)
{
    upstream_tag const own = tag_of(instance_number(instance));
    return toggle_provisional(own, opening_sequence, standing).value();
}

/// A VM with upstreams 1 to 3 and two peers, and what it sends to those.
class takeover_vm : public router_fixture
{
public:
    takeover_vm()
        : router_fixture({make_upstream(1), make_upstream(2), make_upstream(3)})
    {
        vm_id const peers[] = {first_peer, second_peer};
        this->router.set_peers(peers);
    }

    /// The messages of this kind that were sent, with their receivers.
    template <typename Body>
    std::vector<std::pair<vm_id, Body>> take_messages()
    {
        std::vector<std::pair<vm_id, Body>> found;
        for (send_control const& sent : this->take<send_control>())
        {
            if (auto const* const body = std::get_if<Body>(&sent.body))
                found.emplace_back(sent.target, *body);
        }
        return found;
    }

    void receive(flow_binding const& told)
    {
        this->router.receive(this->now, told, this->others());
    }

    void receive(vm_id sender, flow_lookup const& asked)
    {
        this->router.receive(this->now, sender, asked, this->others());
    }

    /// The instances to which copies of packets were sent.
    std::vector<std::uint64_t> copies()
    {
        std::vector<std::uint64_t> instances;
        for (send_copy const& sent : this->take<send_copy>())
            instances.push_back(sent.target.instance.value());
        return instances;
    }
};

} // namespace cairnhead::tagging_test
