#include "samples.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::wire_samples;

namespace
{

constexpr std::size_t inputs = 100'000;
constexpr std::size_t maximum_changes = 4;

/// Changes, cuts or extends valid bytes.
void mutate(std::vector<std::uint8_t>& bytes, std::mt19937_64& random)
{
    auto const below = [&](std::size_t bound)
    {
        return static_cast<std::size_t>(random() % bound);
    };
    for (auto left = 1 + below(maximum_changes); left > 0; --left)
    {
        if (bytes.empty() || below(8) == 0)
            bytes.push_back(static_cast<std::uint8_t>(random()));
        else if (below(8) == 0)
            bytes.resize(below(bytes.size()));
        else
            bytes[below(bytes.size())] = static_cast<std::uint8_t>(random());
    }
}

/// Returns how many inputs were refused; any other exception ends the test.
template <typename Decode>
std::size_t count_refused(
    std::vector<std::vector<std::uint8_t>> const& seeds, Decode decode)
{
    std::mt19937_64 random(20260101);
    std::size_t refused = 0;
    for (std::size_t number = 0; number < inputs; ++number)
    {
        auto bytes = seeds[number % seeds.size()];
        mutate(bytes, random);
        try
        {
            (void)decode(bytes);
        }
        catch (malformed_datagram const&)
        {
            ++refused;
        }
    }
    return refused;
}

} // namespace

Test(mutation, damaged_control_messages_meet_only_typed_errors)
{
    // Symptom: the process ends on one datagram.
    // Sequence: a peer with the key sends bytes that were damaged earlier.
    // Cause: an exception or a read past the end that the codec lets out.
    std::vector<std::vector<std::uint8_t>> seeds;
    for (auto const& body : all_bodies())
        seeds.push_back(encoded(body));
    auto const refused = count_refused(
        seeds,
        [](auto const& bytes)
        {
            return decode_control(bytes);
        });
    cr_assert_gt(refused, inputs / 4);
}

Test(mutation, damaged_frames_meet_only_typed_errors)
{
    std::vector<std::vector<std::uint8_t>> seeds(2);
    encode_frame(largest_frame(), {}, seeds[0]);
    encode_frame({}, {}, seeds[1]);
    auto const refused = count_refused(
        seeds,
        [](auto const& bytes)
        {
            return decode_frame(bytes);
        });
    cr_assert_gt(refused, inputs / 4);
}
