#include "control_query.hpp"

#include "flags.hpp"
#include "flow_text.hpp"
#include "text_table.hpp"

#include <absl/flags/flag.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace cairnhead
{

control_client make_control_client()
{
    auto const target = parse_socket_address(absl::GetFlag(FLAGS_at));
    return {target.address, target.port};
}

bool is_json_wanted()
{
    return absl::GetFlag(FLAGS_json);
}

void print(nlohmann::json const& answer)
{
    constexpr int indentation = 2;
    std::cout << answer.dump(indentation) << '\n';
}

void print(text_table const& answer)
{
    answer.write(std::cout);
}

} // namespace cairnhead
