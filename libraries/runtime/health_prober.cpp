#include <runtime/health_prober.hpp>

#include <base/ipv4.hpp>
#include <runtime/health_answer.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// An endpoint that takes longer than this has failed the probe.
constexpr duration probe_timeout = 1s;

/// An answer is a few dozen bytes. Without a bound one upstream could fill
/// the VM's memory.
constexpr std::size_t maximum_answer_bytes = 4096;

std::string make_url(probe_upstream const& wanted)
{
    auto const address = ipv4_address(wanted.upstream.value());
    return "http://" + format_ipv4(address) + ":" +
           std::to_string(wanted.health_port) + "/health";
}

upstream_probed read_result(upstream_id upstream, http_result const& result)
{
    if (auto const* const answer = std::get_if<http_answer>(&result))
        return {read_health_answer(upstream, answer->status, answer->body)};
    return {read_health_answer(upstream, 0, {})};
}

} // namespace

health_prober::health_prober(callback on_result)
    : on_probed(std::move(on_result))
{
}

void health_prober::probe(probe_upstream const& wanted)
{
    this->caller.post(
        [this, wanted](http_client& client)
        {
            this->start(client, wanted);
        });
}

void health_prober::start(http_client& client, probe_upstream const& wanted)
{
    auto const deadline = make_deadline(probe_timeout);
    auto answered = client.get(
        {.url = make_url(wanted),
         .connect_by = deadline,
         .answer_by = deadline,
         .maximum_body_bytes = maximum_answer_bytes});
    // KJ would take in what is thrown here, and the upstream would never be
    // probed again, unseen. Like this the process ends, and is started anew.
    client.keep(answered.then(
        [this, upstream = wanted.upstream](http_result&& result) noexcept
        {
            this->on_probed(read_result(upstream, result));
        }));
}

} // namespace cairnhead
