#include <reducer/routing_context.hpp>

namespace cairnhead
{

bool routing_context::is_owner_of(flow_id flow) const
{
    if (this->ownership.is_empty())
        return false;
    return this->ownership.holders_of(flow).owner == this->self.id;
}

pin* routing_context::insert(time_point now, pin_claim const& claim) const
{
    service const* const declared =
        this->declarations.find_service(claim.service);
    flow_class const traffic =
        declared != nullptr ? declared->traffic : flow_class::form;
    pin* const added = this->pins.insert(now, claim, traffic);
    if (added == nullptr || declared == nullptr)
        return added;
    added->organisation = declared->organisation;
    this->admitter.pin_added(*declared);
    return added;
}

void routing_context::count_flow(time_point now, pin& counted) const
{
    if (counted.is_counted)
        return;
    counted.is_counted = true;
    this->placer.flow_opened(now, counted.upstream);
}

void routing_context::uncount_flow(time_point now, pin& counted) const
{
    if (!counted.is_counted)
        return;
    counted.is_counted = false;
    this->placer.flow_closed(now, counted.upstream);
}

void routing_context::release(time_point now, pin& released) const
{
    this->uncount_flow(now, released);
    if (released.organisation != organisation_id())
        this->admitter.pin_removed(released.service, released.organisation);
    this->pins.remove(released.flow);
}

} // namespace cairnhead
