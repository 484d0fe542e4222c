#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>
#include <model/service.hpp>
#include <protocol/pin_claim.hpp>

#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// This flow of this service is at this upstream: the one thing the system
/// must remember of a flow.
struct pin
{
    flow_id flow;
    service_id service;
    upstream_id upstream;
    /// Whose limits the pin counts against; zero when its service was not
    /// known here at the time, so that it counts against none.
    organisation_id organisation;
    /// The pin is dropped when no packet of the flow came until then.
    time_point expires_at;
    /// The next packet after this carries the pin to the other holder again,
    /// so that it does not expire there.
    time_point refresh_at;
    /// The ownership epoch in which both holders last had the pin.
    std::uint32_t copied_epoch = 0;
    pin_state state = pin_state::opening;
    flow_class traffic = flow_class::form;
    /// Whether placement on this VM counts the flow as its own.
    bool is_counted = false;
    /// Whether the opening carried data, so that it may have run.
    bool may_have_run = false;
    /// Whether the caller repeated the opening already.
    bool is_repeated = false;
};

/// All pins of one VM, at most `maximum_pins`. A full table refuses new pins;
/// it never evicts one, since that would break an established flow.
/// Thread safety of all methods: none; one thread, the reducer's.
class pin_table
{
public:
    explicit pin_table(pin_settings const& settings);

    /// The index refers to the pins of this very object.
    pin_table(pin_table const&) = delete;
    pin_table& operator=(pin_table const&) = delete;

    /// The pin of a flow, or nullptr. Valid until the next insert or remove.
    /// No precondition.
    [[nodiscard]] pin* find(flow_id flow);
    [[nodiscard]] pin const* find(flow_id flow) const;

    /// Adds a pin; nullptr when the table is full or the flow has a pin. Its
    /// expiry is set by its state and class. No precondition.
    pin* insert(time_point now, pin_claim const& claim, flow_class traffic);

    /// A packet of the flow came: renews the expiry by state and class.
    /// Repeated openings do not renew an opening pin, which would let a
    /// caller hold a place for ever. Precondition: the pin is of this table.
    void touch(time_point now, pin& touched) const;

    /// Sets the state and the expiry that follows from it. Precondition: the
    /// pin is of this table.
    void set_state(time_point now, pin& changed, pin_state state) const;

    /// A caller's RST ends the flow soon, yet not at once: a forged one must
    /// not cut a living flow, whose next packet renews the pin.
    void set_reset(time_point now, pin& changed) const;

    /// No precondition: removing an absent flow does nothing.
    void remove(flow_id flow);

    /// When an opening pin was made. Precondition: state is `opening`.
    [[nodiscard]] time_point opened_at(pin const& opening) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool is_full() const;

    /// All pins in no particular order; valid until the next insert or remove.
    [[nodiscard]] std::span<pin const> all() const;

    /// The pin at a position of `all()`; `remove` moves the last pin into the
    /// place of the removed one. Precondition: position < size().
    [[nodiscard]] pin& at(std::size_t position);

    /// Bytes that the table occupies now.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    struct flow_hash
    {
        using is_transparent = void;
        std::vector<pin> const* pins;
        std::size_t operator()(std::uint32_t index) const;
        std::size_t operator()(flow_id flow) const;
    };
    struct flow_equal
    {
        using is_transparent = void;
        std::vector<pin> const* pins;
        bool operator()(std::uint32_t left, std::uint32_t right) const;
        bool operator()(std::uint32_t left, flow_id right) const;
        bool operator()(flow_id left, std::uint32_t right) const;
    };

    [[nodiscard]] duration lifetime_of(pin const& living) const;

    pin_settings settings;
    std::vector<pin> pins;
    absl::flat_hash_set<std::uint32_t, flow_hash, flow_equal> index;
};

} // namespace cairnhead
