#include "command.hpp"
#include "declaration_files.hpp"
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

/// What the selector picks in one organisation; it never picks in another.
struct picked_upstreams
{
    std::string organisation;
    std::vector<upstream> upstreams;
};

/// The picks of each organisation's document. Throws as the readers do.
std::vector<picked_upstreams>
pick_in_all(selector const& picks, std::filesystem::path const& path)
{
    std::vector<picked_upstreams> found;
    for (auto const& file : find_declaration_files(path).organisations)
    {
        auto const document = parse_organisation(read_text_file(file));
        found.push_back({document.organisation, pick(picks, document)});
    }
    return found;
}

void print_table(std::span<picked_upstreams const> picked)
{
    text_table table({"ORGANISATION", "UPSTREAM", "ADDRESS", "LABELS"});
    for (picked_upstreams const& own : picked)
    {
        for (upstream const& each : own.upstreams)
            table.add_row(
                {own.organisation, each.name, address_text(each),
                 label_text(each)});
    }
    table.write(std::cout);
}

nlohmann::json to_json(std::span<picked_upstreams const> picked)
{
    auto rows = nlohmann::json::array();
    for (picked_upstreams const& own : picked)
    {
        for (upstream const& each : own.upstreams)
            rows.push_back(
                {{"organisation", own.organisation},
                 {"upstream", each.name},
                 {"address", address_text(each)},
                 {"labels", each.labels}});
    }
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
    auto const picked = pick_in_all(*picks, path);
    if (absl::GetFlag(FLAGS_json))
        std::cout << to_json(picked).dump(2) << '\n';
    else
        print_table(picked);
    return exit_code::success;
}

} // namespace cairnhead
