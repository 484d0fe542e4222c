#include <yaml/yaml_error.hpp>
#include <yaml/yaml_value.hpp>

#include <optional>
#include <sstream>
#include <utility>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace cairnhead
{

namespace
{

/// yaml-cpp's tags of plain and of quoted scalars that bear no tag.
constexpr std::string_view plain_tag = "?";
constexpr std::string_view quoted_tag = "!";

document_place to_place(YAML::Mark const& mark)
{
    if (mark.is_null())
        return {};
    return {
        static_cast<std::uint32_t>(mark.line + 1),
        static_cast<std::uint32_t>(mark.column + 1)};
}

/// Builds the tree straight from the parser's events. What could make a
/// small text stand for a large or deep tree is refused at its event, before
/// any node of it exists: were it refused on the finished tree, a hostile
/// document would have used up the memory by then.
class tree_builder final : public YAML::EventHandler
{
public:
    [[nodiscard]] yaml_value take_root()
    {
        return std::move(this->root);
    }

    void OnDocumentStart(YAML::Mark const&) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override
    {
        refuse_anchor(mark, anchor);
        this->add({to_place(mark), yaml_null{}});
    }

    void OnAlias(YAML::Mark const& mark, YAML::anchor_t anchor) override
    {
        refuse_anchor(mark, anchor);
    }

    void OnAnchor(YAML::Mark const& mark, std::string const& name) override
    {
        throw yaml_rejected(
            yaml_error_kind::alias_not_allowed, to_place(mark), name);
    }

    void OnScalar(
        YAML::Mark const& mark,
        std::string const& tag,
        YAML::anchor_t anchor,
        std::string const& value) override
    {
        refuse_anchor(mark, anchor);
        refuse_tag(mark, tag);
        document_place place = to_place(mark);
        // Errors inside a quoted text count from its first character.
        if (tag == quoted_tag)
            ++place.column;
        this->add({place, value});
    }

    void OnSequenceStart(
        YAML::Mark const& mark,
        std::string const& tag,
        YAML::anchor_t anchor,
        YAML::EmitterStyle::value) override
    {
        refuse_anchor(mark, anchor);
        refuse_tag(mark, tag);
        this->open_collection({to_place(mark), yaml_sequence{}});
    }

    void OnSequenceEnd() override
    {
        this->close_collection();
    }

    void OnMapStart(
        YAML::Mark const& mark,
        std::string const& tag,
        YAML::anchor_t anchor,
        YAML::EmitterStyle::value) override
    {
        refuse_anchor(mark, anchor);
        refuse_tag(mark, tag);
        this->open_collection({to_place(mark), yaml_mapping{}});
    }

    void OnMapEnd() override
    {
        this->close_collection();
    }

private:
    struct pending_key
    {
        std::string text;
        document_place place;
    };

    struct open_value
    {
        yaml_value value;
        std::optional<pending_key> key;
    };

    static void refuse_anchor(YAML::Mark const& mark, YAML::anchor_t anchor)
    {
        if (anchor == YAML::NullAnchor)
            return;
        throw yaml_rejected(
            yaml_error_kind::alias_not_allowed, to_place(mark), {});
    }

    /// A selector that starts with `!` and is not quoted reads as a tag; it
    /// must not pass for an empty value.
    static void refuse_tag(YAML::Mark const& mark, std::string const& tag)
    {
        if (tag.empty() || tag == plain_tag || tag == quoted_tag)
            return;
        throw yaml_rejected(yaml_error_kind::wrong_type, to_place(mark), tag);
    }

    void count_value(document_place place)
    {
        ++this->values;
        if (this->values > maximum_document_values)
            throw yaml_rejected(yaml_error_kind::too_large, place, {});
    }

    void open_collection(yaml_value value)
    {
        if (this->open.size() < maximum_document_depth)
        {
            this->open.push_back({std::move(value), std::nullopt});
            return;
        }
        throw yaml_rejected(yaml_error_kind::too_deep, value.place, {});
    }

    void close_collection()
    {
        yaml_value finished = std::move(this->open.back().value);
        this->open.pop_back();
        this->add(std::move(finished));
    }

    void add(yaml_value value)
    {
        this->count_value(value.place);
        if (this->open.empty())
        {
            this->root = std::move(value);
            return;
        }
        open_value& parent = this->open.back();
        auto* const items = std::get_if<yaml_sequence>(&parent.value.content);
        if (items != nullptr)
            items->push_back(std::move(value));
        else
            add_to_mapping(parent, std::move(value));
    }

    static void add_to_mapping(open_value& parent, yaml_value value)
    {
        if (!parent.key.has_value())
        {
            parent.key = to_key(std::move(value));
            return;
        }
        auto& entries = std::get<yaml_mapping>(parent.value.content);
        pending_key key = *std::exchange(parent.key, std::nullopt);
        // The parser places a missing value at whatever comes next.
        if (std::holds_alternative<yaml_null>(value.content))
            value.place = key.place;
        entries.push_back({std::move(key.text), key.place, std::move(value)});
    }

    static pending_key to_key(yaml_value value)
    {
        auto* const text = std::get_if<std::string>(&value.content);
        if (text == nullptr)
            throw yaml_rejected(yaml_error_kind::wrong_type, value.place, {});
        return {std::move(*text), value.place};
    }

    std::vector<open_value> open;
    std::size_t values = 0;
    yaml_value root;
};

/// Refuses text after the end of the first document: it would be ignored
/// silently, and its writer would believe it in force.
class second_document_refuser final : public YAML::EventHandler
{
public:
    void OnDocumentStart(YAML::Mark const& mark) override
    {
        throw yaml_rejected(
            yaml_error_kind::not_yaml, to_place(mark), "second document");
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(YAML::Mark const&, YAML::anchor_t) override
    {
    }

    void OnAlias(YAML::Mark const&, YAML::anchor_t) override
    {
    }

    void OnScalar(
        YAML::Mark const&,
        std::string const&,
        YAML::anchor_t,
        std::string const&) override
    {
    }

    void OnSequenceStart(
        YAML::Mark const&,
        std::string const&,
        YAML::anchor_t,
        YAML::EmitterStyle::value) override
    {
    }

    void OnSequenceEnd() override
    {
    }

    void OnMapStart(
        YAML::Mark const&,
        std::string const&,
        YAML::anchor_t,
        YAML::EmitterStyle::value) override
    {
    }

    void OnMapEnd() override
    {
    }
};

yaml_value parse_events(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    tree_builder builder;
    parser.HandleNextDocument(builder);
    second_document_refuser refuser;
    parser.HandleNextDocument(refuser);
    return builder.take_root();
}

} // namespace

yaml_value parse_yaml(std::string_view text)
{
    if (text.size() > maximum_document_bytes)
        throw yaml_rejected(yaml_error_kind::too_large, {}, {});
    try
    {
        return parse_events(text);
    }
    catch (YAML::Exception const& failure)
    {
        throw yaml_rejected(
            yaml_error_kind::not_yaml, to_place(failure.mark), failure.msg);
    }
}

} // namespace cairnhead
