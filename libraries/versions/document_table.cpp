#include <versions/document_table.hpp>

#include <base/hash.hpp>
#include <versions/document_name.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

std::string describe(document_version version)
{
    return "version=" + std::to_string(version.value());
}

std::string describe(document_version version, declaration_error const& error)
{
    auto text = describe(version);
    text += " error=";
    text += to_text(error.kind);
    text += " line=" + std::to_string(error.line);
    text += " column=" + std::to_string(error.column);
    if (!error.subject.empty())
        text += " subject=" + error.subject;
    return text;
}

allotment const* get_allotment(parsed_document const* parsed)
{
    return parsed == nullptr ? nullptr : std::get_if<allotment>(parsed);
}

document_text make_document_text(
    std::string_view name, document_version version, std::string text)
{
    auto parsed = parse_document(name, text);
    return document_text{
        version, std::make_shared<std::string const>(std::move(text)),
        std::make_shared<parsed_document const>(std::move(parsed))};
}

} // namespace

document_version document_table::held_version(std::string_view name) const
{
    auto const own_name = get_document_name(name);
    if (is_registry_name(own_name))
        return this->registered.highest_seen_version(own_name);
    auto const* found = this->find_record(get_document_name(name));
    if (found == nullptr)
        return {};
    if (is_accepted_name(name))
        return std::max(found->accepted.version, found->unreadable_version);
    return found->newest.version;
}

bool document_table::has_room_for(std::string_view name) const
{
    if (is_registry_name(get_document_name(name)))
        return true;
    auto const is_held = this->find_record(get_document_name(name)) != nullptr;
    return is_held || this->records.size() < maximum_documents;
}

bool document_table::store(
    std::string_view name,
    document_version version,
    std::string text,
    effect_list& effects)
{
    this->cached_digest.reset();
    auto const own_name = get_document_name(name);
    if (is_registry_name(own_name))
        return this->store_registry_text(own_name, version, text, effects);
    this->store_declaration(name, version, std::move(text), effects);
    return true;
}

bool document_table::store_registry_text(
    std::string_view name,
    document_version version,
    std::string_view text,
    effect_list& effects)
{
    auto const outcome = this->registered.store(name, version, text, effects);
    this->is_changed |= outcome == registry_outcome::in_force;
    return outcome != registry_outcome::does_not_follow;
}

void document_table::store_declaration(
    std::string_view name,
    document_version version,
    std::string text,
    effect_list& effects)
{
    auto const own_name = get_document_name(name);
    auto& target = this->records[std::string(own_name)];
    auto const parsed = make_document_text(own_name, version, std::move(text));
    if (is_accepted_name(name))
        store_accepted(target, parsed);
    if (version > target.newest.version)
        target.newest = parsed;

    if (own_name == allotment_document_name)
        this->validate_allotment(effects);
    else
        this->validate(own_name, target, effects);
}

void document_table::store_accepted(record& target, document_text const& text)
{
    auto const is_readable =
        !std::holds_alternative<declaration_error>(*text.parsed);
    if (!is_readable)
    {
        target.unreadable_version =
            std::max(target.unreadable_version, text.version);
        return;
    }
    target.accepted = text;
}

void document_table::validate_allotment(effect_list& effects)
{
    auto const found = this->records.find(allotment_document_name);
    auto& [name, target] = *found;
    std::optional<declaration_error> error;
    if (auto const* parse_error =
            std::get_if<declaration_error>(target.newest.parsed.get()))
        error = *parse_error;
    record_validation(name, target, error, effects);
    if (target.accepted.parsed == this->allotment_in_force)
        return;
    this->allotment_in_force = target.accepted.parsed;
    this->is_changed = true;
    effects.push_back(report{
        report_kind::document_in_force, name,
        describe(target.accepted.version)});
    this->validate_all(effects);
}

void document_table::record_validation(
    std::string_view name,
    record& target,
    std::optional<declaration_error> const& error,
    effect_list& effects)
{
    auto const& newest = target.newest;
    target.is_newest_valid = !error.has_value();
    if (target.is_newest_valid)
    {
        target.accepted = newest;
        target.reported_rejection.reset();
        return;
    }
    auto rejection = describe(newest.version, *error);
    // The same document is validated again with each new allotment; only a new
    // rejection is reported to operators.
    if (target.reported_rejection == rejection)
        return;
    target.reported_rejection = rejection;
    effects.push_back(report{
        report_kind::document_rejected, std::string(name),
        std::move(rejection)});
}

void document_table::validate_all(effect_list& effects)
{
    for (auto& [name, target] : this->records)
    {
        if (name == allotment_document_name)
            continue;
        this->validate(name, target, effects);
    }
}

void document_table::validate(
    std::string_view name, record& target, effect_list& effects)
{
    auto const* allotted = get_allotment(this->allotment_in_force.get());
    // Without an allotment the document can neither be accepted nor rejected;
    // it is validated when the allotment arrives.
    if (allotted == nullptr || target.newest.parsed == nullptr)
        return;
    auto const error = find_error(*target.newest.parsed, *allotted);
    record_validation(name, target, error, effects);
    this->update_in_force(name, target, effects);
}

void document_table::update_in_force(
    std::string_view name, record& target, effect_list& effects)
{
    auto const& allotted = *get_allotment(this->allotment_in_force.get());
    target.in_force.reset();
    if (target.accepted.parsed != nullptr)
        target.in_force =
            restrict_to_allotment(*target.accepted.parsed, allotted);
    auto const version =
        target.in_force ? target.accepted.version : document_version{};
    if (target.version_in_force == version)
        return;
    target.version_in_force = version;
    this->is_changed = true;
    if (!target.in_force)
        return;
    effects.push_back(report{
        report_kind::document_in_force, std::string(name), describe(version)});
}

document_version document_table::version_of_text(std::string_view name) const
{
    auto const own_name = get_document_name(name);
    if (is_registry_name(own_name))
        return this->registered.version_of(own_name);
    auto const* const found = this->find_declaration(name);
    return found == nullptr ? document_version() : found->version;
}

std::shared_ptr<std::string const> document_table::find(
    std::string_view name, document_version requester_version) const
{
    auto const own_name = get_document_name(name);
    if (is_registry_name(own_name))
        return this->registered.text_for(own_name, requester_version);
    auto const* const found = this->find_declaration(name);
    return found == nullptr ? nullptr : found->text;
}

document_text const*
document_table::find_declaration(std::string_view name) const
{
    auto const* found = this->find_record(get_document_name(name));
    if (found == nullptr)
        return nullptr;
    auto const& text = is_accepted_name(name) ? found->accepted : found->newest;
    return text.text == nullptr ? nullptr : &text;
}

std::vector<document_stamp> document_table::stamps() const
{
    std::vector<document_stamp> all = this->registered.stamps();
    for (auto const& [name, held] : this->records)
    {
        if (held.newest.text != nullptr)
            all.push_back({name, held.newest.version});
        if (held.is_newest_valid || held.accepted.text == nullptr)
            continue;
        all.push_back({make_accepted_name(name), held.accepted.version});
    }
    std::ranges::sort(all, {}, &document_stamp::name);
    return all;
}

std::uint64_t document_table::digest() const
{
    if (this->cached_digest)
        return *this->cached_digest;
    std::uint64_t state = 0;
    for (auto const& stamp : this->stamps())
    {
        auto const item =
            hash_pair(hash_text(stamp.name), stamp.version.value());
        state = hash_pair(state, item);
    }
    this->cached_digest = state;
    return state;
}

bool document_table::needs_compile() const
{
    return this->is_changed;
}

directory document_table::compile()
{
    this->is_changed = false;
    std::vector<organisation_document> documents;
    for (auto const& [name, held] : this->records)
    {
        if (held.in_force)
            documents.push_back(*held.in_force);
    }
    return compile_directory(documents);
}

registry_documents const& document_table::registry() const
{
    return this->registered;
}

bool document_table::empty() const
{
    return this->records.empty() && this->registered.stamps().empty();
}

document_table::record const*
document_table::find_record(std::string_view name) const
{
    auto const found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace cairnhead
