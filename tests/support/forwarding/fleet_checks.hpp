#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fleet_events.hpp"

namespace teasellead::testing
{

/// bounds that the recorded events must not exceed
struct fleet_bounds
{
    duration m_contact{std::chrono::seconds{5}}; ///< undisturbed time after which bounds apply
    duration m_apply{std::chrono::seconds{5}};   ///< for declarations, leaving upstreams, evacuations
    duration m_revoke{std::chrono::seconds{5}};  ///< until all nodes reject a withdrawn key
    duration m_quota_window{std::chrono::seconds{5}};
    double m_burst{10.0};
    double m_quota_overage{0.25};
    double m_quota_slack{20.0};
    duration m_retry_window{std::chrono::seconds{10}};
    double m_retry_ratio{0.2};
    double m_retry_slack{60.0};
    double m_cold_rate{6.0};
    double m_cold_overage{1.5};
    double m_cold_slack{5.0};
    duration m_drain{std::chrono::seconds{3}}; ///< for upstreams that announce that they are leaving
    duration m_pause_notice{std::chrono::milliseconds{500}}; ///< for upstreams that request a pause
    std::size_t m_paused_arrivals{2};                        ///< allowed during a pause
    std::size_t m_crash_retries{3}; ///< sends of a request after it has crashed three upstreams
    duration m_lateness{std::chrono::milliseconds{500}}; ///< of a response after its route's timeout
};

/// checks the recorded events of all nodes for violated guarantees
class fleet_checks
{
  public:
    fleet_checks(const fleet_events& events, fleet_bounds bounds) : m_events(events), m_bounds(bounds)
    {
        for (const request_event& each : m_events.m_requests)
        {
            m_requests[each.m_id] = &each;
        }
    }

    /// a line for each violated guarantee
    [[nodiscard]] std::vector<std::string> find()
    {
        check_runs();
        check_keys();
        check_quotas();
        check_retries();
        check_cold_starts();
        check_versions();
        check_leaving();
        check_evacuations();
        check_answers();
        check_crashing_requests();
        check_notices();
        return m_broken;
    }

  private:
    [[nodiscard]] bool is_calm(const std::vector<time_span>& disturbed, time_point at) const
    {
        return std::none_of(disturbed.begin(), disturbed.end(),
                            [&](const time_span& each)
                            { return each.m_from <= at && each.m_to > at - m_bounds.m_contact; });
    }

    [[nodiscard]] bool in_touch(std::size_t node, time_point at) const
    {
        const auto known = m_events.m_disturbed.find(node);
        return is_calm(m_events.m_store_disturbed, at) &&
               (known == m_events.m_disturbed.end() || is_calm(known->second, at));
    }

    template <class... Parts>
    void broken(const Parts&... parts)
    {
        std::ostringstream text;
        (text << ... << parts);
        m_broken.push_back(text.str());
    }

    /// seconds since the start
    static double seconds_of(time_point at)
    {
        return std::chrono::duration<double>(at - simulation_start).count();
    }

    /// events within a window that ends with an event
    struct event_window
    {
        time_point m_first;
        time_point m_last;
        double m_events{0.0};
    };

    /// for each event the window that ends with it
    static std::vector<event_window> windows_of(std::vector<time_point> times, duration length)
    {
        std::sort(times.begin(), times.end());
        std::vector<event_window> result;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last)
        {
            while (times[last] - times[first] >= length)
            {
                ++first;
            }
            result.push_back({times[first], times[last], static_cast<double>(last - first + 1)});
        }
        return result;
    }

    void check_runs()
    {
        std::map<std::string, int> runs;
        for (const arrival_event& each : m_events.m_arrivals)
        {
            runs[each.m_request] += each.m_ran ? 1 : 0;
        }
        for (const request_event& each : m_events.m_requests)
        {
            const int count = runs[each.m_id];
            if (!each.m_is_idempotent && count > 1)
            {
                broken("twice: ", each.m_id, " ran ", count, " times");
            }
            if (!each.m_is_idempotent && count > 0 && each.m_end == request_end::refused)
            {
                broken("refused: ", each.m_id, " had run");
            }
        }
    }

    void check_keys()
    {
        for (const arrival_event& each : m_events.m_arrivals)
        {
            const auto withdrawn = m_events.m_withdrawn_keys.find(m_requests.at(each.m_request)->m_key);
            if (withdrawn != m_events.m_withdrawn_keys.end() &&
                each.m_request_sent > withdrawn->second + m_bounds.m_revoke)
            {
                broken("key: ", withdrawn->first, " worked at ", seconds_of(each.m_arrived), " at node ",
                       each.m_node);
            }
        }
    }

    /// the highest limit that may apply at any time in a window
    [[nodiscard]] double rate_in(const std::string& account, time_span window) const
    {
        double result = 0.0;
        double last = 0.0;
        for (const auto& [since, rate] : m_events.m_rates.at(account))
        {
            // a lower limit applies to a window only after the time by which all nodes must have applied it
            const time_point binds =
                rate < last ? since + m_bounds.m_apply + m_bounds.m_contact + m_bounds.m_quota_window : since;
            result = binds <= window.m_from ? rate : std::max(result, rate);
            last = rate;
            if (since > window.m_to)
            {
                break;
            }
        }
        return result;
    }

    void check_quotas()
    {
        std::map<std::string, std::map<std::string, time_point>> first_runs;
        for (const arrival_event& each : m_events.m_arrivals)
        {
            if (each.m_ran)
            {
                first_runs[each.m_account].emplace(each.m_request, each.m_arrived);
            }
        }
        for (const auto& [account, runs] : first_runs)
        {
            std::vector<time_point> times;
            for (const auto& [request, at] : runs)
            {
                times.push_back(at);
            }
            check_quota(account, std::move(times));
        }
    }

    void check_quota(const std::string& account, std::vector<time_point> times)
    {
        const double seconds = std::chrono::duration<double>(m_bounds.m_quota_window).count();
        for (const event_window& each : windows_of(std::move(times), m_bounds.m_quota_window))
        {
            const double rate = rate_in(account, {each.m_first, each.m_last});
            const double bound = (rate * seconds + m_bounds.m_burst) * (1.0 + m_bounds.m_quota_overage) +
                                 m_bounds.m_quota_slack;
            if (each.m_events > bound)
            {
                broken("quota: ", each.m_events, " of ", bound, " of account ", account, " from ",
                       seconds_of(each.m_first));
                return;
            }
        }
    }

    void check_retries()
    {
        std::map<std::string, std::vector<time_point>> requests;
        std::map<std::string, std::vector<time_point>> extra;
        for (const arrival_event& each : m_events.m_arrivals)
        {
            (each.m_is_first ? requests : extra)[each.m_service].push_back(each.m_arrived);
        }
        for (auto& [service, times] : extra)
        {
            check_retries_at(service, std::move(times), requests[service]);
        }
    }

    void check_retries_at(const std::string& service, std::vector<time_point> extra,
                          std::vector<time_point> requests)
    {
        std::sort(requests.begin(), requests.end());
        const auto requests_in = [&requests](time_point from, time_point to)
        {
            return static_cast<double>(std::upper_bound(requests.begin(), requests.end(), to) -
                                       std::lower_bound(requests.begin(), requests.end(), from));
        };
        const duration length = m_bounds.m_retry_window;
        for (const event_window& each : windows_of(std::move(extra), length))
        {
            const time_point to = each.m_last;
            const time_point from = to - length;
            const double counted = std::max({requests_in(from, to), requests_in(from - length, from),
                                             requests_in(from - length / 2, to - length / 2)});
            const double bound = m_bounds.m_retry_ratio * counted + m_bounds.m_retry_slack;
            if (each.m_events > bound)
            {
                broken("retries: ", each.m_events, " of ", bound, " at ", service, " from ",
                       seconds_of(each.m_first));
                return;
            }
        }
    }

    void check_cold_starts()
    {
        std::map<std::string, std::vector<time_point>> arrivals;
        for (const arrival_event& each : m_events.m_arrivals)
        {
            if (each.m_is_cold)
            {
                arrivals[each.m_instance].push_back(each.m_arrived);
            }
        }
        const double bound = m_bounds.m_cold_rate * m_bounds.m_cold_overage + m_bounds.m_cold_slack;
        for (auto& [instance, times] : arrivals)
        {
            double most = 0.0;
            for (const event_window& each : windows_of(std::move(times), std::chrono::seconds{1}))
            {
                most = std::max(most, each.m_events);
            }
            if (most > bound)
            {
                broken("cold: ", most, " of ", bound, " in a second at ", instance);
            }
        }
    }

    void check_versions()
    {
        std::map<std::uint64_t, std::uint64_t> newest; // by process, in the order of admission
        std::vector<const request_event*> admitted;
        for (const request_event& each : m_events.m_requests)
        {
            if (each.m_version > 0)
            {
                admitted.push_back(&each);
            }
        }
        // a node that resumes after a stall admits all waiting requests at the same time, in sending order
        std::stable_sort(admitted.begin(), admitted.end(),
                         [](const request_event* lhs, const request_event* rhs)
                         { return lhs->m_admitted < rhs->m_admitted; });
        for (const request_event* each : admitted)
        {
            std::uint64_t& known = newest[each->m_process];
            if (each->m_version < known)
            {
                broken("version: node ", each->m_node, " went back from ", known, " to ", each->m_version);
            }
            known = std::max(known, each->m_version);
            const std::uint64_t due = version_due(each->m_sent);
            if (each->m_version < due && in_touch(each->m_node, each->m_admitted))
            {
                broken("version: node ", each->m_node, " used ", each->m_version, " at ",
                       seconds_of(each->m_sent), " though ", due, " was due");
            }
        }
    }

    /// newest version that undisturbed nodes must use
    [[nodiscard]] std::uint64_t version_due(time_point at) const
    {
        std::uint64_t result = 0;
        for (const auto& [version, since] : m_events.m_versions)
        {
            result = since + m_bounds.m_apply < at ? std::max(result, version) : result;
        }
        return result;
    }

    void check_leaving()
    {
        for (const arrival_event& each : m_events.m_arrivals)
        {
            const auto left = m_events.m_left.find(each.m_instance);
            if (left != m_events.m_left.end() && each.m_sent > left->second + m_bounds.m_apply &&
                in_touch(each.m_node, each.m_sent))
            {
                broken("leaving: ", each.m_instance, " was sent ", each.m_request, " at ",
                       seconds_of(each.m_sent), " by node ", each.m_node);
            }
        }
    }

    void check_evacuations()
    {
        for (const auto& [data_centre, span] : m_events.m_evacuations)
        {
            for (const arrival_event& each : m_events.m_arrivals)
            {
                if (each.m_data_centre == data_centre && each.m_sent > span.m_from + m_bounds.m_apply &&
                    each.m_sent < span.m_to && in_touch(each.m_node, each.m_sent))
                {
                    broken("evacuated: ", each.m_instance, " was sent ", each.m_request, " at ",
                           seconds_of(each.m_sent), " by node ", each.m_node);
                }
            }
        }
    }

    void check_answers()
    {
        for (const request_event& each : m_events.m_requests)
        {
            if (each.m_end == request_end::unanswered)
            {
                continue;
            }
            // a stalled node can't respond
            if (each.m_ended > each.m_sent + each.m_timeout + m_bounds.m_lateness &&
                in_touch(each.m_node, each.m_ended))
            {
                broken("late: ", each.m_id, " was answered ",
                       seconds_of(each.m_ended) - seconds_of(each.m_sent), " s after it was sent");
            }
            const std::set<std::string> shards{each.m_shards.begin(), each.m_shards.end()};
            const std::set<std::string> parts{each.m_parts.begin(), each.m_parts.end()};
            const bool is_subset = std::includes(shards.begin(), shards.end(), parts.begin(), parts.end());
            const bool is_whole =
                parts.size() == each.m_parts.size() && parts.size() + each.m_missing == shards.size();
            const bool is_declared =
                each.m_shards.empty() || m_events.m_shards.at(each.m_version) == each.m_shards;
            if (!each.m_parts.empty() && !(is_subset && is_whole && is_declared))
            {
                broken("parts: the response to ", each.m_id, " doesn't match one set of shards");
            }
        }
    }

    /// whether a node was restarted since a notice, or stalled or partitioned in a span that begins with it
    [[nodiscard]] bool is_excused(const notice_event& notice, const arrival_event& arrival,
                                  bool also_cut) const
    {
        const auto touches = [&](const std::map<std::size_t, std::vector<time_span>>& spans)
        {
            const auto known = spans.find(notice.m_node);
            return known != spans.end() && std::any_of(known->second.begin(), known->second.end(),
                                                       [&](const time_span& each) {
                                                           return each.m_to >= notice.m_answered &&
                                                                  each.m_from <= arrival.m_arrived;
                                                       });
        };
        return arrival.m_process != notice.m_process || touches(m_events.m_frozen) ||
               (also_cut && touches(m_events.m_cut));
    }

    void check_notices()
    {
        std::map<std::pair<std::size_t, std::string>, std::vector<const arrival_event*>> arrivals;
        for (const arrival_event& each : m_events.m_arrivals)
        {
            arrivals[{each.m_node, each.m_instance}].push_back(&each);
        }
        for (const notice_event& notice : m_events.m_notices)
        {
            std::size_t paused = 0;
            for (const arrival_event* each : arrivals[{notice.m_node, notice.m_instance}])
            {
                const bool is_late = each->m_request_sent > notice.m_taken + m_bounds.m_drain;
                if (notice.m_is_leaving && is_late && !is_excused(notice, *each, false))
                {
                    broken("leaving: ", notice.m_instance, " had announced it to node ", notice.m_node,
                           " at ", seconds_of(notice.m_taken), " and was sent ", each->m_request, " at ",
                           seconds_of(each->m_sent));
                    return;
                }
                const bool is_in_pause = each->m_arrived > notice.m_answered + m_bounds.m_pause_notice &&
                                         each->m_arrived < notice.m_answered + notice.m_pause;
                paused += is_in_pause && !is_excused(notice, *each, true) ? 1 : 0;
            }
            if (paused > m_bounds.m_paused_arrivals)
            {
                broken("pause: ", notice.m_instance, " had requested one from node ", notice.m_node, " at ",
                       seconds_of(notice.m_answered), " and was sent ", paused, " requests in it");
                return;
            }
        }
    }

    /// the account and target of each request that crashes upstreams are the same
    void check_crashing_requests()
    {
        constexpr std::size_t crash_threshold = 3;
        if (m_events.m_crashes.size() < crash_threshold)
        {
            return;
        }
        const time_point third = m_events.m_crashes[crash_threshold - 1].m_at;
        std::size_t sends = 0;
        std::set<std::size_t> nodes;
        std::map<std::pair<std::string, std::string>, std::size_t>
            by_attempt; // by client attempt and service
        for (const arrival_event& each : m_events.m_arrivals)
        {
            const bool is_late = each.m_sent > third + m_bounds.m_contact;
            const bool is_counted = m_requests.at(each.m_request)->m_crashes_upstreams && is_late;
            if (is_counted && in_touch(each.m_node, each.m_sent))
            {
                ++sends;
                nodes.insert(each.m_node);
                ++by_attempt[{each.m_request, each.m_service}];
            }
        }
        if (sends > m_bounds.m_crash_retries)
        {
            const auto most =
                std::max_element(by_attempt.begin(), by_attempt.end(),
                                 [](const auto& lhs, const auto& rhs) { return lhs.second < rhs.second; });
            broken("crashing: sent ", sends, " times after it had crashed three upstreams, by ", nodes.size(),
                   " nodes, for ", by_attempt.size(), " client attempts and services, at most ", most->second,
                   " for one; ", m_events.m_crashes.size(), " crashed in all, the third at ",
                   seconds_of(third));
        }
    }

    const fleet_events& m_events;
    fleet_bounds m_bounds;
    std::map<std::string, const request_event*> m_requests;
    std::vector<std::string> m_broken;
};

} // namespace teasellead::testing
