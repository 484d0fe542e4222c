#include "explanation_text.hpp"

#include "answer_text.hpp"
#include "text_table.hpp"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace cairnhead
{

namespace
{

constexpr std::string_view absent = "none";
constexpr std::uint32_t whole_permille = 1000;

template <typename Id>
std::string text_or_none(std::optional<Id> const& id)
{
    return id.has_value() ? to_text(*id) : std::string(absent);
}

template <typename Id>
nlohmann::json text_or_null(std::optional<Id> const& id)
{
    return id.has_value() ? nlohmann::json(to_text(*id)) : nlohmann::json();
}

nlohmann::json
number_or_null(std::optional<std::chrono::milliseconds> const& length)
{
    return length ? nlohmann::json(length->count()) : nlohmann::json();
}

template <typename Entry>
nlohmann::json list_json(std::vector<Entry> const& entries)
{
    auto list = nlohmann::json::array();
    for (Entry const& entry : entries)
        list.push_back(to_json(entry));
    return list;
}

void append_length(
    std::string& out,
    std::string_view before,
    std::optional<std::chrono::milliseconds> const& length,
    std::string_view after)
{
    if (!length)
        return;
    absl::StrAppend(
        &out, out.empty() ? "" : ", ",
        absl::string_view(before.data(), before.size()), length->count(),
        absl::string_view(after.data(), after.size()));
}

text_table table_of_decision(explain_answer const& answer)
{
    text_table table({"PROPERTY", "VALUE"});
    table.add_row({"service", answer.service});
    table.add_row({"rule", std::string(to_text(answer.rule))});
    table.add_row({"pinned_upstream", text_or_none(answer.pinned)});
    if (!answer.pool.empty())
    {
        table.add_row({"pool", answer.pool});
        table.add_row({"new_flow_gets", text_or_none(answer.would_get)});
        for (document_answer const& document : answer.documents)
            table.add_row({"document " + document.name, describe(document)});
        return table;
    }
    table.add_row({"owner", text_or_none(answer.owner)});
    table.add_row({"backup", text_or_none(answer.backup)});
    table.add_row({"predicted_upstream", text_or_none(answer.predicted)});
    table.add_row(
        {"documents_generation", std::to_string(answer.documents_generation)});
    return table;
}

text_table table_of_candidates(std::vector<upstream_answer> const& candidates)
{
    text_table table(
        {"UPSTREAM", "ADDRESS", "FAILURE DOMAIN", "FLOWS HERE", "SLOTS", "LOAD",
         "VERDICT", "EVIDENCE"});
    for (upstream_answer const& each : candidates)
    {
        belief_answer const belief = each.belief.value_or(belief_answer());
        table.add_row(
            {each.name, to_text(each.id), each.failure_domain,
             std::to_string(each.flows), std::to_string(each.slots),
             format_permille(belief.load_permille),
             std::string(to_text(belief.verdict)), describe(belief)});
    }
    return table;
}

nlohmann::json to_json(std::optional<rating_answer> const& rating)
{
    if (!rating)
        return {};
    return {
        {"relative_permille", rating->relative_permille},
        {"short_permille", rating->short_permille},
        {"work_permille", rating->work_permille},
        {"ejected", rating->is_ejected},
        {"in_force_for_ms", rating->in_force_for.count()}};
}

nlohmann::json to_json(belief_answer const& belief)
{
    return {
        {"verdict", to_text(belief.verdict)},
        {"load_permille", belief.load_permille},
        {"unanswered_openings", belief.unanswered},
        {"answered_ms_ago", number_or_null(belief.answered_ago)},
        {"silent_ms", number_or_null(belief.silent_for)},
        {"avoided_for_ms", number_or_null(belief.avoided_for)},
        {"missing_ms", number_or_null(belief.missing_for)},
        {"rating", to_json(belief.rating)}};
}

} // namespace

std::string format_permille(std::uint32_t permille)
{
    constexpr std::uint32_t hundredth = 10;
    auto const hundredths = permille % whole_permille / hundredth;
    return absl::StrCat(
        permille / whole_permille, ".", absl::Dec(hundredths, absl::kZeroPad2));
}

void write_explanation(std::ostream& out, explain_answer const& answer)
{
    table_of_decision(answer).write(out);
    if (answer.candidates.empty())
        return;
    out << '\n';
    table_of_candidates(answer.candidates).write(out);
}

nlohmann::json to_json(explain_answer const& answer)
{
    return {
        {"service", answer.service},
        {"rule", to_text(answer.rule)},
        {"owner", text_or_null(answer.owner)},
        {"backup", text_or_null(answer.backup)},
        {"pinned_upstream", text_or_null(answer.pinned)},
        {"predicted_upstream", text_or_null(answer.predicted)},
        {"documents_generation", answer.documents_generation},
        {"pool", answer.pool},
        {"new_flow_gets", text_or_null(answer.would_get)},
        {"candidates", list_json(answer.candidates)},
        {"documents", list_json(answer.documents)}};
}

nlohmann::json to_json(upstream_answer const& upstream)
{
    nlohmann::json object = {
        {"upstream", upstream.name},
        {"address", to_text(upstream.id)},
        {"failure_domain", upstream.failure_domain},
        {"flows", upstream.flows},
        {"slots", upstream.slots},
        {"condition", to_text(upstream.condition)},
        {"reported_load_permille", upstream.reported_load_permille},
        {"ejected", upstream.is_ejected},
        {"cold", upstream.is_cold}};
    object["belief"] =
        upstream.belief ? to_json(*upstream.belief) : nlohmann::json();
    return object;
}

std::string describe(belief_answer const& belief)
{
    std::string text;
    append_length(text, "registry lost it ", belief.missing_for, " ms ago");
    append_length(text, "silent for ", belief.silent_for, " ms");
    append_length(text, "spared for ", belief.avoided_for, " ms more");
    if (belief.unanswered > 0)
        absl::StrAppend(
            &text, text.empty() ? "" : ", ", belief.unanswered,
            " openings unanswered");
    append_length(text, "answered ", belief.answered_ago, " ms ago");
    if (belief.rating)
        absl::StrAppend(
            &text, text.empty() ? "" : ", ", "answer time ",
            format_permille(belief.rating->relative_permille),
            " of usual, work ", format_permille(belief.rating->work_permille),
            " of slots, short ", format_permille(belief.rating->short_permille),
            " of answers");
    return text;
}

std::string describe(document_answer const& document)
{
    std::string text = absl::StrCat("version ", document.version.value());
    if (document.age)
        absl::StrAppend(&text, ", in force for ", document.age->count(), " ms");
    return text;
}

nlohmann::json to_json(document_answer const& document)
{
    return {
        {"name", document.name},
        {"version", document.version.value()},
        {"age_ms", number_or_null(document.age)}};
}

} // namespace cairnhead
