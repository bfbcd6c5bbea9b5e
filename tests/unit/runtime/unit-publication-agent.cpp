#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <stdexcept>
#include <vector>

#include "publication_agent.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;

constexpr duration drain_bound = 3s;
constexpr const char* instance = "i-1";

/// a source that does nothing by itself
class idle_source final : public publication_source
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

/// decodes each item as an upstream
class upstream_deployment final : public deployment
{
  public:
    [[nodiscard]] const forwarding_settings& settings() const override
    {
        return m_settings;
    }
    [[nodiscard]] forwarding_settings read_settings() const override
    {
        return m_settings;
    }
    [[nodiscard]] const wire_protocol& protocol() const override
    {
        throw std::logic_error("no request is sent");
    }
    [[nodiscard]] publication decode(const published_item& item) const override
    {
        if (!item.m_value)
        {
            return upstream_withdrawn{item.m_key};
        }
        forwarding::upstream_entry entry;
        entry.m_instance = item.m_key;
        entry.m_service = "single";
        entry.m_address = endpoint{1, 80};
        entry.m_data_centre = "north";
        entry.m_capacity = 3;
        entry.m_incarnation = 1;
        return upstream_published{{item.m_key, entry}};
    }
    [[nodiscard]] std::unique_ptr<publication_source> make_source(asio::io_context&, const monotonic_clock&,
                                                                  publication_sink&) const override
    {
        return std::make_unique<idle_source>();
    }

  private:
    forwarding_settings m_settings{};
};

class publication_agent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publication_agent_test);
    CPPUNIT_TEST(removed_entry_is_dropped_although_single_calls_fail);
    CPPUNIT_TEST(entry_that_may_have_expired_is_kept_for_a_while);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_clock.advance(1h);
        m_agent = std::make_unique<publication_agent>(m_platform, m_loop, m_clock, endpoint{1, 7000}, m_lease,
                                                      m_directory, m_log, [](received_declarations) {});
        m_agent->on_listing({{instance, "ready", 1}}, at(1), now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
    }

    // guards against removed upstreams that stay in use while the source turns single calls away: each such
    // call used to start a time in which nothing is dropped
    void removed_entry_is_dropped_although_single_calls_fail()
    {
        for (int round = 0; round < 3; ++round)
        {
            answer_for(1200ms);
            m_agent->on_source_status(false, "status 503");
            step(150ms);
            m_agent->on_source_status(true, "answered");
            if (round == 0)
            {
                remove();
            }
        }
        CPPUNIT_ASSERT(m_clock.now() > m_removed_at + 2300ms);
        CPPUNIT_ASSERT(m_clock.now() < m_removed_at + drain_bound);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    void entry_that_may_have_expired_is_kept_for_a_while()
    {
        m_agent->on_source_status(false, "no answer");
        step(5s);
        m_agent->on_source_status(true, "answered");
        remove();
        answer_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        answer_for(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

  private:
    static publication_position at(std::uint64_t revision)
    {
        return {1, revision};
    }

    [[nodiscard]] confirmation_times now() const
    {
        return {m_clock.now(), m_clock.now()};
    }

    void step(duration length)
    {
        m_clock.advance(length);
        (void)m_agent->on_tick();
    }

    /// the source answers calls for some time, without changes
    void answer_for(duration length)
    {
        constexpr duration period = 200ms;
        for (duration passed{}; passed < length; passed += period)
        {
            step(period);
            m_agent->on_changes({}, at(m_revision), now());
        }
    }

    void remove()
    {
        ++m_revision;
        m_agent->on_changes({{instance, std::nullopt, m_revision}}, at(m_revision), now());
        m_removed_at = m_clock.now();
    }

    manual_clock m_clock;
    asio::io_context m_loop;
    decision_log m_decisions{log_format::json, log_level::off};
    request_log m_log{m_decisions, m_clock};
    upstream_deployment m_platform;
    forwarding::configuration_lease m_lease{5s};
    forwarding::upstream_directory m_directory{"north"};
    std::uint64_t m_revision{1};
    time_point m_removed_at{};
    std::unique_ptr<publication_agent> m_agent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(publication_agent_test);

} // namespace
