#pragma once

#include <cstdint>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "publication_agent.hpp"

namespace teasellead::testing
{

/// a source that does nothing by itself
class idle_source final : public runtime::publication_source
{
  public:
    void start(const publication_position&) override
    {
    }
    void stop() override
    {
    }
    [[nodiscard]] std::uint64_t calls() const noexcept override
    {
        return 0;
    }
};

/*!
@brief decodes items whose key is the name of an upstream, or `evacuate/` with that of a data centre

The value of an upstream's item is its state and sequence, such as `ready 4`.
*/
class upstream_deployment final : public runtime::deployment
{
  public:
    [[nodiscard]] const runtime::forwarding_settings& settings() const override
    {
        return m_settings;
    }
    [[nodiscard]] runtime::forwarding_settings read_settings() const override
    {
        return m_settings;
    }
    [[nodiscard]] const runtime::wire_protocol& protocol() const override
    {
        throw std::logic_error("no request is sent");
    }
    [[nodiscard]] runtime::publication decode(const published_item& item) const override
    {
        const std::string evacuation = "evacuate/";
        if (item.m_key.starts_with(evacuation))
        {
            return runtime::data_centre_evacuated{item.m_key.substr(evacuation.size()),
                                                  item.m_value.has_value()};
        }
        if (!item.m_value)
        {
            return runtime::upstream_withdrawn{item.m_key};
        }
        forwarding::upstream_entry entry;
        entry.m_instance = item.m_key;
        entry.m_service = "single";
        entry.m_address = endpoint{1, 80};
        entry.m_data_centre = "north";
        entry.m_capacity = 3;
        entry.m_incarnation = 1;
        std::string state;
        std::istringstream{*item.m_value} >> state >> entry.m_sequence;
        entry.m_is_draining = state == "draining";
        return runtime::upstream_published{{item.m_key, entry}};
    }
    [[nodiscard]] std::unique_ptr<runtime::publication_source>
    make_source(runtime::asio::io_context&, const monotonic_clock&, runtime::publication_sink&) const override
    {
        return std::make_unique<idle_source>();
    }

  private:
    runtime::forwarding_settings m_settings{};
};

/// an agent with all that it refers to, and a source that a test plays
struct agent_fixture
{
    agent_fixture()
    {
        m_clock.advance(std::chrono::hours{1});
        m_agent = std::make_unique<runtime::publication_agent>(m_platform, m_loop, m_clock, endpoint{1, 7000},
                                                               m_lease, m_directory, m_log,
                                                               [](const runtime::received_declarations&) {});
    }

    /// the source's state is known up to now
    [[nodiscard]] confirmation_times now() const
    {
        return {m_clock.now(), m_clock.now()};
    }

    /// passes some time with a tick at its end
    void step(duration length)
    {
        m_clock.advance(length);
        (void)m_agent->on_tick();
    }

    /// whether an upstream is listed and would get requests
    [[nodiscard]] bool is_usable(const std::string& instance) const
    {
        const forwarding::shared_upstream found = m_directory.find(instance);
        return found && m_directory.may_receive(*found);
    }

    manual_clock m_clock;
    runtime::asio::io_context m_loop;
    decision_log m_decisions{log_format::json, log_level::off};
    runtime::request_log m_log{m_decisions, m_clock};
    upstream_deployment m_platform;
    forwarding::configuration_lease m_lease{std::chrono::seconds{5}};
    forwarding::upstream_directory m_directory{"north"};
    std::unique_ptr<runtime::publication_agent> m_agent;
};

} // namespace teasellead::testing
