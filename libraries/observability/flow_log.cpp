#include <observability/flow_log.hpp>

#include <base/ipv4.hpp>
#include <observability/effect_text.hpp>
#include <registry/tag.hpp>

#include <absl/container/inlined_vector.h>
#include <string>

namespace cairnhead
{

namespace
{

/// An answer that takes longer is worth a line of its own; below it, the line
/// of the flow's opening says all. Openings are offered again after this.
constexpr duration slow_answer = std::chrono::milliseconds(50);

/// Whether flows take this step when all is well.
bool is_ordinary(flow_decision const& decided)
{
    bool const is_taken_over_by_tag = decided.step == flow_step::taken_over &&
                                      decided.rule == flow_rule::named_by_tag;
    return decided.step == flow_step::placed ||
           decided.step == flow_step::confirmed || is_taken_over_by_tag;
}

log_level level_of(flow_step step)
{
    return step == flow_step::reset || step == flow_step::refused
               ? log_level::warning
               : log_level::info;
}

/// The fields of one line, with the texts that they view.
class decision_fields
{
public:
    void add(std::string_view key, std::string value)
    {
        this->texts.push_back(std::move(value));
        this->keys.push_back(key);
    }

    void add(std::string_view key, std::uint64_t value)
    {
        this->add(key, std::to_string(value));
    }

    void add(std::string_view key, endpoint const& place)
    {
        this->add(
            key, format_ipv4(place.address) + ":" + std::to_string(place.port));
    }

    /// In whole milliseconds.
    void add(std::string_view key, duration length)
    {
        auto const whole =
            std::chrono::duration_cast<std::chrono::milliseconds>(length);
        this->add(key, std::to_string(whole.count()));
    }

    void write(logger& log, log_level level, std::string_view event) const
    {
        absl::InlinedVector<log_field, usual_fields> fields;
        for (std::size_t index = 0; index < this->keys.size(); ++index)
            fields.push_back({this->keys[index], this->texts[index]});
        log.write(level, event, std::span(fields));
    }

private:
    static constexpr std::size_t usual_fields = 16;

    absl::InlinedVector<std::string_view, usual_fields> keys;
    absl::InlinedVector<std::string, usual_fields> texts;
};

} // namespace

flow_log::flow_log(logger& shared_log, std::uint32_t flows_per_second)
    : log(shared_log), sampler(flows_per_second)
{
}

bool flow_log::is_logged(time_point now, flow_decision const& decided)
{
    if (decided.step == flow_step::placed)
        return this->sampler.note_opened(now, decided.flow);
    if (decided.step == flow_step::confirmed && decided.waited < slow_answer)
        return false;
    return !is_ordinary(decided) || this->sampler.keeps(decided.flow);
}

void flow_log::write(time_point now, flow_decision const& decided)
{
    if (!this->is_logged(now, decided))
    {
        ++this->left_out;
        return;
    }
    decision_fields fields;
    fields.add("caller", decided.caller);
    fields.add("route", decided.route);
    if (!decided.service.empty())
        fields.add("service", decided.service);
    fields.add("rule", std::string(to_text(decided.rule)));
    if (decided.upstream != instance_number())
    {
        fields.add("upstream", name_of_instance(decided.upstream));
        fields.add("at", format_ipv4(decided.address));
        fields.add("flows", decided.flows);
        fields.add("slots", decided.slots);
    }
    if (decided.pool_size > 0 || decided.rule == flow_rule::no_upstream)
    {
        fields.add("pool", decided.pool_size);
        fields.add("ready", decided.ready);
    }
    if (decided.step == flow_step::refused && decided.priority)
        fields.add("priority", std::uint64_t{*decided.priority});
    if (decided.waited > duration{})
        fields.add("waited_ms", decided.waited);
    if (decided.opened_at)
        fields.add("opened_ms_ago", now - *decided.opened_at);
    fields.add("routes", decided.known.routes.value());
    fields.add("registry", decided.known.upstreams.value());
    // A VM that just started has none, whose age would be the clock's.
    if (decided.known.upstreams != document_version())
        fields.add("registry_age_ms", now - decided.known.upstreams_since);
    if (this->sampler.kept_one_in() > 1)
        fields.add("logged_one_in", this->sampler.kept_one_in());
    fields.write(this->log, level_of(decided.step), to_text(decided.step));
}

std::uint64_t flow_log::sampled_out() const
{
    return this->left_out;
}

} // namespace cairnhead
