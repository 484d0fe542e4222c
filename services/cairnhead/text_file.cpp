#include "text_file.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>
#include <yaml/yaml_value.hpp>

namespace cairnhead
{

unreadable_file::unreadable_file(std::filesystem::path path)
    : unreadable(std::move(path))
{
}

std::filesystem::path const& unreadable_file::path() const
{
    return this->unreadable;
}

char const* unreadable_file::what() const noexcept
{
    return "the file cannot be read";
}

std::string read_text_file(std::filesystem::path const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path))
        throw unreadable_file(path);
    constexpr std::size_t most = maximum_document_bytes + 1;
    std::string text;
    // In parts: room for the largest text would be filled with zeros at each
    // start, for a settings file of a few hundred bytes.
    std::array<char, 4096> part;
    while (text.size() < most && file)
    {
        auto const wanted = std::min(part.size(), most - text.size());
        file.read(part.data(), static_cast<std::streamsize>(wanted));
        text.append(part.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (file.bad())
        throw unreadable_file(path);
    return text;
}

} // namespace cairnhead
