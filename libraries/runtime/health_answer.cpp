#include <runtime/health_answer.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cairnhead
{

namespace
{

constexpr long http_ok = 200;

struct named_condition
{
    std::string_view name;
    upstream_condition condition;
};

constexpr std::array known_conditions{
    named_condition{"healthy", upstream_condition::healthy},
    named_condition{"draining", upstream_condition::draining},
    named_condition{"shedding", upstream_condition::shedding},
};

std::optional<upstream_condition> read_condition(nlohmann::json const& answer)
{
    auto const field = answer.find("condition");
    if (field == answer.end() || !field->is_string())
        return std::nullopt;
    auto const& name = field->get_ref<std::string const&>();
    for (named_condition const& known : known_conditions)
    {
        if (known.name == name)
            return known.condition;
    }
    return std::nullopt;
}

std::uint16_t read_load(nlohmann::json const& answer)
{
    auto const field = answer.find("load_permille");
    if (field == answer.end() || !field->is_number_unsigned())
        return 0;
    constexpr std::uint64_t highest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(
        std::min(field->get<std::uint64_t>(), highest));
}

} // namespace

upstream_report read_health_answer(
    upstream_id upstream, long http_status, std::string_view body)
{
    upstream_report report;
    report.upstream = upstream;
    report.condition = upstream_condition::failed;
    if (http_status != http_ok)
        return report;
    constexpr auto without_exceptions = false;
    auto const answer =
        nlohmann::json::parse(body, nullptr, without_exceptions);
    if (!answer.is_object())
        return report;
    report.condition =
        read_condition(answer).value_or(upstream_condition::failed);
    report.load_permille = read_load(answer);
    return report;
}

} // namespace cairnhead
