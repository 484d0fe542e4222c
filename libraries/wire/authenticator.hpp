#pragma once

#include <array>
#include <cstdint>
#include <exception>
#include <span>
#include <vector>

namespace cairnhead
{

enum class key_fault : std::uint8_t
{
    wrong_count,
    wrong_length,
    repeated_id,
    /// The cryptographic library could not be set up.
    library_unusable,
};

/// Thrown for keys that an authenticator cannot be made of.
class unusable_keys : public std::exception
{
public:
    explicit unusable_keys(key_fault fault);
    [[nodiscard]] key_fault reason() const;
    [[nodiscard]] char const* what() const noexcept override;

private:
    key_fault why;
};

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

    static constexpr std::size_t secret_size = 32;
    static constexpr std::size_t maximum_keys = 2;

    /// Precondition: one or two keys of 32 bytes with different ids; throws
    /// `unusable_keys` otherwise. The first signs; all are accepted, so that
    /// keys can be rotated.
    explicit authenticator(std::span<key const> given);

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
    /// Each algorithm has a key of its own, derived from the secret, so that
    /// a weakness of one says nothing about the other.
    struct stored_key
    {
        std::uint8_t id = 0;
        std::array<std::uint8_t, 32> control{};
        std::array<std::uint8_t, 16> frame{};
    };
    using tag = std::array<std::uint8_t, tag_size>;

    [[nodiscard]] static stored_key derive(key const& given);
    [[nodiscard]] static tag
    compute_tag(stored_key const& with, std::span<std::uint8_t const> covered);

    std::vector<stored_key> keys;
};

} // namespace cairnhead
