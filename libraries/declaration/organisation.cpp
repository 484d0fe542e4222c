#include <base/hash.hpp>
#include <base/ipv4.hpp>
#include <declaration/address_text.hpp>
#include <declaration/declaration.hpp>
#include <declaration/document_reader.hpp>
#include <declaration/label.hpp>

#include <array>
#include <limits>

namespace cairnhead
{

namespace
{

using kind = declaration_error_kind;

constexpr std::string_view draining_label = "draining";
constexpr std::string_view not_draining_value = "false";
constexpr std::string_view per_second_suffix = "/s";
constexpr std::uint64_t maximum_slots = 10'000;
constexpr std::uint64_t highest_port =
    std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t highest_count =
    std::numeric_limits<std::uint32_t>::max();

constexpr std::array<named_value<transport_protocol>, 2> protocols = {{
    {"tcp", transport_protocol::tcp},
    {"udp", transport_protocol::udp},
}};

constexpr std::array<named_value<flow_class>, 4> classes = {{
    {"feed", flow_class::feed},
    {"form", flow_class::form},
    {"media", flow_class::media},
    {"upload", flow_class::upload},
}};

constexpr std::array<named_value<placement_preference>, 2> preferences = {{
    {"continuity", placement_preference::continuity},
    {"balance", placement_preference::balance},
}};

constexpr std::array<named_value<refusal_style>, 2> refusals = {{
    {"reset", refusal_style::reset},
    {"http_503", refusal_style::http_503},
}};

constexpr std::array<named_value<bool>, 2> truths = {{
    {"true", true},
    {"false", false},
}};

/// Reads an organisation's document part by part. A part that cannot be read
/// is reported and keeps its default; nobody sees it, since the whole
/// document is then refused.
class organisation_reader
{
public:
    [[nodiscard]] organisation_document read(yaml_value const& root)
    {
        constexpr std::array<std::string_view, 3> keys = {
            "organisation", "services", "upstreams"};
        declaration_mapping const mapping(root, {}, keys, this->errors);
        this->read_organisation_name(mapping);
        this->read_services(mapping);
        this->read_upstreams(mapping);
        throw_if_any(this->errors);
        return std::move(this->document);
    }

private:
    void read_organisation_name(declaration_mapping const& mapping)
    {
        std::string const* const name = mapping.require_scalar("organisation");
        if (name == nullptr)
            return;
        this->check_name(*name, mapping.place_of("organisation"));
        this->document.organisation = *name;
    }

    void read_services(declaration_mapping const& mapping)
    {
        for (yaml_entry const& entry :
             this->read_named(mapping, "services", maximum_services))
            this->document.services.push_back(this->read_service(entry));
    }

    void read_upstreams(declaration_mapping const& mapping)
    {
        for (yaml_entry const& entry :
             this->read_named(mapping, "upstreams", maximum_upstreams))
            this->document.upstreams.push_back(this->read_upstream(entry));
    }

    /// The entries of a section, whose keys are names that operators chose.
    [[nodiscard]] std::span<yaml_entry const> read_named(
        declaration_mapping const& mapping,
        std::string_view section,
        std::size_t maximum)
    {
        yaml_value const* const value = mapping.require(section);
        if (value == nullptr)
            return {};
        std::span<yaml_entry const> const entries =
            read_entries(*value, section, this->errors);
        if (entries.size() > maximum)
        {
            this->errors.add(kind::too_large, value->place, section);
            return {};
        }
        for (yaml_entry const& entry : entries)
            this->check_name(entry.key, entry.place);
        return entries;
    }

    [[nodiscard]] declared_service read_service(yaml_entry const& entry)
    {
        constexpr std::array<std::string_view, 8> keys = {
            "address", "protocol",   "selector", "class",
            "prefer",  "idempotent", "refusal",  "limits"};
        declaration_mapping const mapping(
            entry.value, join_path("services", entry.key), keys, this->errors);
        declared_service result;
        result.place = mapping.place_of("address");
        result.declared = this->read_service_traits(mapping);
        this->name_service(result.declared, entry.key);
        result.picks = this->read_selector(mapping);
        return result;
    }

    [[nodiscard]] service
    read_service_traits(declaration_mapping const& mapping)
    {
        service result;
        result.address = this->read_address(mapping);
        mapping.report_if_missing("protocol");
        mapping.report_if_missing("class");
        this->read_word(
            mapping, "protocol", protocols, kind::bad_protocol,
            result.address.protocol);
        this->read_word(
            mapping, "class", classes, kind::bad_class, result.traffic);
        this->read_word(
            mapping, "prefer", preferences, kind::bad_preference,
            result.prefer);
        this->read_word(
            mapping, "idempotent", truths, kind::wrong_type,
            result.is_idempotent);
        this->read_refusal(mapping, result);
        result.limits = this->read_limits(mapping);
        return result;
    }

    void name_service(service& declared, std::string_view name) const
    {
        std::string_view const organisation = this->document.organisation;
        declared.id = make_service_id(organisation, name);
        declared.organisation = make_organisation_id(organisation);
        declared.name = organisation;
        declared.name += '/';
        declared.name += name;
    }

    [[nodiscard]] endpoint read_address(declaration_mapping const& mapping)
    {
        std::string const* const text = mapping.require_scalar("address");
        if (text == nullptr)
            return {};
        auto const parsed = parse_service_address(*text);
        if (auto const* const address = std::get_if<endpoint>(&parsed))
            return *address;
        this->errors.add(
            std::get<declaration_error_kind>(parsed),
            mapping.place_of("address"), *text);
        return {};
    }

    [[nodiscard]] selector read_selector(declaration_mapping const& mapping)
    {
        std::string const* const text = mapping.require_scalar("selector");
        if (text == nullptr)
            return {};
        try
        {
            return selector::parse(*text);
        }
        catch (declaration_rejected const& failure)
        {
            this->move_errors(failure, mapping.place_of("selector"));
            return {};
        }
    }

    /// Turns columns in the selector into columns in the document. They are
    /// exact for a selector on one line.
    void move_errors(declaration_rejected const& failure, document_place start)
    {
        for (declaration_error const& error : failure.errors())
        {
            document_place place = start;
            place.column += error.column - 1;
            this->errors.add(error.kind, place, error.subject);
        }
    }

    void read_refusal(declaration_mapping const& mapping, service& declared)
    {
        this->read_word(
            mapping, "refusal", refusals, kind::bad_refusal, declared.refusal);
        bool const is_answered_by_http =
            declared.refusal == refusal_style::http_503;
        if (!is_answered_by_http)
            return;
        if (declared.address.protocol == transport_protocol::tcp)
            return;
        this->errors.add(
            kind::bad_refusal, mapping.place_of("refusal"), "http_503");
    }

    [[nodiscard]] service_limits
    read_limits(declaration_mapping const& service_mapping)
    {
        yaml_value const* const value = service_mapping.find("limits");
        if (value == nullptr)
            return {};
        constexpr std::array<std::string_view, 2> keys = {"openings", "flows"};
        declaration_mapping const mapping(
            *value, service_mapping.path_of("limits"), keys, this->errors);
        service_limits limits;
        limits.openings_per_second = this->read_rate(mapping, "openings");
        limits.flows = this->read_count(
            mapping, "flows", {1, highest_count, 0, kind::bad_limit});
        return limits;
    }

    /// Reads `3000/s`.
    [[nodiscard]] std::uint32_t
    read_rate(declaration_mapping const& mapping, std::string_view key)
    {
        std::string const* const text = mapping.find_scalar(key);
        if (text == nullptr)
            return 0;
        std::string_view digits = *text;
        bool const has_unit = digits.ends_with(per_second_suffix);
        if (has_unit)
            digits.remove_suffix(per_second_suffix.size());
        std::optional<std::uint64_t> const rate = parse_decimal(digits);
        bool const is_in_range =
            rate.has_value() && *rate >= 1 && *rate <= highest_count;
        if (has_unit && is_in_range)
            return static_cast<std::uint32_t>(*rate);
        this->errors.add(kind::bad_limit, mapping.place_of(key), *text);
        return 0;
    }

    [[nodiscard]] upstream read_upstream(yaml_entry const& entry)
    {
        constexpr std::array<std::string_view, 6> keys = {
            "address", "failure_domain", "labels",
            "slots",   "connections",    "health_port"};
        declaration_mapping const mapping(
            entry.value, join_path("upstreams", entry.key), keys, this->errors);
        upstream result;
        result.name = entry.key;
        result.organisation = make_organisation_id(this->document.organisation);
        result.id = this->read_upstream_address(mapping);
        result.domain_name = this->read_failure_domain(mapping);
        result.domain = make_failure_domain_id(result.domain_name);
        result.labels = this->read_labels(mapping);
        result.is_draining = has_draining_label(result.labels);
        this->read_capacity(mapping, result);
        this->document.upstream_places.emplace(
            entry.key, mapping.place_of("address"));
        return result;
    }

    [[nodiscard]] upstream_id
    read_upstream_address(declaration_mapping const& mapping)
    {
        std::string const* const text = mapping.require_scalar("address");
        if (text == nullptr)
            return {};
        std::optional<ipv4_address> const address = parse_ipv4(*text);
        if (address.has_value())
            return upstream_id(address->value());
        this->errors.add(kind::bad_address, mapping.place_of("address"), *text);
        return {};
    }

    [[nodiscard]] std::string
    read_failure_domain(declaration_mapping const& mapping)
    {
        std::string const* const name =
            mapping.require_scalar("failure_domain");
        if (name == nullptr)
            return {};
        this->check_name(*name, mapping.place_of("failure_domain"));
        return *name;
    }

    [[nodiscard]] std::map<std::string, std::string>
    read_labels(declaration_mapping const& mapping)
    {
        std::map<std::string, std::string> labels;
        yaml_value const* const value = mapping.find("labels");
        if (value == nullptr)
            return labels;
        std::string const path = mapping.path_of("labels");
        for (yaml_entry const& entry : read_entries(*value, path, this->errors))
        {
            std::string const* const text = read_scalar(
                entry.value, join_path(path, entry.key), this->errors);
            if (text == nullptr)
                continue;
            this->check_label(entry.key, entry.place);
            this->check_label(*text, entry.value.place);
            labels.emplace(entry.key, *text);
        }
        return labels;
    }

    [[nodiscard]] static bool
    has_draining_label(std::map<std::string, std::string> const& labels)
    {
        auto const found = labels.find(std::string(draining_label));
        return found != labels.end() && found->second != not_draining_value;
    }

    void read_capacity(declaration_mapping const& mapping, upstream& result)
    {
        result.slots = this->read_count(
            mapping, "slots",
            {1, maximum_slots, result.slots, kind::bad_number});
        result.connections = this->read_count(
            mapping, "connections", {1, highest_count, 0, kind::bad_number});
        result.health_port = static_cast<std::uint16_t>(this->read_count(
            mapping, "health_port", {1, highest_port, 0, kind::bad_port}));
    }

    /// What a count may be, what it is when it is left out, and how a wrong
    /// one is reported.
    struct count_rule
    {
        std::uint64_t minimum;
        std::uint64_t maximum;
        std::uint32_t otherwise;
        kind error;
    };

    [[nodiscard]] std::uint32_t read_count(
        declaration_mapping const& mapping,
        std::string_view key,
        count_rule const& rule)
    {
        std::string const* const text = mapping.find_scalar(key);
        if (text == nullptr)
            return rule.otherwise;
        std::optional<std::uint64_t> const number = parse_decimal(*text);
        bool const is_in_range = number.has_value() &&
                                 *number >= rule.minimum &&
                                 *number <= rule.maximum;
        if (is_in_range)
            return static_cast<std::uint32_t>(*number);
        this->errors.add(rule.error, mapping.place_of(key), *text);
        return rule.otherwise;
    }

    /// Sets the target if the key is there with one of the words.
    template <typename Value, std::size_t Count>
    void read_word(
        declaration_mapping const& mapping,
        std::string_view key,
        std::array<named_value<Value>, Count> const& words,
        kind error,
        Value& target)
    {
        std::string const* const text = mapping.find_scalar(key);
        if (text == nullptr)
            return;
        std::optional<Value> const value = find_named(words, *text);
        if (value.has_value())
            target = *value;
        else
            this->errors.add(error, mapping.place_of(key), *text);
    }

    void check_name(std::string_view name, document_place place)
    {
        if (!is_name(name))
            this->errors.add(kind::bad_name, place, name);
    }

    void check_label(std::string_view text, document_place place)
    {
        if (!is_label_text(text))
            this->errors.add(kind::bad_name, place, text);
    }

    declaration_errors errors;
    organisation_document document;
};

} // namespace

organisation_document parse_organisation(std::string_view text)
{
    yaml_value const root = parse_declaration_yaml(text);
    return organisation_reader().read(root);
}

} // namespace cairnhead
