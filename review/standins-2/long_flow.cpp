#include "long_flow.hpp"

#include <iostream>

namespace review
{

std::vector<route> offers_route(world const& all)
{
    return {{all.first_route, offers_port, "non_idempotent", "applydesk"}};
}

void serve_short_flows(world& all, int number)
{
    for (int index = 0; index < number; ++index)
    {
        auto const one = all.client->open(all.first_route, offers_port);
        all.client->request(one, "short-" + std::to_string(index));
        all.events.run_for(60ms);
        all.client->close(one);
    }
}

long_flow open_long_flow(world& all, bool loses_answer)
{
    auto const has_lost = std::make_shared<bool>(!loses_answer);
    for (auto const& each : all.hosts)
    {
        each->set_loss(
            [has_lost](host const&, packet const& sent)
            {
                bool const is_lost = !*has_lost && sent.has(flag::syn);
                *has_lost |= is_lost;
                return is_lost;
            });
    }
    long_flow made;
    made.flow = all.client->open(all.first_route, offers_port);
    request_on(all, made, "long-1");
    for (auto const& each : all.hosts)
    {
        if (each->holds(all.client->address(), made.flow->port))
            made.holder = each.get();
    }
    if (made.flow->answers != 1 || made.holder == nullptr)
        give_up("the long flow did not open");
    all.seen.write("the long flow is open at " + made.holder->about().id);
    return made;
}

void request_on(world& all, long_flow const& on, std::string const& attempt)
{
    int const before = on.flow->answers;
    all.client->request(on.flow, attempt);
    all.events.run_until(
        [&]
        {
            return on.flow->answers > before ||
                   on.flow->state == caller::flow_state::reset;
        },
        4000ms);
}

int judge(world& all, long_flow const& of)
{
    bool const is_held = of.holder->holds(all.client->address(), of.flow->port);
    bool const is_wrong_reset =
        of.flow->state == caller::flow_state::reset &&
        of.flow->reset_by != of.holder->about().address && is_held;
    std::string told = "answers=" + std::to_string(of.flow->answers) + " of 3";
    if (is_wrong_reset)
        told += ", reset by " + to_text(of.flow->reset_by) +
                " while the flow is open at " +
                to_text(of.holder->about().address);
    std::cout << told << "\n";
    all.seen.write(
        (is_wrong_reset ? "FLOW is broken: " : "FLOW holds: ") + told);
    return is_wrong_reset ? 1 : 0;
}

} // namespace review
