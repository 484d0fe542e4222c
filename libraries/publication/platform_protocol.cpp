#include <publication/platform_protocol.hpp>

#include <base/ipv4.hpp>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace cairnhead
{

namespace
{

using json = nlohmann::json;

json const* find_member(json const& object, char const* key)
{
    auto const found = object.find(key);
    return found == object.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> read_number(json const& object, char const* key)
{
    auto const* member = find_member(object, key);
    if (member == nullptr)
        return std::nullopt;
    auto const* number = member->get_ptr<json::number_unsigned_t const*>();
    if (number == nullptr)
        return std::nullopt;
    return *number;
}

std::optional<document_stamp> read_stamp(json const& item)
{
    if (!item.is_object())
        return std::nullopt;
    auto const* member = find_member(item, "name");
    if (member == nullptr || !member->is_string())
        return std::nullopt;
    auto const version = read_number(item, "version");
    if (!version || *version == 0)
        return std::nullopt;
    auto const& name = member->get_ref<json::string_t const&>();
    return document_stamp{name, document_version(*version)};
}

std::optional<std::vector<document_stamp>> read_stamps(json const& root)
{
    auto const* list = find_member(root, "documents");
    if (list == nullptr || !list->is_array())
        return std::nullopt;
    std::vector<document_stamp> stamps;
    for (auto const& item : *list)
    {
        auto stamp = read_stamp(item);
        if (!stamp)
            return std::nullopt;
        stamps.push_back(std::move(*stamp));
    }
    return stamps;
}

/// The list is only a hint, so it refuses nothing.
std::vector<vm_id> read_vms(json const& root)
{
    std::vector<vm_id> vms;
    auto const* list = find_member(root, "vms");
    if (list == nullptr || !list->is_array())
        return vms;
    for (auto const& item : *list)
    {
        auto const* text = item.get_ptr<json::string_t const*>();
        if (text == nullptr)
            continue;
        auto const address = parse_ipv4(*text);
        if (address)
            vms.emplace_back(address->value());
    }
    return vms;
}

bool is_digit(char letter)
{
    return letter >= '0' && letter <= '9';
}

char to_lower(char letter)
{
    auto const is_upper = letter >= 'A' && letter <= 'Z';
    return is_upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool is_plain_in_path(char letter)
{
    constexpr std::string_view plain_marks = "-._~/";
    auto const lower = to_lower(letter);
    auto const is_letter = lower >= 'a' && lower <= 'z';
    return is_letter || is_digit(letter) ||
           plain_marks.find(letter) != std::string_view::npos;
}

/// Header names have no case, and ours is written in lower case.
bool is_version_header(std::string_view key)
{
    return std::ranges::equal(key, document_version_header, {}, to_lower);
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    auto const last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

void append_escaped(std::string& target, char letter)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    auto const byte = static_cast<unsigned char>(letter);
    target += '%';
    target += digits[byte / 16];
    target += digits[byte % 16];
}

constexpr std::string_view documents_path = "/v1/documents";

} // namespace

listing_result parse_listing(std::string_view body)
{
    constexpr auto throws_nothing = false;
    auto const root = json::parse(body, nullptr, throws_nothing);
    if (!root.is_object())
        return platform_failure::malformed_listing;
    auto const index = read_number(root, "index");
    auto stamps = read_stamps(root);
    if (!index || !stamps)
        return platform_failure::malformed_listing;
    return platform_listed{
        platform_index(*index), std::move(*stamps), read_vms(root)};
}

std::optional<document_version> parse_document_version(std::string_view value)
{
    auto const* const end = value.data() + value.size();
    std::uint64_t version = 0;
    auto const [stop, error] = std::from_chars(value.data(), end, version);
    if (error != std::errc() || stop != end || version == 0)
        return std::nullopt;
    return document_version(version);
}

std::optional<std::string_view> find_version_value(std::string_view header_line)
{
    auto const colon = header_line.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    if (!is_version_header(header_line.substr(0, colon)))
        return std::nullopt;
    return trim(header_line.substr(colon + 1));
}

std::string
make_watch_url(std::string_view base, platform_index after, duration wait)
{
    auto const milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    std::string url(base);
    url += documents_path;
    url += "?after=" + std::to_string(after.value());
    url += "&wait=" + std::to_string(milliseconds.count());
    return url;
}

std::string make_document_url(std::string_view base, std::string_view name)
{
    std::string url(base);
    url += documents_path;
    url += '/';
    for (auto const letter : name)
    {
        if (is_plain_in_path(letter))
            url += letter;
        else
            append_escaped(url, letter);
    }
    return url;
}

} // namespace cairnhead
