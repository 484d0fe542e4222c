#include <declaration/declaration_error.hpp>
#include <declaration/label.hpp>
#include <declaration/selector.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace cairnhead
{

namespace
{

[[noreturn]] void reject(std::size_t position, std::string_view subject)
{
    auto const column = static_cast<std::uint32_t>(position + 1);
    throw declaration_rejected(
        {{declaration_error_kind::bad_selector, 1, column,
          std::string(subject)}});
}

/// Reads the parts of a selector from left to right.
class selector_reader
{
public:
    explicit selector_reader(std::string_view whole) : text(whole)
    {
    }

    [[nodiscard]] std::vector<label_requirement> read_all()
    {
        std::vector<label_requirement> requirements;
        do
        {
            if (requirements.size() == maximum_selector_requirements)
                this->reject_here();
            requirements.push_back(this->read_requirement());
        } while (this->skip(","));
        if (!this->is_at_end())
            this->reject_here();
        return requirements;
    }

private:
    [[nodiscard]] label_requirement read_requirement()
    {
        if (this->skip("!"))
            return label_absent{this->read_word()};
        std::string key = this->read_word();
        if (this->skip("!="))
            return label_differs{std::move(key), this->read_word()};
        if (this->skip("==") || this->skip("="))
            return label_equals{std::move(key), this->read_word()};
        if (this->is_requirement_end())
            return label_exists{std::move(key)};
        return this->read_set_requirement(std::move(key));
    }

    [[nodiscard]] label_requirement read_set_requirement(std::string key)
    {
        std::size_t const start = this->position;
        std::string const word = this->read_word();
        if (word == "in")
            return label_in{std::move(key), this->read_values()};
        if (word == "notin")
            return label_not_in{std::move(key), this->read_values()};
        reject(start, word);
    }

    [[nodiscard]] std::vector<std::string> read_values()
    {
        std::vector<std::string> values;
        if (!this->skip("("))
            this->reject_here();
        do
        {
            values.push_back(this->read_word());
        } while (this->skip(","));
        if (!this->skip(")"))
            this->reject_here();
        return values;
    }

    [[nodiscard]] std::string read_word()
    {
        this->skip_spaces();
        std::size_t const start = this->position;
        while (this->position < this->text.size() &&
               is_label_character(this->text[this->position]))
            ++this->position;
        std::string_view const word =
            this->text.substr(start, this->position - start);
        if (!is_label_text(word))
            reject(start, this->text.substr(start));
        return std::string(word);
    }

    [[nodiscard]] bool skip(std::string_view mark)
    {
        this->skip_spaces();
        if (!this->text.substr(this->position).starts_with(mark))
            return false;
        this->position += mark.size();
        return true;
    }

    void skip_spaces()
    {
        while (this->position < this->text.size() &&
               this->text[this->position] == ' ')
            ++this->position;
    }

    [[nodiscard]] bool is_requirement_end()
    {
        return this->is_at_end() || this->text[this->position] == ',';
    }

    [[nodiscard]] bool is_at_end()
    {
        this->skip_spaces();
        return this->position == this->text.size();
    }

    [[noreturn]] void reject_here()
    {
        this->skip_spaces();
        reject(this->position, this->text.substr(this->position));
    }

    std::string_view text;
    std::size_t position = 0;
};

using label_map = std::map<std::string, std::string>;

std::string const* find_label(label_map const& labels, std::string const& key)
{
    auto const found = labels.find(key);
    return found == labels.end() ? nullptr : &found->second;
}

bool has_one_of(
    label_map const& labels,
    std::string const& key,
    std::vector<std::string> const& values)
{
    std::string const* const value = find_label(labels, key);
    if (value == nullptr)
        return false;
    return std::ranges::find(values, *value) != values.end();
}

/// Whether one requirement holds for a set of labels.
struct requirement_check
{
    label_map const& labels;

    bool operator()(label_equals const& wanted) const
    {
        std::string const* const value = find_label(this->labels, wanted.key);
        return value != nullptr && *value == wanted.value;
    }

    bool operator()(label_differs const& wanted) const
    {
        std::string const* const value = find_label(this->labels, wanted.key);
        return value == nullptr || *value != wanted.value;
    }

    bool operator()(label_in const& wanted) const
    {
        return has_one_of(this->labels, wanted.key, wanted.values);
    }

    bool operator()(label_not_in const& wanted) const
    {
        return !has_one_of(this->labels, wanted.key, wanted.values);
    }

    bool operator()(label_exists const& wanted) const
    {
        return this->labels.contains(wanted.key);
    }

    bool operator()(label_absent const& wanted) const
    {
        return !this->labels.contains(wanted.key);
    }
};

} // namespace

selector selector::parse(std::string_view text)
{
    selector parsed;
    parsed.requirements = selector_reader(text).read_all();
    return parsed;
}

bool selector::matches(std::map<std::string, std::string> const& labels) const
{
    requirement_check const check{labels};
    return std::ranges::all_of(
        this->requirements,
        [&check](label_requirement const& requirement)
        {
            return std::visit(check, requirement);
        });
}

} // namespace cairnhead
