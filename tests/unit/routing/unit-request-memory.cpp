#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

#include "teasellead/kernel/fingerprint.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/request_memory.hpp"

namespace
{

using namespace teasellead;
using namespace std::chrono_literals;

const time_point start = time_point{} + 1h;
const time_point expiry = start + 60s;
constexpr request_memory_settings large_capacity{100, 100, 1000, 4};
const final_response booked{200, "net 4 at six", verdict::ran, 0ms};
const final_response unknown{504, "unknown", verdict::may_have_run, 500ms};
const final_response refused{503, "cold", verdict::not_run, 1s};

own_request_id id_of(request_sequence sequence)
{
    return own_request_id{sequence, expiry};
}

std::string describe(const request_admission& outcome)
{
    return std::visit(overloaded{[](const request_admitted&) { return std::string{"admitted"}; },
                                 [](const request_running&) { return std::string{"running"}; },
                                 [](const request_ended& ended)
                                 { return "ended " + ended.response().body(); },
                                 [](const answer_dropped& dropped)
                                 { return "dropped " + std::string{to_string(dropped.verdict())}; },
                                 [](const admission_refused& refusal)
                                 {
                                     return std::string{to_string(refusal.error())} + " " +
                                            std::string{to_string(refusal.verdict())};
                                 }},
                      outcome);
}

std::string admit(request_memory& memory, request_sequence sequence, time_point now = start,
                  const std::string& fingerprint = "f")
{
    return describe(memory.admit(id_of(sequence), fingerprint, {}, now));
}

class request_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_memory_test);
    CPPUNIT_TEST(admits_an_id_once);
    CPPUNIT_TEST(repeats_get_the_first_response);
    CPPUNIT_TEST(responds_to_waiting_repeats);
    CPPUNIT_TEST(keeps_the_first_response_unless_it_was_unknown_and_a_late_reply_completes_it);
    CPPUNIT_TEST(refuses_another_request_with_a_used_id);
    CPPUNIT_TEST(a_request_refused_for_full_memory_stays_refused);
    CPPUNIT_TEST(reports_not_run_only_for_recorded_refusals);
    CPPUNIT_TEST(refused_requests_free_capacity_for_others);
    CPPUNIT_TEST(removes_expired_ids_and_never_admits_them);
    CPPUNIT_TEST(keeps_a_running_request_beyond_its_expiry);
    CPPUNIT_TEST(drops_bodies_that_are_too_large);
    CPPUNIT_TEST(limits_waiters);
    CPPUNIT_TEST(admits_once_among_threads);
    CPPUNIT_TEST(joins_fingerprints_unambiguously);
    CPPUNIT_TEST_SUITE_END();

  public:
    void admits_an_id_once()
    {
        request_memory memory{large_capacity};
        CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, admit(memory, 1));
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, admit(memory, 1));
        CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, admit(memory, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, memory.requests());
    }

    void repeats_get_the_first_response()
    {
        struct row
        {
            const final_response& m_answer;
            const char* m_expected;
        };
        for (const row& each :
             {row{booked, "ended net 4 at six"}, row{unknown, "ended unknown"}, row{refused, "ended cold"}})
        {
            request_memory memory{large_capacity};
            CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, admit(memory, 1));
            memory.complete(id_of(1), each.m_answer);
            for (int repeat = 0; repeat < 3; ++repeat)
            {
                CPPUNIT_ASSERT_EQUAL(std::string{each.m_expected}, admit(memory, 1, start + 59s));
            }
        }
    }

    void responds_to_waiting_repeats()
    {
        request_memory memory{large_capacity};
        std::vector<std::string> received;
        const auto listener = [&received](const final_response& answer)
        {
            received.push_back(answer.body());
        };
        CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, describe(memory.admit(id_of(1), "f", listener, start)));
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, describe(memory.admit(id_of(1), "f", listener, start)));
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, describe(memory.admit(id_of(1), "f", listener, start)));
        CPPUNIT_ASSERT(received.empty());
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT((received == std::vector<std::string>{"net 4 at six", "net 4 at six"}));
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.size());
    }

    void keeps_the_first_response_unless_it_was_unknown_and_a_late_reply_completes_it()
    {
        struct row
        {
            const final_response& m_first;
            const final_response& m_second;
            const char* m_expected;
        };
        for (const row& each :
             {row{unknown, booked, "ended net 4 at six"}, row{unknown, refused, "ended unknown"},
              row{booked, unknown, "ended net 4 at six"}, row{booked, refused, "ended net 4 at six"},
              row{refused, booked, "ended cold"}, row{refused, unknown, "ended cold"}})
        {
            request_memory memory{large_capacity};
            (void)admit(memory, 1);
            memory.complete(id_of(1), each.m_first);
            memory.complete(id_of(1), each.m_second);
            CPPUNIT_ASSERT_EQUAL(std::string{each.m_expected}, admit(memory, 1));
        }
    }

    void refuses_another_request_with_a_used_id()
    {
        request_memory memory{large_capacity};
        (void)admit(memory, 1, start, "f");
        CPPUNIT_ASSERT_EQUAL(std::string{"other_request not_run"}, admit(memory, 1, start, "g"));
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT_EQUAL(std::string{"other_request not_run"}, admit(memory, 1, start, "g"));
        CPPUNIT_ASSERT_EQUAL(std::string{"ended net 4 at six"}, admit(memory, 1, start, "f"));
    }

    void a_request_refused_for_full_memory_stays_refused()
    {
        request_memory memory{request_memory_settings{1, 10, 1000, 4}};
        CPPUNIT_ASSERT_EQUAL(std::string{"admitted"},
                             describe(memory.admit(own_request_id{1, start + 10s}, "f", {}, start)));
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT_EQUAL(std::string{"memory_full not_run"}, admit(memory, 2));
        // the memory has free capacity again, but the caller has received a response that the request
        // didn't run, so the id must not be admitted
        CPPUNIT_ASSERT_EQUAL(std::string{"memory_full not_run"}, admit(memory, 2, start + 20s));
        CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, admit(memory, 3, start + 20s));
    }

    void reports_not_run_only_for_recorded_refusals()
    {
        request_memory memory{request_memory_settings{1, 1, 1000, 4}};
        (void)admit(memory, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"memory_full not_run"}, admit(memory, 2));
        CPPUNIT_ASSERT_EQUAL(std::string{"memory_full may_have_run"}, admit(memory, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, memory.requests());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, memory.refusals());
    }

    void refused_requests_free_capacity_for_others()
    {
        request_memory memory{request_memory_settings{1, 2, 1000, 4}};
        for (request_sequence sequence = 1; sequence <= 2; ++sequence)
        {
            CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, admit(memory, sequence));
            memory.complete(id_of(sequence), refused);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.requests());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, memory.refusals());
        CPPUNIT_ASSERT_EQUAL(std::string{"admitted"}, admit(memory, 3));
        memory.complete(id_of(3), refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, memory.requests());
        CPPUNIT_ASSERT_EQUAL(std::string{"ended cold"}, admit(memory, 3));
    }

    void removes_expired_ids_and_never_admits_them()
    {
        request_memory memory{request_memory_settings{2, 2, 1000, 4}};
        (void)admit(memory, 1);
        memory.complete(id_of(1), booked);
        (void)admit(memory, 2);
        memory.complete(id_of(2), refused);
        CPPUNIT_ASSERT_EQUAL(std::string{"expired may_have_run"}, admit(memory, 3, expiry));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.requests());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.refusals());
        // a thread validated the id before it expired, stalled, and continues with the outdated time
        CPPUNIT_ASSERT_EQUAL(std::string{"expired may_have_run"}, admit(memory, 1, expiry - 1s));
        CPPUNIT_ASSERT_EQUAL(std::string{"expired may_have_run"}, admit(memory, 2, expiry - 1s));
    }

    void keeps_a_running_request_beyond_its_expiry()
    {
        request_memory memory{large_capacity};
        std::vector<std::string> received;
        (void)admit(memory, 1);
        const auto listener = [&received](const final_response& answer)
        {
            received.push_back(answer.body());
        };
        (void)memory.admit(id_of(1), "f", listener, start);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, admit(memory, 1, expiry + 1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, memory.requests());
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.requests());
        CPPUNIT_ASSERT_EQUAL(std::string{"expired may_have_run"}, admit(memory, 1, expiry + 1s));
    }

    void drops_bodies_that_are_too_large()
    {
        request_memory memory{request_memory_settings{10, 10, 12, 4}};
        (void)admit(memory, 1);
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT_EQUAL(std::string{"ended net 4 at six"}, admit(memory, 1));
        (void)admit(memory, 2);
        std::string received;
        (void)memory.admit(
            id_of(2), "f", [&received](const final_response& answer) { received = answer.body(); }, start);
        memory.complete(id_of(2), final_response{200, "net 4 at six!", verdict::ran, 0ms});
        CPPUNIT_ASSERT_EQUAL(std::string{"net 4 at six!"}, received);
        CPPUNIT_ASSERT_EQUAL(std::string{"dropped ran"}, admit(memory, 2));
    }

    void limits_waiters()
    {
        request_memory memory{request_memory_settings{10, 10, 100, 2}};
        int received = 0;
        const auto listener = [&received](const final_response&)
        {
            ++received;
        };
        (void)admit(memory, 1);
        for (const char* const expected : {"running", "running", "too_many_waiters may_have_run"})
        {
            CPPUNIT_ASSERT_EQUAL(std::string{expected},
                                 describe(memory.admit(id_of(1), "f", listener, start)));
        }
        memory.complete(id_of(1), booked);
        CPPUNIT_ASSERT_EQUAL(2, received);
    }

    void admits_once_among_threads()
    {
        constexpr request_sequence ids = 2000;
        constexpr std::size_t workers = 4;
        request_memory memory{request_memory_settings{ids, 0, 100, workers}};
        std::array<std::vector<request_sequence>, workers> admitted;
        std::vector<std::thread> threads;
        threads.reserve(workers);
        for (auto& mine : admitted)
        {
            threads.emplace_back(
                [&memory, &mine]
                {
                    for (request_sequence sequence = 1; sequence <= ids; ++sequence)
                    {
                        if (admit(memory, sequence) == "admitted")
                        {
                            mine.push_back(sequence);
                            memory.complete(id_of(sequence), booked);
                        }
                    }
                });
        }
        std::size_t total = 0;
        for (std::size_t worker = 0; worker < workers; ++worker)
        {
            threads[worker].join();
            total += admitted[worker].size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{ids}, total);
    }

    void joins_fingerprints_unambiguously()
    {
        const std::string usual = request_fingerprint("ab", "/c", "d");
        CPPUNIT_ASSERT_EQUAL(usual, request_fingerprint("ab", "/c", "d"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, usual.size());
        for (const std::string& other :
             {request_fingerprint("a", "b/c", "d"), request_fingerprint("ab", "/", "cd"),
              request_fingerprint("ab/c", "", "d"), request_fingerprint("ab", "/c", "d "),
              request_fingerprint("ab1:", "/c", "d"), request_fingerprint("", "ab/c", "d")})
        {
            CPPUNIT_ASSERT(usual != other);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_memory_test);

} // namespace
