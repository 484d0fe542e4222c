#include "command.hpp"
#include "error_lines.hpp"
#include "flags.hpp"
#include "text_file.hpp"
#include "text_table.hpp"
#include "usage_error.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <base/ipv4.hpp>
#include <declaration/declaration.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

namespace cairnhead
{

namespace
{

/// The selector, or nothing after telling the operator what is wrong.
std::optional<selector> read_selector(std::string const& text)
{
    try
    {
        return selector::parse(text);
    }
    catch (declaration_rejected const& rejected)
    {
        write_errors(std::cerr, "SELECTOR", rejected.errors());
        return std::nullopt;
    }
}

/// The upstreams of one document that the selector picks.
std::vector<upstream>
pick(selector const& picks, organisation_document const& document)
{
    auto const picked = pick_upstreams(picks, document.upstreams);
    std::vector<upstream> found;
    for (upstream const& candidate : document.upstreams)
    {
        if (std::ranges::binary_search(picked, candidate.id))
            found.push_back(candidate);
    }
    return found;
}

std::string address_text(upstream const& shown)
{
    return format_ipv4(ipv4_address(shown.id.value()));
}

std::string label_text(upstream const& shown)
{
    return absl::StrJoin(shown.labels, ",", absl::PairFormatter("="));
}

void print_table(
    std::string const& organisation, std::span<upstream const> picked)
{
    text_table table({"ORGANISATION", "UPSTREAM", "ADDRESS", "LABELS"});
    for (upstream const& each : picked)
        table.add_row(
            {organisation, each.name, address_text(each), label_text(each)});
    table.write(std::cout);
}

nlohmann::json
to_json(std::string const& organisation, std::span<upstream const> picked)
{
    auto rows = nlohmann::json::array();
    for (upstream const& each : picked)
        rows.push_back(
            {{"organisation", organisation},
             {"upstream", each.name},
             {"address", address_text(each)},
             {"labels", each.labels}});
    return rows;
}

} // namespace

exit_code match_selector(operand_list operands)
{
    std::string const path = absl::GetFlag(FLAGS_declarations);
    if (path.empty())
        throw usage_error(usage_error_kind::missing_flag, "--declarations");
    auto const picks = read_selector(operands.front());
    if (!picks.has_value())
        return exit_code::rejected;
    auto const document = parse_organisation(read_text_file(path));
    auto const picked = pick(*picks, document);
    if (absl::GetFlag(FLAGS_json))
        std::cout << to_json(document.organisation, picked).dump(2) << '\n';
    else
        print_table(document.organisation, picked);
    return exit_code::success;
}

} // namespace cairnhead
