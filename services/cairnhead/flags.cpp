#include "flags.hpp"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "", "The settings file of an entry VM.");
ABSL_FLAG(
    std::string,
    declarations,
    "",
    "An organisation's document, or a folder with documents.");
ABSL_FLAG(
    std::string,
    at,
    "127.0.0.1:6084",
    "ADDRESS:PORT at which the daemon answers operators.");
ABSL_FLAG(
    std::vector<std::string>,
    log,
    {},
    "Logs of VMs, parted by commas; for a folder, all of its files.");
ABSL_FLAG(
    std::string,
    from,
    "",
    "Only lines from this moment on: 2026-12-02T21:30:00Z.");
ABSL_FLAG(std::string, until, "", "Only lines up to this moment.");
ABSL_FLAG(bool, json, false, "Write JSON for programs, not a table.");
