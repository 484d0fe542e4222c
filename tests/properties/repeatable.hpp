#pragma once

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace cairnhead::test
{

/// Checks a property with inputs that are the same at each run.
template <typename Property>
void check_repeatably(Property const& property, int runs)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20'260'511;
    parameters.maxSuccess = runs;
    parameters.disableShrinking = true;
    auto const result = rc::detail::checkTestable(
        property, rc::detail::TestMetadata{}, parameters);
    if (result.template is<rc::detail::SuccessResult>())
        return;
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    cr_assert_fail("%s", text.str().c_str());
}

} // namespace cairnhead::test
