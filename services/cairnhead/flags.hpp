#pragma once

#include <absl/flags/declare.h>
#include <string>
#include <vector>

/// All flags of the program; `command_table.cpp` says which command takes
/// which.
ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::string, declarations);
ABSL_DECLARE_FLAG(std::string, at);
ABSL_DECLARE_FLAG(std::vector<std::string>, log);
ABSL_DECLARE_FLAG(std::string, from);
ABSL_DECLARE_FLAG(std::string, until);
ABSL_DECLARE_FLAG(bool, json);
