#include <declaration/address_text.hpp>
#include <declaration/declaration.hpp>
#include <declaration/document_reader.hpp>

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <array>

namespace cairnhead
{

namespace
{

using kind = declaration_error_kind;

/// A range with what an overlap's report needs.
struct placed_range
{
    address_range range;
    std::string_view organisation;
    document_place place;
};

/// Reads the allotment's parts and notes where each range stands.
class allotment_reader
{
public:
    [[nodiscard]] allotment read(yaml_value const& root)
    {
        constexpr std::array<std::string_view, 1> keys = {"organisations"};
        declaration_mapping const mapping(root, {}, keys, this->errors);
        allotment result;
        yaml_value const* const all = mapping.require("organisations");
        if (all != nullptr)
            result = this->read_organisations(*all);
        this->refuse_overlaps();
        throw_if_any(this->errors);
        return result;
    }

private:
    [[nodiscard]] allotment read_organisations(yaml_value const& all)
    {
        allotment result;
        for (yaml_entry const& entry :
             read_entries(all, "organisations", this->errors))
        {
            if (!is_name(entry.key))
                this->errors.add(kind::bad_name, entry.place, entry.key);
            result.organisations.push_back(this->read_organisation(entry));
        }
        return result;
    }

    [[nodiscard]] organisation_allotment
    read_organisation(yaml_entry const& entry)
    {
        constexpr std::array<std::string_view, 2> keys = {
            "addresses", "upstreams"};
        declaration_mapping const mapping(
            entry.value, entry.key, keys, this->errors);
        organisation_allotment result;
        result.organisation = entry.key;
        result.service_addresses =
            this->read_ranges(mapping, "addresses", entry.key);
        result.upstream_addresses =
            this->read_ranges(mapping, "upstreams", entry.key);
        return result;
    }

    [[nodiscard]] std::vector<address_range> read_ranges(
        declaration_mapping const& mapping,
        std::string_view key,
        std::string_view organisation)
    {
        std::vector<address_range> ranges;
        yaml_value const* const list = mapping.require(key);
        if (list == nullptr)
            return ranges;
        std::string const path = mapping.path_of(key);
        for (yaml_value const& item : read_sequence(*list, path, this->errors))
        {
            std::optional<address_range> const range =
                this->read_range(item, path);
            if (!range.has_value())
                continue;
            ranges.push_back(*range);
            this->placed.push_back({*range, organisation, item.place});
        }
        return ranges;
    }

    [[nodiscard]] std::optional<address_range>
    read_range(yaml_value const& item, std::string_view path)
    {
        std::string const* const text = read_scalar(item, path, this->errors);
        if (text == nullptr)
            return std::nullopt;
        std::optional<address_range> const range = parse_address_range(*text);
        if (!range.has_value())
            this->errors.add(kind::bad_address, item.place, *text);
        return range;
    }

    /// Two organisations with one address could take each other's traffic.
    /// Upstreams and service addresses are compared with each other too: an
    /// upstream at another's service address would send traffic there.
    ///
    /// In order of first address it is enough to look at the range that
    /// reaches furthest: a third one which overlaps the new range as well
    /// overlaps that one, and has been reported with it.
    void refuse_overlaps()
    {
        std::ranges::stable_sort(
            this->placed, {},
            [](placed_range const& item)
            {
                return item.range.first;
            });
        placed_range const* furthest = nullptr;
        for (placed_range const& item : this->placed)
        {
            if (furthest != nullptr)
                this->refuse_overlap(*furthest, item);
            bool const reaches_further =
                furthest == nullptr ||
                last_address(item.range) > last_address(furthest->range);
            if (reaches_further)
                furthest = &item;
        }
    }

    void refuse_overlap(placed_range const& first, placed_range const& second)
    {
        if (first.organisation == second.organisation)
            return;
        if (!first.range.contains(second.range.first))
            return;
        this->errors.add(
            kind::overlapping_allotment, second.place, second.organisation);
    }

    declaration_errors errors;
    std::vector<placed_range> placed;
};

/// Compares one document with its organisation's allotment.
class allotment_check
{
public:
    allotment_check(
        organisation_document const& checked,
        organisation_allotment const& granted)
        : document(checked), allowed(granted)
    {
    }

    [[nodiscard]] std::vector<declaration_error> run()
    {
        for (declared_service const& item : this->document.services)
            this->check_service(item);
        for (upstream const& item : this->document.upstreams)
            this->check_upstream(item);
        return this->errors.take();
    }

private:
    void check_service(declared_service const& item)
    {
        service const& declared = item.declared;
        if (!is_in_any(
                this->allowed.service_addresses, declared.address.address))
            this->errors.add(
                kind::address_not_allotted, item.place, declared.name);
        if (!this->addresses.insert(declared.address).second)
            this->errors.add(
                kind::address_used_twice, item.place, declared.name);
        // Ids are hashes; two names with one id would share their flows.
        if (!this->services.insert(declared.id).second)
            this->errors.add(kind::bad_name, item.place, declared.name);
    }

    void check_upstream(upstream const& item)
    {
        document_place const place = this->place_of(item);
        ipv4_address const address(item.id.value());
        if (!is_in_any(this->allowed.upstream_addresses, address))
            this->errors.add(kind::upstream_not_allotted, place, item.name);
        if (!this->upstreams.insert(item.id).second)
            this->errors.add(kind::upstream_used_twice, place, item.name);
    }

    [[nodiscard]] document_place place_of(upstream const& item) const
    {
        auto const found = this->document.upstream_places.find(item.name);
        if (found == this->document.upstream_places.end())
            return {};
        return found->second;
    }

    [[nodiscard]] static bool
    is_in_any(std::span<address_range const> ranges, ipv4_address address)
    {
        return std::ranges::any_of(
            ranges,
            [address](address_range const& range)
            {
                return range.contains(address);
            });
    }

    organisation_document const& document;
    organisation_allotment const& allowed;
    declaration_errors errors;
    absl::flat_hash_set<endpoint> addresses;
    absl::flat_hash_set<service_id> services;
    absl::flat_hash_set<upstream_id> upstreams;
};

} // namespace

organisation_allotment const*
allotment::find(std::string_view organisation) const
{
    auto const found = std::ranges::find(
        this->organisations, organisation,
        &organisation_allotment::organisation);
    return found == this->organisations.end() ? nullptr : &*found;
}

allotment parse_allotment(std::string_view text)
{
    yaml_value const root = parse_declaration_yaml(text);
    return allotment_reader().read(root);
}

std::vector<declaration_error> check_against_allotment(
    organisation_document const& document, allotment const& allotted)
{
    organisation_allotment const* const allowed =
        allotted.find(document.organisation);
    if (allowed == nullptr)
        return {{kind::wrong_organisation, 0, 0, document.organisation}};
    return allotment_check(document, *allowed).run();
}

} // namespace cairnhead
