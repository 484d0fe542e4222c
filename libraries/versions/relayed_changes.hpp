#pragma once

#include <protocol/control_message.hpp>

#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace cairnhead
{

/// Records which changes of a registry this VM relayed, and which it is to
/// relay once it holds their text. Without this record a change that arrives
/// twice would be relayed twice, and a change that has to be fetched would not
/// be relayed at all.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class relayed_changes
{
public:
    /// Whether this change was not relayed yet; records it as relayed.
    [[nodiscard]] bool begin(registry_change const& change)
    {
        document_version& relayed =
            this->relayed_from(change.origin)[index_of(change.document)];
        if (change.version <= relayed)
            return false;
        relayed = change.version;
        return true;
    }

    /// Records that the change is to be relayed once this VM holds its text.
    void await(registry_change const& change)
    {
        auto& held = this->awaited[index_of(change.document)];
        if (!held || change.version > held->version)
            held = change;
    }

    /// The change to relay now that this VM holds this version, if any.
    [[nodiscard]] std::optional<registry_change>
    take_awaited(registry_document document, document_version held)
    {
        auto& waiting = this->awaited[index_of(document)];
        if (!waiting || waiting->version > held)
            return std::nullopt;
        return std::exchange(waiting, std::nullopt);
    }

private:
    static constexpr std::size_t documents = 3;
    /// How many origins of changes are remembered: few VMs of a failure domain
    /// read the platform. The origin that was added first is removed first.
    static constexpr std::size_t maximum_origins = 16;

    using versions = std::array<document_version, documents>;
    struct origin_versions
    {
        vm_id origin;
        versions relayed{};
    };

    static std::size_t index_of(registry_document document)
    {
        return static_cast<std::size_t>(document);
    }

    versions& relayed_from(vm_id origin)
    {
        for (origin_versions& known : this->origins)
        {
            if (known.origin == origin)
                return known.relayed;
        }
        if (this->origins.size() == maximum_origins)
            this->origins.erase(this->origins.begin());
        return this->origins.emplace_back(origin_versions{origin}).relayed;
    }

    std::vector<origin_versions> origins;
    std::array<std::optional<registry_change>, documents> awaited;
};

} // namespace cairnhead
