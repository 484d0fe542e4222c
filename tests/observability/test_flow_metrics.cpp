#include <observability/flow_metrics.hpp>
#include <observability/metrics.hpp>

#include <regex>
#include <string>

// Last: its macro `Test` would change Abseil's headers.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view fault_names[] = {"truncated"};

struct fixture
{
    [[nodiscard]] bool has_line(std::string const& line) const
    {
        return ("\n" + this->all.scrape()).find("\n" + line + "\n") !=
               std::string::npos;
    }

    metrics all{fault_names};
    flow_metrics flows{*all.registry()};
};

flow_decision make_decision(std::string service, flow_step step)
{
    flow_decision decided;
    decided.service = std::move(service);
    decided.step = step;
    return decided;
}

} // namespace

Test(flow_metrics, tell_each_outcome_by_service)
{
    fixture it;
    it.flows.count(make_decision("listings", flow_step::placed));
    it.flows.count(make_decision("listings", flow_step::placed));
    it.flows.count(make_decision("media", flow_step::reset));
    auto confirmed = make_decision("listings", flow_step::confirmed);
    confirmed.waited = 3ms;
    it.flows.count(confirmed);
    it.flows.observe_check(connection_outcome::unanswered, 100ms);
    it.flows.observe_call(
        call_outcome::failed, platform_call_reason::lost_history, 2500ms);
    belief_gauges beliefs;
    beliefs.upstreams_unreachable = 2;
    beliefs.documents = {{"registry/routes", document_version(12), 90s}};
    beliefs.log_lines_left_out = 5;
    beliefs.ratings_in_force = 3;
    beliefs.outlier_ejections = 1;
    it.flows.set(beliefs);
    beliefs.outlier_ejections = 2;
    beliefs.rating_messages_sent = 7;
    it.flows.set(beliefs);
    std::string const lines[] = {
        R"(cairnhead_flow_steps_total{service="listings",step="flow_placed"} 2)",
        R"(cairnhead_flow_steps_total{service="media",step="flow_reset"} 1)",
        R"(cairnhead_flow_steps_total{service="media",step="flow_placed"} 0)",
        R"(cairnhead_opening_answer_seconds_count{service="listings"} 1)",
        R"(cairnhead_opening_answer_seconds_bucket{service="listings",le="0.0025"} 0)",
        R"(cairnhead_opening_answer_seconds_bucket{service="listings",le="0.005"} 1)",
        R"(cairnhead_upstream_check_seconds_count{outcome="unanswered"} 1)",
        R"(cairnhead_platform_call_seconds_count{outcome="failed",reason="lost_history"} 1)",
        R"(cairnhead_upstreams{state="unreachable"} 2)",
        R"(cairnhead_document_version{document="registry/routes"} 12)",
        R"(cairnhead_document_age_seconds{document="registry/routes"} 90)",
        R"(cairnhead_log_lines_left_out{reason="limit"} 5)",
        R"(cairnhead_upstream_ratings 3)",
        R"(cairnhead_upstream_ejections_total 2)",
        R"(cairnhead_rating_messages_total{kind="ratings_sent"} 7)",
        R"(cairnhead_rating_messages_total{kind="observations_sent"} 0)",
    };
    for (auto const& line : lines)
        cr_expect(it.has_line(line), "%s", line.c_str());
}

// Guards against refusals of urgent openings that nobody sees, and against a
// series for each number that the platform publishes as a priority.
Test(flow_metrics, tell_refusals_by_priority_and_spilled_openings)
{
    fixture it;
    auto refused = make_decision("listings", flow_step::refused);
    it.flows.count(refused);
    for (std::uint8_t const priority :
         std::initializer_list<std::uint8_t>{0, 2, 2, 10, 255})
    {
        refused.priority = priority;
        it.flows.count(refused);
    }
    auto spilled = make_decision("listings", flow_step::placed);
    spilled.rule = flow_rule::spilled;
    it.flows.count(spilled);
    std::string const lines[] = {
        R"(cairnhead_refused_openings_total{priority="none"} 1)",
        R"(cairnhead_refused_openings_total{priority="0"} 1)",
        R"(cairnhead_refused_openings_total{priority="2"} 2)",
        R"(cairnhead_refused_openings_total{priority="other"} 2)",
        R"(cairnhead_spilled_openings_total{service="listings"} 1)",
    };
    for (auto const& line : lines)
        cr_expect(it.has_line(line), "%s", line.c_str());
}

Test(flow_metrics, services_without_end_share_a_label)
{
    // Symptom: a scrape grows until the scraper gives up. Sequence: the
    // platform publishes ever more services. Cause: a label for each value that
    // came from outside.
    fixture it;
    for (std::size_t number = 0; number < maximum_labelled_services + 5;
         ++number)
        it.flows.count(make_decision(
            "service-" + std::to_string(number), flow_step::placed));
    cr_expect(it.has_line(
        R"(cairnhead_flow_steps_total{service="other",step="flow_placed"} 5)"));
}

Test(flow_metrics, the_exposition_has_its_format)
{
    // As the text format 0.0.4 describes it: comments, or a name, labels and a
    // number.
    fixture it;
    it.flows.count(make_decision("a \"b\"\\\n", flow_step::placed));
    it.flows.set({});
    std::regex const comment("# (HELP|TYPE) [a-zA-Z_:][a-zA-Z0-9_:]* .+");
    std::regex const sample(
        "[a-zA-Z_:][a-zA-Z0-9_:]*"
        "(\\{[a-zA-Z_][a-zA-Z0-9_]*=\"([^\"\\\\]|\\\\[\\\\\"n])*\""
        "(,[a-zA-Z_][a-zA-Z0-9_]*=\"([^\"\\\\]|\\\\[\\\\\"n])*\")*\\})? "
        "([0-9.e+-]+|\\+Inf|NaN)");
    auto const text = it.all.scrape();
    std::size_t begin = 0;
    std::size_t lines = 0;
    while (begin < text.size())
    {
        auto const end = text.find('\n', begin);
        cr_assert_neq(end, std::string::npos);
        auto const line = text.substr(begin, end - begin);
        cr_expect(
            std::regex_match(line, comment) || std::regex_match(line, sample),
            "%s", line.c_str());
        begin = end + 1;
        ++lines;
    }
    cr_expect_gt(lines, 50);
}
