#include <versions/parsed_document.hpp>

#include <versions/document_name.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace cairnhead
{

namespace
{

declaration_error make_document_error(declaration_error_kind kind)
{
    return declaration_error{kind, 0, 0, {}};
}

parsed_document parse_text(std::string_view name, std::string_view text)
{
    if (name == allotment_document_name)
        return parse_allotment(text);
    auto document = parse_organisation(text);
    // Two documents that name the same organisation would both be checked
    // against its allotment, and both could claim the same address. Only the
    // document's name decides which organisation it belongs to.
    if (document.organisation != get_organisation(name))
        return make_document_error(declaration_error_kind::wrong_organisation);
    return document;
}

bool contains_address(
    std::span<address_range const> ranges, ipv4_address address)
{
    return std::ranges::any_of(
        ranges,
        [address](address_range const& range)
        {
            return range.contains(address);
        });
}

} // namespace

parsed_document parse_document(std::string_view name, std::string_view text)
{
    try
    {
        return parse_text(name, text);
    }
    catch (declaration_rejected const& rejected)
    {
        return rejected.errors().front();
    }
    catch (std::exception const&)
    {
        // A text that makes the parser throw an undeclared exception would end
        // the process; as texts spread to all VMs, every VM would end in turn.
        // The text is rejected like any invalid one, and only its organisation
        // is affected.
        return make_document_error(declaration_error_kind::not_yaml);
    }
}

std::optional<declaration_error>
find_error(parsed_document const& parsed, allotment const& allotted)
{
    if (auto const* error = std::get_if<declaration_error>(&parsed))
        return *error;
    auto const* document = std::get_if<organisation_document>(&parsed);
    if (document == nullptr)
        return std::nullopt;
    auto errors = check_against_allotment(*document, allotted);
    if (errors.empty())
        return std::nullopt;
    return std::move(errors.front());
}

std::optional<organisation_document>
restrict_to_allotment(parsed_document const& parsed, allotment const& allotted)
{
    auto const* document = std::get_if<organisation_document>(&parsed);
    if (document == nullptr)
        return std::nullopt;
    auto const* allotted_to_organisation =
        allotted.find(document->organisation);
    if (allotted_to_organisation == nullptr)
        return std::nullopt;
    auto kept = *document;
    std::erase_if(
        kept.services,
        [allotted_to_organisation](declared_service const& service)
        {
            auto const address = service.declared.address.address;
            return !contains_address(
                allotted_to_organisation->service_addresses, address);
        });
    std::erase_if(
        kept.upstreams,
        [allotted_to_organisation](upstream const& item)
        {
            auto const address = ipv4_address(item.id.value());
            return !contains_address(
                allotted_to_organisation->upstream_addresses, address);
        });
    if (!check_against_allotment(kept, allotted).empty())
        return std::nullopt;
    return kept;
}

} // namespace cairnhead
