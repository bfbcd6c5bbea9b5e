#include "teasellead/fleet/crash_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

// a trial that hasn't ended after this time no longer blocks other trials
constexpr duration lease_time = std::chrono::seconds{2};
constexpr milliseconds busy_retry_after{100};
constexpr milliseconds max_retry_after = std::chrono::minutes{10};
constexpr duration gossip_period = std::chrono::seconds{1};
constexpr std::size_t max_records_per_notice = 32;
// more than there are records at once
constexpr std::size_t max_known_coordinators = 4096;
constexpr std::size_t nodes_asked_at_start = 3;
constexpr std::size_t max_record_requests = 5;

void make_unique(std::vector<std::string>& fingerprints)
{
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
}

} // namespace

void crash_exchange::on_members(const std::vector<peer_status>& others, bool is_leaving)
{
    std::vector<endpoint> responsive;
    for (const peer_status& each : others)
    {
        if (!each.m_is_unresponsive && !each.m_is_leaving)
        {
            responsive.push_back(each.m_address);
        }
    }
    std::sort(responsive.begin(), responsive.end());
    if (responsive == m_responsive && is_leaving == m_is_leaving)
    {
        return;
    }
    const bool has_same_role = is_leaving == m_is_leaving;
    std::vector<endpoint> added;
    std::set_difference(responsive.begin(), responsive.end(), m_responsive.begin(), m_responsive.end(),
                        std::back_inserter(added));
    m_responsive = std::move(responsive);
    m_is_leaving = is_leaving;
    update_coordinators(has_same_role ? added : m_responsive);
}

/// re-sends the records whose coordinator has changed; views of large fleets change all the time, so that all
/// other records must be left alone
void crash_exchange::update_coordinators(const std::vector<endpoint>& candidates)
{
    std::unordered_map<std::string, endpoint> next;
    for (const std::string& fingerprint : m_guard.fingerprints())
    {
        const auto known = m_coordinators.find(fingerprint);
        if (known == m_coordinators.end())
        {
            // a new record, which the next tick sends
            continue;
        }
        const endpoint before = known->second;
        const endpoint now = is_eligible(before) ? best_coordinator(fingerprint, before, candidates)
                                                 : choose_coordinator(fingerprint);
        if (now != before)
        {
            m_guard.mark_changed(fingerprint);
        }
        next.emplace(fingerprint, now);
    }
    m_coordinators = std::move(next);
}

bool crash_exchange::is_eligible(const endpoint& node) const
{
    return node == m_self ? !m_is_leaving
                          : std::binary_search(m_responsive.begin(), m_responsive.end(), node);
}

endpoint crash_exchange::best_coordinator(const std::string& name, const endpoint& first,
                                          const std::vector<endpoint>& others) const
{
    const std::uint64_t key = hash64(name);
    endpoint best = first;
    std::uint64_t best_score = rendezvous_score(key, first.packed());
    for (const endpoint& each : others)
    {
        const std::uint64_t score = rendezvous_score(key, each.packed());
        if (score > best_score)
        {
            best = each;
            best_score = score;
        }
    }
    return best;
}

endpoint crash_exchange::choose_coordinator(const std::string& name) const
{
    const bool has_other = m_is_leaving && !m_responsive.empty();
    return best_coordinator(name, has_other ? m_responsive.front() : m_self, m_responsive);
}

endpoint crash_exchange::coordinator_of_record(const std::string& fingerprint)
{
    const auto known = m_coordinators.find(fingerprint);
    return known != m_coordinators.end()
               ? known->second
               : m_coordinators.emplace(fingerprint, choose_coordinator(fingerprint)).first->second;
}

void crash_exchange::on_message(const endpoint& sender, const crash_notice& content, time_point now)
{
    for (const forwarding::crash_record& record : content.m_records)
    {
        m_guard.merge_record(record, now);
        const forwarding::crash_record* const known = m_guard.find(record.m_fingerprint);
        if (known != nullptr && known->m_epoch > record.m_epoch)
        {
            m_messages.push_back({sender, crash_notice{{*known}, false}});
        }
    }
    if (content.m_wants_reply)
    {
        const auto records = m_guard.shared_records();
        if (records.empty())
        {
            m_messages.push_back({sender, crash_notice{}});
        }
        send_records(sender, records);
        return;
    }
    m_has_received_notice = true;
}

void crash_exchange::on_message(const endpoint& sender, const trial_request& content, time_point now)
{
    if (content.m_is_over)
    {
        end_lease(sender, content);
        return;
    }
    m_messages.push_back({sender, decide_trial(sender, content, now)});
}

void crash_exchange::on_message(const endpoint& sender, const trial_reply& content, time_point now)
{
    (void)sender;
    (void)now;
    m_guard.on_trial_reply(content.m_call, content.m_is_granted, content.m_retry_after);
}

trial_reply crash_exchange::decide_trial(const endpoint& requester, const trial_request& wanted,
                                         time_point now)
{
    const auto lease = m_leases.find(wanted.m_service);
    if (lease != m_leases.end() && now < lease->second.m_until)
    {
        return {wanted.m_call, false, busy_retry_after};
    }
    const auto next = m_guard.next_trial(wanted.m_fingerprint);
    if (!next || now < *next)
    {
        const milliseconds wait = next ? std::chrono::ceil<milliseconds>(*next - now) : max_retry_after;
        return {wanted.m_call, false, wait};
    }
    m_guard.count_trial(wanted.m_fingerprint, now);
    m_leases[wanted.m_service] = {requester, wanted.m_call, now + lease_time};
    return {wanted.m_call, true, milliseconds::zero()};
}

void crash_exchange::end_lease(const endpoint& holder, const trial_request& ended)
{
    const auto lease = m_leases.find(ended.m_service);
    if (lease != m_leases.end() && lease->second.m_holder == holder && lease->second.m_call == ended.m_call)
    {
        m_leases.erase(lease);
    }
}

void crash_exchange::on_requests(time_point now)
{
    if (!m_guard.has_trial_updates())
    {
        return;
    }
    notify_coordinators();
    for (const forwarding::requested_trial& each : m_guard.take_ended_trials())
    {
        send_trial_request(each, true, now);
    }
    for (const forwarding::requested_trial& each : m_guard.take_requested_trials())
    {
        send_trial_request(each, false, now);
    }
}

void crash_exchange::send_trial_request(const forwarding::requested_trial& trial, bool is_over,
                                        time_point now)
{
    const trial_request request{trial.m_trial_id, trial.m_fingerprint, trial.m_service, is_over};
    const endpoint coordinator = choose_coordinator(trial.m_service);
    if (coordinator != m_self)
    {
        // the coordinator needs the losses to decide on the trial
        if (const forwarding::crash_record* const record = m_guard.find(trial.m_fingerprint))
        {
            m_messages.push_back({coordinator, crash_notice{{*record}, false}});
        }
        m_messages.push_back({coordinator, request});
        return;
    }
    if (is_over)
    {
        end_lease(m_self, request);
        return;
    }
    const trial_reply reply = decide_trial(m_self, request, now);
    m_guard.on_trial_reply(reply.m_call, reply.m_is_granted, reply.m_retry_after);
}

void crash_exchange::on_tick(random_source& random, time_point now)
{
    m_guard.on_tick(now);
    if (m_coordinators.size() > max_known_coordinators)
    {
        // drops those of records that have expired
        update_coordinators({});
    }
    std::erase_if(m_leases, [now](const auto& each) { return now >= each.second.m_until; });
    on_requests(now);
    notify_coordinators();
    notify_all();
    request_records(now);
    gossip_records(random, now);
}

void crash_exchange::notify_coordinators()
{
    std::vector<std::string> seen = m_guard.take_locally_changed();
    make_unique(seen);
    for (const std::string& fingerprint : seen)
    {
        const forwarding::crash_record* const record = m_guard.find(fingerprint);
        const endpoint coordinator = coordinator_of_record(fingerprint);
        if (record != nullptr && coordinator != m_self)
        {
            m_messages.push_back({coordinator, crash_notice{{*record}, false}});
        }
    }
}

/// sends the changed records for which this node is the coordinator to all nodes
void crash_exchange::notify_all()
{
    std::vector<std::string> changed = m_guard.take_changed();
    make_unique(changed);
    std::vector<forwarding::crash_record> records;
    for (const std::string& fingerprint : changed)
    {
        const forwarding::crash_record* const record = m_guard.find(fingerprint);
        const bool is_coordinator = record != nullptr && coordinator_of_record(fingerprint) == m_self;
        if (is_coordinator && m_guard.is_shared(fingerprint))
        {
            records.push_back(*record);
        }
    }
    for (const endpoint& each : m_responsive)
    {
        send_records(each, records);
    }
}

void crash_exchange::send_records(const endpoint& receiver,
                                  const std::vector<forwarding::crash_record>& records)
{
    for (std::size_t first = 0; first < records.size(); first += max_records_per_notice)
    {
        const std::size_t last = std::min(records.size(), first + max_records_per_notice);
        crash_notice notice;
        notice.m_records.assign(records.begin() + static_cast<std::ptrdiff_t>(first),
                                records.begin() + static_cast<std::ptrdiff_t>(last));
        m_messages.push_back({receiver, std::move(notice)});
    }
}

/// requests the records of other nodes after a start, since this node's earlier process may have known
/// refused requests
void crash_exchange::request_records(time_point now)
{
    const bool is_due = !m_has_received_notice && m_record_requests < max_record_requests &&
                        now - m_last_record_request >= gossip_period;
    if (!is_due || m_responsive.empty())
    {
        return;
    }
    m_last_record_request = now;
    ++m_record_requests;
    const std::size_t asked = std::min(nodes_asked_at_start, m_responsive.size());
    for (std::size_t i = 0; i < asked; ++i)
    {
        m_messages.push_back(
            {m_responsive[(m_record_requests + i) % m_responsive.size()], crash_notice{{}, true}});
    }
}

void crash_exchange::gossip_records(random_source& random, time_point now)
{
    if (now - m_last_gossip < gossip_period || m_responsive.empty())
    {
        return;
    }
    m_last_gossip = now;
    std::vector<forwarding::crash_record> records = m_guard.shared_records();
    if (records.empty())
    {
        return;
    }
    // a random part of the records in one notice
    const std::size_t first = random.below(records.size());
    std::rotate(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(first), records.end());
    records.resize(std::min(records.size(), max_records_per_notice));
    send_records(m_responsive[random.below(m_responsive.size())], records);
}

std::vector<outgoing_message> crash_exchange::take_messages()
{
    return std::exchange(m_messages, {});
}

} // namespace teasellead
