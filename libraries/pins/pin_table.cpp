#include <pins/pin_table.hpp>

#include <base/hash.hpp>

#include <cassert>

namespace cairnhead
{

namespace
{

std::size_t spread(flow_id flow)
{
    // The ownership table takes the low bits of the flow, so all pins of one
    // VM have a few values there; the mix keeps them apart in the index.
    return hash_pair(flow.value(), 0);
}

} // namespace

std::size_t pin_table::flow_hash::operator()(std::uint32_t at) const
{
    return spread((*this->pins)[at].flow);
}

std::size_t pin_table::flow_hash::operator()(flow_id flow) const
{
    return spread(flow);
}

bool pin_table::flow_equal::operator()(
    std::uint32_t left, std::uint32_t right) const
{
    return left == right;
}

bool pin_table::flow_equal::operator()(std::uint32_t left, flow_id right) const
{
    return (*this->pins)[left].flow == right;
}

bool pin_table::flow_equal::operator()(flow_id left, std::uint32_t right) const
{
    return (*this)(right, left);
}

pin_table::pin_table(pin_settings const& initial_settings)
    : settings(initial_settings),
      index(0, flow_hash{&this->pins}, flow_equal{&this->pins})
{
    // Reserved at once: growing copies the whole table in one event, which
    // would hold up every packet behind it.
    this->pins.reserve(this->settings.maximum_pins);
    this->index.reserve(this->settings.maximum_pins);
}

pin* pin_table::find(flow_id flow)
{
    auto const found = this->index.find(flow);
    if (found == this->index.end())
        return nullptr;
    return &this->pins[*found];
}

pin const* pin_table::find(flow_id flow) const
{
    auto const found = this->index.find(flow);
    if (found == this->index.end())
        return nullptr;
    return &this->pins[*found];
}

pin* pin_table::insert(
    time_point now, pin_claim const& claim, flow_class traffic)
{
    // A second pin of one flow would corrupt the index at the next removal.
    bool const is_there = this->find(claim.flow) != nullptr;
    if (is_there || this->is_full())
        return nullptr;
    pin& added = this->pins.emplace_back();
    added.flow = claim.flow;
    added.service = claim.service;
    added.upstream = claim.upstream;
    added.traffic = traffic;
    this->index.insert(static_cast<std::uint32_t>(this->pins.size() - 1));
    this->set_state(now, added, claim.state);
    added.refresh_at = now + this->settings.refresh_period;
    return &added;
}

void pin_table::touch(time_point now, pin& touched) const
{
    if (touched.state == pin_state::opening)
        return;
    touched.expires_at = now + this->lifetime_of(touched);
}

void pin_table::set_state(time_point now, pin& changed, pin_state state) const
{
    changed.state = state;
    changed.expires_at = now + this->lifetime_of(changed);
}

void pin_table::set_reset(time_point now, pin& changed) const
{
    changed.state = pin_state::closing;
    changed.expires_at = now + this->settings.reset_lifetime;
}

void pin_table::remove(flow_id flow)
{
    auto const found = this->index.find(flow);
    if (found == this->index.end())
        return;
    std::uint32_t const at = *found;
    auto const last = static_cast<std::uint32_t>(this->pins.size() - 1);
    this->index.erase(found);
    if (at != last)
    {
        this->index.erase(this->pins[last].flow);
        this->pins[at] = this->pins[last];
        this->index.insert(at);
    }
    this->pins.pop_back();
}

time_point pin_table::opened_at(pin const& opening) const
{
    assert(opening.state == pin_state::opening);
    return opening.expires_at - this->settings.opening_lifetime;
}

std::size_t pin_table::size() const
{
    return this->pins.size();
}

bool pin_table::is_full() const
{
    return this->pins.size() >= this->settings.maximum_pins;
}

std::span<pin const> pin_table::all() const
{
    return this->pins;
}

pin& pin_table::at(std::size_t position)
{
    assert(position < this->pins.size());
    return this->pins[position];
}

std::size_t pin_table::memory_bytes() const
{
    // The index keeps one control byte beside each place.
    constexpr std::size_t index_place = sizeof(std::uint32_t) + 1;
    return this->pins.capacity() * sizeof(pin) +
           this->index.capacity() * index_place;
}

duration pin_table::lifetime_of(pin const& living) const
{
    if (living.state == pin_state::opening)
        return this->settings.opening_lifetime;
    if (living.state == pin_state::closing)
        return this->settings.closing_lifetime;
    switch (living.traffic)
    {
    case flow_class::feed:
        return this->settings.feed_lifetime;
    case flow_class::form:
        return this->settings.form_lifetime;
    case flow_class::media:
    case flow_class::upload:
        return this->settings.media_lifetime;
    }
    return this->settings.form_lifetime;
}

} // namespace cairnhead
