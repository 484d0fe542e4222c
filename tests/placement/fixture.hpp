#pragma once

#include <base/hash.hpp>
#include <placement/placement.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Declarations and helpers of the placement tests.
namespace cairnhead::testing
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

inline constexpr time_point start{std::chrono::hours(1)};
inline constexpr vm_identity own{vm_id(1), failure_domain_id(1)};

inline upstream make_upstream(std::uint32_t id)
{
    upstream result;
    result.id = upstream_id(id);
    result.domain = failure_domain_id(id % 2 == 0 ? 2 : 1);
    result.slots = 2;
    result.connections = 2000;
    result.health_port = 8080;
    return result;
}

inline std::vector<upstream> make_upstreams(std::uint32_t count)
{
    std::vector<upstream> result;
    for (std::uint32_t id = 1; id <= count; ++id)
    {
        result.push_back(make_upstream(id));
    }
    return result;
}

inline std::shared_ptr<directory const> make_directory(
    std::vector<upstream> const& upstreams,
    placement_preference prefer = placement_preference::balance)
{
    service declared;
    declared.id = service_id(7);
    declared.name = "sales/listings";
    declared.prefer = prefer;
    for (auto const& one : upstreams)
    {
        declared.upstreams.push_back(one.id);
    }
    return std::make_shared<directory const>(std::vector{declared}, upstreams);
}

/// The placement of one VM with a single declared service.
struct placement_fixture
{
    placement subject;
    std::shared_ptr<directory const> current;
    effect_list effects;

    explicit placement_fixture(
        std::shared_ptr<directory const> initial,
        placement_policy const& policy = {})
        : subject(placement_settings{}, own, 1, policy)
    {
        this->declare(start, std::move(initial));
    }

    void declare(time_point now, std::shared_ptr<directory const> next)
    {
        this->current = std::move(next);
        this->subject.set_directory(now, this->current);
    }

    service const& only_service() const
    {
        return this->current->services().front();
    }

    placement_result choose(time_point now, std::uint64_t flow)
    {
        return this->subject.choose(now, this->only_service(), make_flow(flow));
    }

    static flow_id make_flow(std::uint64_t flow)
    {
        return flow_id(hash_pair(flow, 99));
    }

    /// Opens `count` flows and returns how many each upstream got, indexed by
    /// id.
    std::vector<std::uint32_t> open(time_point now, std::uint32_t count)
    {
        std::vector<std::uint32_t> result(64);
        for (std::uint32_t flow = 0; flow < count; ++flow)
        {
            auto const chosen = this->choose(now, flow);
            auto const* const selected = std::get_if<placed>(&chosen);
            if (selected == nullptr)
            {
                continue;
            }
            result[selected->upstream.value()] += 1;
            this->subject.flow_opened(now, selected->upstream);
        }
        return result;
    }

    void retransmit(time_point now, std::uint32_t upstream, std::uint32_t times)
    {
        for (std::uint32_t done = 0; done < times; ++done)
        {
            this->subject.opening_retransmitted(
                now, upstream_id(upstream), this->effects);
        }
    }

    void confirm(time_point now, std::uint32_t upstream, duration latency)
    {
        this->subject.opening_confirmed(
            now, upstream_id(upstream), latency, this->effects);
    }

    void receive_report(
        time_point now,
        std::uint32_t upstream,
        upstream_condition condition,
        std::uint16_t load = 0,
        std::uint32_t age = 0)
    {
        upstream_report_listing const listing{
            {{upstream_id(upstream), condition, load, age}}};
        this->subject.receive(now, vm_id(9), listing, this->effects);
    }

    std::size_t count_reports(report_kind kind) const
    {
        std::size_t result = 0;
        for (auto const& one : this->effects)
        {
            auto const* const line = std::get_if<report>(&one);
            result += line != nullptr && line->kind == kind ? 1 : 0;
        }
        return result;
    }
};

} // namespace cairnhead::testing
