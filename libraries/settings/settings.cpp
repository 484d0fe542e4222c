#include <base/hash.hpp>
#include <settings/settings.hpp>
#include <settings/settings_reader.hpp>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <limits>

namespace cairnhead
{

namespace
{

using kind = settings_error_kind;

constexpr duration longest_packet_age = 1min;
constexpr std::uint32_t highest_log_rate = 100'000;
constexpr std::size_t maximum_key_count = 2;

constexpr std::array<std::string_view, 4> log_levels = {
    "debug", "info", "warning", "error"};

constexpr std::string_view url_scheme = "http://";

/// Whether the text looks like a setting's name. Keys in the file that do
/// not may be a secret whose own key was forgotten.
bool looks_like_setting(std::string_view text)
{
    constexpr std::size_t longest_setting = 40;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz_.";
    return text.size() <= longest_setting &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

/// Errors are logged. A key that is not known could be a secret, written in
/// the wrong place; its line and column tell the operator enough.
std::vector<settings_error> hide_secrets(std::vector<settings_error> errors)
{
    for (settings_error& error : errors)
    {
        bool const names_a_key = error.kind == kind::unknown_key ||
                                 error.kind == kind::duplicate_key;
        if (!names_a_key || looks_like_setting(error.subject))
            continue;
        error.subject.clear();
    }
    return errors;
}

yaml_value parse_settings_yaml(std::string_view text)
{
    try
    {
        return parse_yaml(text);
    }
    catch (yaml_rejected const& failure)
    {
        // Its subject may quote the file, so it is left out.
        settings_errors errors;
        errors.add(
            to_kind<settings_error>(failure.kind()), failure.place(), {});
        throw settings_rejected(errors.take());
    }
}

/// Reads a settings file section by section.
class file_reader
{
public:
    [[nodiscard]] daemon_settings read(yaml_value const& root)
    {
        constexpr std::array<std::string_view, 18> keys = {
            "vm",        "fabric",    "upstreams", "peers",    "flow_key",
            "platform",  "control",   "metrics",   "logging",  "membership",
            "ownership", "pins",      "handover",  "versions", "placement",
            "admission", "readiness", "tagging"};
        settings_mapping const file(root, {}, keys, this->errors);
        this->read_vm(file);
        this->read_fabric(file);
        this->read_peers(file);
        read_secret(file, "flow_key", this->result.flow_key, this->errors);
        this->read_platform(file);
        this->read_listeners(file);
        this->read_readiness(file);
        this->read_logging(file);
        this->read_reducer_sections(file);
        this->check_ports(file);
        this->check_pairing(file);
        if (this->errors.is_empty())
            return std::move(this->result);
        throw settings_rejected(hide_secrets(this->errors.take()));
    }

private:
    void read_vm(settings_mapping const& file)
    {
        yaml_value const* const value = file.require("vm");
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 3> keys = {
            "address", "failure_domain", "random_seed"};
        settings_mapping const mapping(*value, "vm", keys, this->errors);
        vm_identity& self = this->result.reducer.self;
        self.id = vm_id(this->read_own_address(mapping).value());
        this->read_failure_domain(mapping);
        this->read_random_seed(mapping);
    }

    [[nodiscard]] ipv4_address read_own_address(settings_mapping const& mapping)
    {
        yaml_value const* const value = mapping.require("address");
        if (value == nullptr)
            return {};
        return read_address(*value, "vm.address", this->errors)
            .value_or(ipv4_address());
    }

    void read_failure_domain(settings_mapping const& mapping)
    {
        std::string const* const name =
            mapping.require_scalar("failure_domain");
        if (name == nullptr)
            return;
        if (!is_name(*name))
            this->add(kind::bad_name, mapping, "failure_domain");
        this->result.failure_domain = *name;
        this->result.reducer.self.domain = make_failure_domain_id(*name);
    }

    /// Without a seed of its own, a VM's address is its seed: VMs with equal
    /// random numbers would all probe and back off at the same moments.
    void read_random_seed(settings_mapping const& mapping)
    {
        reducer_settings& reducer = this->result.reducer;
        number_range const range{
            0, std::numeric_limits<std::uint64_t>::max(), kind::out_of_range};
        std::optional<std::uint64_t> const seed =
            read_number(mapping, "random_seed", range, this->errors);
        reducer.random_seed =
            seed.value_or(hash_pair(reducer.self.id.value(), 0));
    }

    void read_fabric(settings_mapping const& file)
    {
        yaml_value const* const value = file.require("fabric");
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 6> keys = {
            "listen_port", "sources",       "return",
            "listen",      "encapsulation", "maximum_packet_age"};
        settings_mapping const mapping(*value, "fabric", keys, this->errors);
        fabric_settings& fabric = this->result.fabric;
        this->read_encapsulation(mapping);
        if (fabric.encapsulation == fabric_encapsulation::gue)
            this->read_gue_fabric(mapping);
        else
            this->read_tagged_fabric(mapping);
        duration_range const range{shortest_duration, longest_packet_age};
        fabric.maximum_packet_age =
            read_duration(mapping, "maximum_packet_age", range, this->errors)
                .value_or(fabric.maximum_packet_age);
    }

    void read_encapsulation(settings_mapping const& mapping)
    {
        std::string const* const name = mapping.find_scalar("encapsulation");
        if (name == nullptr || *name == "gue")
            return;
        if (*name != "tagged")
            this->add(kind::out_of_range, mapping, "encapsulation");
        this->result.fabric.encapsulation = fabric_encapsulation::tagged;
        this->result.reducer.memory = flow_memory::tags;
        // Nobody owns a flow, so nobody has to know all VMs.
        this->result.reducer.membership.scope = member_scope::failure_domain;
    }

    /// Reports a setting that the chosen encapsulation does not have: read
    /// over, it would let its writer believe that it counts.
    void refuse(settings_mapping const& mapping, std::string_view key)
    {
        if (mapping.find(key) != nullptr)
            this->add(kind::conflicting_values, mapping, key);
    }

    void read_gue_fabric(settings_mapping const& mapping)
    {
        this->refuse(mapping, "listen");
        fabric_settings& fabric = this->result.fabric;
        read_port(
            mapping, "listen_port", port_rule::required, fabric.listen_port,
            this->errors);
        fabric.sources = this->read_addresses(mapping, "sources");
        if (mapping.find("sources") != nullptr && fabric.sources.empty())
            this->add(kind::out_of_range, mapping, "sources");
        this->read_return_path(mapping);
    }

    /// Callers get their packets at the port at which this VM gets theirs.
    void read_tagged_fabric(settings_mapping const& mapping)
    {
        this->refuse(mapping, "listen_port");
        this->refuse(mapping, "return");
        fabric_settings& fabric = this->result.fabric;
        if (mapping.find("sources") != nullptr)
            fabric.sources = this->read_addresses(mapping, "sources");
        fabric.listen_port = this->read_own_socket(mapping, "listen").port;
        fabric.caller_port = fabric.listen_port;
    }

    /// Reads `10.1.0.10:8172`, whose address must be this VM's own.
    [[nodiscard]] socket_address
    read_own_socket(settings_mapping const& mapping, std::string_view key)
    {
        std::string const* const text = mapping.require_scalar(key);
        if (text == nullptr)
            return {};
        socket_address const read = this->read_socket(mapping, key, *text);
        vm_id const self = this->result.reducer.self.id;
        if (vm_id(read.address.value()) != self)
            this->add(kind::conflicting_values, mapping, key);
        return read;
    }

    /// Reads `10.1.0.10:8172`.
    [[nodiscard]] socket_address read_socket(
        settings_mapping const& mapping,
        std::string_view key,
        std::string_view whole)
    {
        std::size_t const colon = std::min(whole.find(':'), whole.size());
        yaml_value const host{
            mapping.place_of(key), std::string(whole.substr(0, colon))};
        std::optional<ipv4_address> const address =
            read_address(host, mapping.path_of(key), this->errors);
        std::string_view const digits =
            whole.substr(std::min(colon + 1, whole.size()));
        std::uint64_t const port = parse_decimal(digits).value_or(0);
        if (port == 0 || port > std::numeric_limits<std::uint16_t>::max())
            this->add(kind::bad_port, mapping, key);
        return {
            address.value_or(ipv4_address()), static_cast<std::uint16_t>(port)};
    }

    void read_readiness(settings_mapping const& file)
    {
        yaml_value const* const value = file.find("readiness");
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 2> keys = {"listen", "path"};
        settings_mapping const mapping(*value, "readiness", keys, this->errors);
        readiness_settings& readiness = this->result.readiness;
        readiness.port = this->read_own_socket(mapping, "listen").port;
        if (std::string const* const path = mapping.find_scalar("path"))
            readiness.path = *path;
        if (!readiness.path.starts_with('/'))
            this->add(kind::bad_url, mapping, "path");
    }

    [[nodiscard]] std::vector<ipv4_address>
    read_addresses(settings_mapping const& mapping, std::string_view key)
    {
        std::vector<ipv4_address> addresses;
        yaml_value const* const list = mapping.require(key);
        if (list == nullptr)
            return addresses;
        std::string const path = mapping.path_of(key);
        for (yaml_value const& item : read_sequence(*list, path, this->errors))
        {
            std::optional<ipv4_address> const address =
                read_address(item, path, this->errors);
            if (address.has_value())
                addresses.push_back(*address);
        }
        return addresses;
    }

    /// Reads `127.0.0.10:6082`.
    void read_return_path(settings_mapping const& mapping)
    {
        std::string const* const text = mapping.require_scalar("return");
        if (text == nullptr)
            return;
        this->result.fabric.return_path =
            this->read_socket(mapping, "return", *text);
    }

    void read_peers(settings_mapping const& file)
    {
        yaml_value const* const value = file.require("peers");
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 5> keys = {
            "port", "document_port", "listen", "seeds", "keys"};
        settings_mapping const mapping(*value, "peers", keys, this->errors);
        peer_settings& peers = this->result.peers;
        peers.listen_address =
            ipv4_address(this->result.reducer.self.id.value());
        if (yaml_value const* const listen = mapping.find("listen"))
            peers.listen_address =
                read_address(*listen, "peers.listen", this->errors)
                    .value_or(peers.listen_address);
        read_port(
            mapping, "port", port_rule::required, peers.port, this->errors);
        read_port(
            mapping, "document_port", port_rule::required, peers.document_port,
            this->errors);
        this->read_seeds(mapping);
        this->read_keys(mapping);
    }

    /// A seed may stand with a port, as other programs name it; peers are
    /// reached at their common port all the same.
    void read_seeds(settings_mapping const& mapping)
    {
        yaml_value const* const list = mapping.require("seeds");
        if (list == nullptr)
            return;
        std::string const path = mapping.path_of("seeds");
        for (yaml_value const& item : read_sequence(*list, path, this->errors))
        {
            std::string const* const text =
                read_scalar(item, path, this->errors);
            if (text == nullptr)
                continue;
            std::size_t const colon = std::min(text->find(':'), text->size());
            std::string const port = text->substr(colon);
            bool const is_port_readable =
                port.empty() || parse_decimal(port.substr(1)).has_value();
            if (!is_port_readable)
                this->errors.add(kind::bad_port, item.place, path);
            yaml_value const host{item.place, text->substr(0, colon)};
            std::optional<ipv4_address> const address =
                read_address(host, path, this->errors);
            if (address.has_value())
                this->result.reducer.seeds.emplace_back(address->value());
        }
    }

    void read_keys(settings_mapping const& mapping)
    {
        yaml_value const* const list = mapping.require("keys");
        if (list == nullptr)
            return;
        std::span<yaml_value const> const items =
            read_sequence(*list, "peers.keys", this->errors);
        bool const is_sequence =
            std::holds_alternative<yaml_sequence>(list->content);
        bool const is_right_count =
            !items.empty() && items.size() <= maximum_key_count;
        if (is_sequence && !is_right_count)
            this->add(kind::wrong_key_count, mapping, "keys");
        for (yaml_value const& item : items)
            this->read_key(item);
    }

    void read_key(yaml_value const& item)
    {
        constexpr std::array<std::string_view, 2> keys = {"id", "secret"};
        settings_mapping const mapping(item, "peers.keys", keys, this->errors);
        peer_key key;
        mapping.report_if_missing("id");
        number_range const range{
            0, std::numeric_limits<std::uint8_t>::max(), kind::out_of_range};
        std::optional<std::uint64_t> const id =
            read_number(mapping, "id", range, this->errors);
        key.id = static_cast<std::uint8_t>(id.value_or(0));
        read_secret(mapping, "secret", key.secret, this->errors);
        std::vector<peer_key>& known = this->result.peers.keys;
        bool const is_taken =
            id.has_value() &&
            std::ranges::find(known, key.id, &peer_key::id) != known.end();
        if (is_taken)
            this->add(kind::conflicting_values, mapping, "id");
        if (id.has_value())
            known.push_back(key);
    }

    void read_platform(settings_mapping const& file)
    {
        yaml_value const* const value = file.require("platform");
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 2> keys = {"url", "protocol"};
        settings_mapping const mapping(*value, "platform", keys, this->errors);
        this->read_protocol(mapping);
        std::string const* const url = mapping.require_scalar("url");
        if (url == nullptr)
            return;
        if (!is_platform_url(*url))
            this->add(kind::bad_url, mapping, "url");
        this->result.platform_url = *url;
    }

    void read_protocol(settings_mapping const& mapping)
    {
        std::string const* const name = mapping.find_scalar("protocol");
        if (name == nullptr || *name == "documents")
            return;
        if (*name != "metadata_store")
            this->add(kind::out_of_range, mapping, "protocol");
        this->result.publishes = platform_protocol::metadata_store;
    }

    /// Whether the text is a scheme and a host at least, without spaces or
    /// control characters that could end up in a request line.
    [[nodiscard]] static bool is_platform_url(std::string_view text)
    {
        bool const has_only_printable = std::ranges::all_of(
            text,
            [](char character)
            {
                return character > ' ' && character <= '~';
            });
        return has_only_printable && text.starts_with(url_scheme) &&
               text.size() > url_scheme.size();
    }

    void read_listeners(settings_mapping const& file)
    {
        this->read_port_section(
            file, "upstreams", port_rule::required, this->result.upstream_port);
        this->read_port_section(
            file, "control", port_rule::required, this->result.control_port);
        this->read_port_section(
            file, "metrics", port_rule::may_be_off, this->result.metrics_port);
    }

    /// Reads a section whose only setting is a port.
    void read_port_section(
        settings_mapping const& file,
        std::string_view name,
        port_rule rule,
        std::uint16_t& target)
    {
        yaml_value const* const value = file.find(name);
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 1> keys = {"port"};
        settings_mapping const mapping(*value, name, keys, this->errors);
        read_port(mapping, "port", rule, target, this->errors);
    }

    void read_logging(settings_mapping const& file)
    {
        yaml_value const* const value = file.find("logging");
        if (value == nullptr)
            return;
        constexpr std::array<std::string_view, 3> keys = {
            "level", "lines_per_second", "flows_per_second"};
        settings_mapping const mapping(*value, "logging", keys, this->errors);
        logging_settings& logging = this->result.logging;
        if (std::string const* const level = mapping.find_scalar("level"))
            logging.level = *level;
        if (std::ranges::find(log_levels, logging.level) == log_levels.end())
            this->add(kind::bad_level, mapping, "level");
        number_range const range{1, highest_log_rate};
        logging.lines_per_second = static_cast<std::uint32_t>(
            read_number(mapping, "lines_per_second", range, this->errors)
                .value_or(logging.lines_per_second));
        number_range const any_rate{0, highest_log_rate};
        logging.flows_per_second = static_cast<std::uint32_t>(
            read_number(mapping, "flows_per_second", any_rate, this->errors)
                .value_or(logging.flows_per_second));
    }

    void read_reducer_sections(settings_mapping const& file)
    {
        reducer_settings& reducer = this->result.reducer;
        read_section(file, "membership", reducer.membership, this->errors);
        read_section(file, "ownership", reducer.ownership, this->errors);
        read_section(file, "pins", reducer.pins, this->errors);
        read_section(file, "handover", reducer.handover, this->errors);
        read_section(file, "versions", reducer.versions, this->errors);
        read_section(file, "placement", reducer.placement, this->errors);
        read_section(file, "admission", reducer.admission, this->errors);
        read_section(file, "tagging", reducer.tagging, this->errors);
    }

    /// Two listeners on one port cannot both start; that should be told
    /// here and not by a daemon that fails later.
    void check_ports(settings_mapping const& file)
    {
        daemon_settings const& read = this->result;
        if (read.fabric.listen_port == read.peers.port)
            this->add(kind::conflicting_values, file, "peers");
        absl::flat_hash_map<std::uint16_t, std::string_view> listeners;
        this->claim_port(file, "peers", read.peers.document_port, listeners);
        this->claim_port(file, "control", read.control_port, listeners);
        if (read.metrics_port != 0)
            this->claim_port(file, "metrics", read.metrics_port, listeners);
        if (read.readiness.port != 0)
            this->claim_port(file, "readiness", read.readiness.port, listeners);
    }

    /// Tags name instances, which only a registry has; and flows without tags
    /// need what organisations declare. A VM with the one and not the other
    /// would start and pass nothing on.
    void check_pairing(settings_mapping const& file)
    {
        bool const has_tags =
            this->result.fabric.encapsulation == fabric_encapsulation::tagged;
        bool const has_registry =
            this->result.publishes == platform_protocol::metadata_store;
        if (has_tags != has_registry)
            this->add(kind::conflicting_values, file, "platform");
    }

    void claim_port(
        settings_mapping const& file,
        std::string_view section,
        std::uint16_t port,
        absl::flat_hash_map<std::uint16_t, std::string_view>& listeners)
    {
        if (!listeners.emplace(port, section).second)
            this->add(kind::conflicting_values, file, section);
    }

    void add(kind error, settings_mapping const& mapping, std::string_view key)
    {
        this->errors.add(error, mapping.place_of(key), mapping.path_of(key));
    }

    settings_errors errors;
    daemon_settings result;
};

} // namespace

daemon_settings parse_settings(std::string_view text)
{
    yaml_value const root = parse_settings_yaml(text);
    daemon_settings read = file_reader().read(root);
    read.digest = hash_text(text);
    return read;
}

} // namespace cairnhead
