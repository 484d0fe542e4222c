// The library comes as this one source file. It needs the global storage.
// NOLINTNEXTLINE(bugprone-suspicious-include)
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
