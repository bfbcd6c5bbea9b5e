#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <vector>

#include "teasellead/runtime/upstream_pool.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;

const endpoint server_address = endpoint::parse("127.95.0.3:8080");

class upstream_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_pool_test);
    CPPUNIT_TEST(capacity_depends_on_the_limit_and_on_idle_connections);
    CPPUNIT_TEST(idle_connections_beyond_the_limit_are_closed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        forwarding::upstream_entry entry;
        entry.m_address = server_address;
        m_upstream = std::make_shared<forwarding::upstream>(entry, m_clock.now());
        m_acceptor.emplace(m_loop, to_tcp(server_address), true);
    }

    void tearDown() override
    {
        m_acceptor.reset();
    }

    void capacity_depends_on_the_limit_and_on_idle_connections()
    {
        struct row
        {
            std::size_t m_busy;
            std::size_t m_idle;
            std::size_t m_limit;
            bool m_has_capacity;
        };
        for (const row& each : {row{0, 0, 0, false}, row{0, 0, 1, true}, row{1, 0, 1, false},
                                row{1, 0, 2, true}, row{2, 1, 1, true}, row{0, 1, 0, true}})
        {
            upstream_pool pool{m_loop, m_clock, 500ms, nullptr};
            const auto open = open_connections(pool, each.m_busy, each.m_idle);
            CPPUNIT_ASSERT_EQUAL(each.m_busy + each.m_idle, pool.held());
            CPPUNIT_ASSERT_EQUAL(each.m_has_capacity, pool.has_capacity(*m_upstream, each.m_limit));
            close(open);
        }
    }

    void idle_connections_beyond_the_limit_are_closed()
    {
        struct row
        {
            std::size_t m_busy;
            std::size_t m_idle;
            std::size_t m_limit;
            std::size_t m_held;
        };
        for (const row& each : {row{0, 3, 3, 3}, row{0, 3, 1, 1}, row{0, 3, 0, 0}, row{2, 1, 1, 2},
                                row{2, 1, 3, 3}, row{1, 2, 2, 2}})
        {
            upstream_pool pool{m_loop, m_clock, 500ms, nullptr};
            const auto open = open_connections(pool, each.m_busy, each.m_idle);
            pool.close_surplus([&each](const forwarding::upstream&) { return each.m_limit; });
            CPPUNIT_ASSERT_EQUAL(each.m_held, pool.held());
            close(open);
        }
    }

  private:
    /// opens connections; those that are busy never connect, and the idle ones haven't sent anything
    std::vector<std::shared_ptr<client_connection>> open_connections(upstream_pool& pool, std::size_t busy,
                                                                     std::size_t idle)
    {
        std::vector<std::shared_ptr<client_connection>> result;
        for (std::size_t i = 0; i < busy + idle; ++i)
        {
            result.push_back(pool.acquire(m_upstream));
        }
        std::size_t ended = 0;
        for (std::size_t i = busy; i < busy + idle; ++i)
        {
            exchange unsent;
            unsent.m_may_send = []
            {
                return false;
            };
            unsent.m_on_end = [&ended](const exchange_result&)
            {
                ++ended;
            };
            result[i]->start(std::move(unsent));
        }
        m_loop.restart();
        while (ended < idle && m_loop.run_one_for(5s) > 0)
        {
        }
        CPPUNIT_ASSERT_EQUAL(idle, ended);
        return result;
    }

    static void close(const std::vector<std::shared_ptr<client_connection>>& open)
    {
        for (const auto& each : open)
        {
            each->close();
        }
    }

    system_monotonic_clock m_clock;
    asio::io_context m_loop;
    std::optional<tcp::acceptor> m_acceptor; ///< the kernel accepts, nobody reads
    forwarding::shared_upstream m_upstream;
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_pool_test);

} // namespace
