#include <future>
#include <runtime/health_answer.hpp>
#include <runtime/health_prober.hpp>
#include <string>

// Last: its macro `Test` breaks headers of Abseil.
#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

constexpr upstream_id asked(0x7f3f0003);

} // namespace

// Symptom: an upstream whose health endpoint answers nonsense gets new work.
// Sequence: answers of all kinds come, whole and broken.
// Cause: a reader that takes what it does not understand for good health.
Test(health, reads_answers_by_table)
{
    struct sample
    {
        long status;
        std::string body;
        upstream_condition condition;
        int load_permille;
    };
    std::vector<sample> const table{
        {200, R"({"condition":"healthy","load_permille":250})",
         upstream_condition::healthy, 250},
        {200, R"({"condition":"draining"})", upstream_condition::draining, 0},
        {200, R"({"condition":"shedding","load_permille":1000})",
         upstream_condition::shedding, 1000},
        {200, R"({"condition":"healthy","load_permille":99999999})",
         upstream_condition::healthy, 65535},
        {200, R"({"condition":"healthy","load_permille":-5})",
         upstream_condition::healthy, 0},
        {200, R"({"condition":"splendid"})", upstream_condition::failed, 0},
        {200, R"({"condition":7})", upstream_condition::failed, 0},
        {200, R"({})", upstream_condition::failed, 0},
        {200, R"([])", upstream_condition::failed, 0},
        {200, R"({"condition":"healthy")", upstream_condition::failed, 0},
        {200, "", upstream_condition::failed, 0},
        {503, R"({"condition":"healthy"})", upstream_condition::failed, 0},
        {0, R"({"condition":"healthy"})", upstream_condition::failed, 0},
    };
    for (sample const& each : table)
    {
        auto const report = read_health_answer(asked, each.status, each.body);
        cr_expect(report.upstream == asked);
        cr_expect(report.condition == each.condition, "%s", each.body.c_str());
        cr_expect_eq(
            int(report.load_permille), each.load_permille, "%s",
            each.body.c_str());
    }
}

// Symptom: an upstream without a health endpoint is probed once and never
// again, since its probe has no result.
// Sequence: nobody listens at the endpoint.
// Cause: a prober that only tells of answers.
Test(health, tells_of_an_endpoint_that_nobody_serves)
{
    std::promise<upstream_probed> told;
    health_prober prober(
        [&told](upstream_probed const& result)
        {
            told.set_value(result);
        });
    prober.probe({asked, 8080});
    auto const result = told.get_future().get();
    cr_expect(result.report.upstream == asked);
    cr_expect(result.report.condition == upstream_condition::failed);
}
