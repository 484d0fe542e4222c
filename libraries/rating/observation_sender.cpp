#include <rating/observation_sender.hpp>

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <span>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Answers that take this many times the usual time are slow; ratings beyond it
/// are announced.
constexpr std::uint16_t slow_permille = 1500;

/// One observation takes at most 16 bytes, so that a listing stays within 1,000
/// bytes.
constexpr std::size_t maximum_observations_per_datagram = 60;

/// Share of the datagrams of a second that one flush may send, so that all
/// flushes of the second get theirs.
constexpr std::size_t maximum_datagrams_per_flush = 4;

/// Observations that wait; further ones are not sent.
constexpr std::size_t maximum_waiting = 2048;

/// What does not fit into the budget waits this long: bursts are evened out,
/// and nothing is sent late. Collectors weigh observations over about a second.
constexpr duration longest_wait = std::chrono::milliseconds(400);

/// Part of the counts that is left after each flush: they cover about a second.
constexpr double kept_share = .8;

constexpr double whole_permille = 1000;
/// One observation stands for at most 50.
constexpr double smallest_permille = 20;

} // namespace

bool is_notable(request_observation const& observation)
{
    return observation.outcome != request_outcome::answered ||
           observation.relative_permille >= slow_permille;
}

void observation_sender::sampled_share::decay()
{
    this->sent *= kept_share;
    this->left_out *= kept_share;
}

std::uint16_t observation_sender::sampled_share::permille() const
{
    double const all = this->sent + this->left_out;
    if (all <= 0)
        return static_cast<std::uint16_t>(whole_permille);
    double const share = whole_permille * this->sent / all;
    return static_cast<std::uint16_t>(
        std::clamp(share, smallest_permille, whole_permille));
}

observation_sender::observation_sender(std::uint64_t seed) : random(seed)
{
}

void observation_sender::add(
    time_point now, vm_id collector, request_observation const& observed)
{
    bool const notable_one = is_notable(observed);
    if (this->queue.size() >= maximum_waiting)
    {
        this->share_of(notable_one).left_out += 1;
        return;
    }
    this->queue.push_back({collector, observed, now, notable_one});
    if (!this->flush_at)
        this->flush_at = now + batch_period;
}

std::size_t observation_sender::advance(time_point now, effect_list& effects)
{
    if (!this->flush_at || now < *this->flush_at)
        return 0;
    this->usual.decay();
    this->notable.decay();
    auto const collectors = this->choose_collectors(this->take_allowance(now));
    std::vector<send_control> messages;
    for (vm_id const collector : collectors)
    {
        messages.push_back(
            {collector, upstream_observation_listing{take_for(collector)}});
        this->sent_at.push_back(now);
    }
    this->drop_unsent(now);
    // The shares are those of this flush too, so they are told after it.
    for (send_control& message : messages)
    {
        auto& listing = std::get<upstream_observation_listing>(message.body);
        listing.usual_sampled_permille = this->usual.permille();
        listing.notable_sampled_permille = this->notable.permille();
        effects.emplace_back(std::move(message));
    }
    this->flush_at.reset();
    if (!this->queue.empty())
        this->flush_at = now + batch_period;
    return messages.size();
}

std::optional<time_point> observation_sender::next_due() const
{
    return this->flush_at;
}

void observation_sender::clear()
{
    this->queue.clear();
    this->flush_at.reset();
}

std::size_t observation_sender::take_allowance(time_point now)
{
    while (!this->sent_at.empty() && now >= this->sent_at.front() + 1s)
        this->sent_at.pop_front();
    return std::min(
        maximum_datagrams_per_second - this->sent_at.size(),
        maximum_datagrams_per_flush);
}

std::vector<vm_id> observation_sender::choose_collectors(std::size_t count)
{
    absl::flat_hash_map<vm_id, bool> has_notable;
    std::vector<vm_id> order;
    for (waiting_observation const& each : this->queue)
    {
        auto const [place, is_new] =
            has_notable.emplace(each.collector, each.is_notable);
        if (is_new)
            order.push_back(each.collector);
        place->second = place->second || each.is_notable;
    }
    std::ranges::shuffle(order, this->random);
    std::size_t first_ones = (count + 1) / 2;
    std::stable_partition(
        order.begin(), order.end(),
        [&](vm_id collector)
        {
            bool const is_first = has_notable.at(collector) && first_ones > 0;
            first_ones -= is_first ? 1 : 0;
            return is_first;
        });
    order.resize(std::min(order.size(), count));
    return order;
}

std::vector<request_observation> observation_sender::take_for(vm_id collector)
{
    auto const is_other = [collector](waiting_observation const& each)
    {
        return each.collector != collector;
    };
    auto const first =
        std::stable_partition(this->queue.begin(), this->queue.end(), is_other);
    std::stable_partition(
        first, this->queue.end(),
        [](waiting_observation const& each)
        {
            return each.is_notable;
        });
    std::vector<request_observation> taken;
    for (waiting_observation const& each : std::span(first, this->queue.end()))
    {
        bool const has_room = taken.size() < maximum_observations_per_datagram;
        auto& share = this->share_of(each.is_notable);
        (has_room ? share.sent : share.left_out) += 1;
        if (has_room)
            taken.push_back(each.observed);
    }
    this->queue.erase(first, this->queue.end());
    return taken;
}

void observation_sender::drop_unsent(time_point now)
{
    std::erase_if(
        this->queue,
        [&](waiting_observation const& each)
        {
            bool const may_wait = now < each.added_at + longest_wait;
            if (!may_wait)
                this->share_of(each.is_notable).left_out += 1;
            return !may_wait;
        });
}

observation_sender::sampled_share& observation_sender::share_of(bool is_notable)
{
    return is_notable ? this->notable : this->usual;
}

} // namespace cairnhead
