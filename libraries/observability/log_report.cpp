#include <observability/effect_text.hpp>
#include <observability/log_report.hpp>

#include <absl/container/inlined_vector.h>

namespace cairnhead
{

namespace
{

/// What the subject of a report names.
std::string_view subject_key(report_kind kind)
{
    switch (kind)
    {
    case report_kind::member_joined:
    case report_kind::member_suspected:
    case report_kind::member_died:
    case report_kind::member_left:
        return "vm";
    case report_kind::document_in_force:
    case report_kind::document_rejected:
    case report_kind::platform_stale:
        return "document";
    case report_kind::upstream_ejected:
    case report_kind::upstream_restored:
    case report_kind::upstream_unreachable:
    case report_kind::upstream_reachable:
    case report_kind::upstream_avoided:
    case report_kind::upstream_outlier_ejected:
    case report_kind::upstream_outlier_restored:
        return "upstream";
    case report_kind::domain_unreachable:
    case report_kind::domain_reachable:
    case report_kind::domain_silent:
    case report_kind::domain_heard:
        return "failure_domain";
    case report_kind::spill_started:
    case report_kind::spill_stopped:
        return "service";
    default:
        return "subject";
    }
}

} // namespace

log_level level_of(report_kind kind)
{
    switch (kind)
    {
    case report_kind::document_rejected:
    case report_kind::view_expired:
        return log_level::error;
    case report_kind::member_suspected:
    case report_kind::member_died:
    case report_kind::started_alone:
    case report_kind::platform_unreachable:
    case report_kind::platform_stale:
    case report_kind::upstream_ejected:
    case report_kind::domain_unreachable:
    case report_kind::domain_silent:
    case report_kind::upstream_unreachable:
    case report_kind::pin_conflict:
    case report_kind::upstream_outlier_ejected:
        return log_level::warning;
    default:
        return log_level::info;
    }
}

void write_report(logger& log, report const& told)
{
    absl::InlinedVector<log_field, 8> fields;
    if (!told.subject.empty())
        fields.push_back({subject_key(told.kind), told.subject});
    if (!told.detail.empty())
        fields.push_back({"detail", told.detail});
    for (report_fact const& fact : told.facts)
        fields.push_back({fact.key, fact.value});
    log.write(level_of(told.kind), to_text(told.kind), std::span(fields));
}

} // namespace cairnhead
