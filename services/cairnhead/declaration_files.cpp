#include "declaration_files.hpp"

#include "text_file.hpp"

#include <algorithm>
#include <string_view>

namespace cairnhead
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view allotment_file_name = "allotment.yaml";
constexpr std::string_view organisations_folder_name = "organisations";
constexpr std::string_view document_extension = ".yaml";

declaration_files classify_file(fs::path const& file)
{
    if (file.filename() == allotment_file_name)
        return {file, {}};
    return {std::nullopt, {file}};
}

std::vector<fs::path> find_documents(fs::path const& folder)
{
    std::vector<fs::path> found;
    if (!fs::is_directory(folder))
        return found;
    for (auto const& entry : fs::directory_iterator(folder))
    {
        if (entry.path().extension() == document_extension)
            found.push_back(entry.path());
    }
    std::ranges::sort(found);
    return found;
}

} // namespace

declaration_files find_declaration_files(fs::path const& file_or_folder)
{
    if (!fs::is_directory(file_or_folder))
        return classify_file(file_or_folder);
    declaration_files files;
    fs::path const allotment = file_or_folder / allotment_file_name;
    if (fs::exists(allotment))
        files.allotment = allotment;
    files.organisations =
        find_documents(file_or_folder / organisations_folder_name);
    // A folder without documents is a wrong path, not a clean result.
    if (!files.allotment.has_value() && files.organisations.empty())
        throw unreadable_file(file_or_folder);
    return files;
}

} // namespace cairnhead
