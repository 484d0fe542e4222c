#include <reducer/reducer.hpp>

#include <base/ipv4.hpp>

#include <string>
#include <utility>

/// The exchange of upstream ratings: where `tagging.placement` does not call
/// for them nothing is sent, and what arrives is ignored.
namespace cairnhead
{

bool reducer::uses_ratings() const
{
    return this->is_tagged() &&
           this->settings.tagging.placement == placement_rule::answer_times;
}

bool reducer::takes_ratings_of(vm_id sender) const
{
    return this->uses_ratings() &&
           this->members.domain_of(sender) == this->settings.self.domain;
}

std::optional<rated_upstream> reducer::find_rated(upstream_tag tag) const
{
    tagged_upstream const* const known = this->tagged.find_upstream(tag);
    if (known == nullptr || known->missing_since)
        return std::nullopt;
    return rated_upstream{
        .tag = known->tag,
        .instance = known->registered.instance,
        .life = known->registered.life,
        .domain = known->domain,
        .slots = known->registered.slots,
        .pool = known->registered.pool};
}

void reducer::receive(
    time_point now,
    vm_id sender,
    upstream_observation_listing const& message,
    effect_list&)
{
    if (!this->takes_ratings_of(sender))
        return;
    this->ratings.receive(
        now, message,
        [this](upstream_tag tag)
        {
            return this->find_rated(tag);
        });
}

void reducer::receive(
    time_point now,
    vm_id sender,
    upstream_rating_listing const& message,
    effect_list& out)
{
    if (!this->takes_ratings_of(sender))
        return;
    for (upstream_rating const& each : this->ratings.receive(now, message, out))
        this->tagged.apply_rating(now, each);
}

void reducer::exchange_ratings(time_point now, effect_list& out)
{
    if (!this->uses_ratings())
        return;
    auto const find = [this](upstream_tag tag)
    {
        return this->find_rated(tag);
    };
    auto const seen = this->tagged.take_observations();
    this->ratings.observe(now, seen, find);
    rating_outcome const outcome = this->ratings.advance(now, find, out);
    for (upstream_rating const& each : outcome.ratings)
        this->tagged.apply_rating(now, each);
    for (ejection_change const& each : outcome.ejections)
        this->report_outlier(now, each, out);
}

void reducer::report_outlier(
    time_point now, ejection_change const& change, effect_list& out) const
{
    tagged_upstream const* const known =
        this->tagged.find_upstream(change.upstream);
    if (known == nullptr)
        return;
    registered_upstream const& registered = known->registered;
    report told{
        report_kind::upstream_outlier_restored,
        format_ipv4(registered.address),
        {},
        {{"instance", name_of_start(registered)},
         {"failure_domain", registered.failure_domain}}};
    if (change.is_ejected)
    {
        told.kind = report_kind::upstream_outlier_ejected;
        auto const length =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                change.until - now);
        told.facts.push_back({"ejected_ms", std::to_string(length.count())});
    }
    out.emplace_back(std::move(told));
}

} // namespace cairnhead
