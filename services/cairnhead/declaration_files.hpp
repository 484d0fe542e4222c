#pragma once

#include <filesystem>
#include <optional>
#include <vector>

namespace cairnhead
{

/// Files with declarations, as they are kept before they are published.
struct declaration_files
{
    /// The platform's document `allotment`.
    std::optional<std::filesystem::path> allotment;
    /// The platform's documents `organisations/…`, sorted.
    std::vector<std::filesystem::path> organisations;
};

/// Finds the files. A folder has `allotment.yaml` and a folder
/// `organisations` with the others. A lone file is the allotment if it has
/// that name. Throws `unreadable_file` where there is nothing to check.
/// Thread safety: no shared state.
[[nodiscard]] declaration_files
find_declaration_files(std::filesystem::path const& file_or_folder);

} // namespace cairnhead
