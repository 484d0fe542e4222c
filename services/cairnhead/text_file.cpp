#include "text_file.hpp"

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
    std::string text(maximum_document_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad())
        throw unreadable_file(path);
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

} // namespace cairnhead
