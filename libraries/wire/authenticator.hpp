#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// Signs and checks the datagrams between VMs with keys from the settings.
/// A datagram is: key id (1 byte), kind (1 byte), payload, tag (16 bytes).
/// Thread safety: concurrent const calls are safe.
class authenticator
{
public:
    /// One key as given in the settings.
    struct key
    {
        std::uint8_t id = 0;
        std::span<std::uint8_t const> secret;
    };

    /// Precondition: one or two keys of 32 bytes with different ids. The
    /// first signs; all are accepted, so that keys can be rotated.
    explicit authenticator(std::span<key const> keys);

    /// Bytes that signing adds in front and behind.
    static constexpr std::size_t prefix_size = 2;
    static constexpr std::size_t tag_size = 16;

    /// Writes the prefix and the tag around a payload that already stands at
    /// `prefix_size`. Precondition: datagram.size() >= prefix_size + tag_size.
    void sign(std::span<std::uint8_t> datagram, std::uint8_t kind) const;

    /// Whether the tag is right under any accepted key. No precondition.
    [[nodiscard]] bool
    is_authentic(std::span<std::uint8_t const> datagram) const;

private:
    struct stored_key
    {
        std::uint8_t id = 0;
        std::vector<std::uint8_t> secret;
    };
    std::vector<stored_key> keys;
};

} // namespace cairnhead
