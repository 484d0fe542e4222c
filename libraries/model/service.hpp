#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What organisations declare, after it was read and checked.
namespace cairnhead
{

/// What kind of traffic a flow carries; it sets how long an idle pin lives.
enum class flow_class : std::uint8_t
{
    /// Long open feeds that may be silent for an hour.
    feed,
    /// Form sessions and requests that change something.
    form,
    /// Downloads.
    media,
    /// Large requests with short answers.
    upload,
};

/// Which of the two measured outcomes a service weighs more.
enum class placement_preference : std::uint8_t
{
    /// Flows follow the predicted upstream, so that even the loss of all pins
    /// breaks few of them.
    continuity,
    /// Flows go to the less loaded of two upstreams, and need their pins.
    balance,
};

/// How a refused opening is answered.
enum class refusal_style : std::uint8_t
{
    /// TCP: RST. UDP: ICMP administratively prohibited.
    reset,
    /// TCP only: an HTTP 503 answer that carries Retry-After.
    http_503,
};

/// Upper bounds an organisation declares for one service, over the whole
/// fleet. Zero means no bound.
struct service_limits
{
    /// Openings per second.
    std::uint32_t openings_per_second = 0;
    /// Flows open at the same time.
    std::uint32_t flows = 0;

    bool operator==(service_limits const&) const = default;
};

/// A back end as declared. Its address is also its identity.
struct upstream
{
    upstream_id id;
    std::string name;
    organisation_id organisation;
    failure_domain_id domain;
    /// The domain's name, for people.
    std::string domain_name;
    std::map<std::string, std::string> labels;
    /// Requests that it works on at the same time; its weight in placement.
    std::uint32_t slots = 1;
    /// Connections that it can hold; zero means no bound.
    std::uint32_t connections = 0;
    /// TCP port of its health endpoint; zero means that it has none.
    std::uint16_t health_port = 0;
    /// Set by the label `draining` with any value but `false`.
    bool is_draining = false;

    bool operator==(upstream const&) const = default;
};

/// A service with the upstreams that its selector picks.
struct service
{
    service_id id;
    organisation_id organisation;
    /// `organisation/name`, for people.
    std::string name;
    endpoint address;
    flow_class traffic = flow_class::form;
    placement_preference prefer = placement_preference::balance;
    refusal_style refusal = refusal_style::reset;
    /// Whether an opening may be run more than once.
    bool is_idempotent = false;
    service_limits limits;
    /// Sorted by id. Draining ones are in it: their flows live on.
    std::vector<upstream_id> upstreams;

    bool operator==(service const&) const = default;
};

} // namespace cairnhead
