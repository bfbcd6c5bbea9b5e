#include "teasellead/fleet/quota_ledger.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

constexpr double demand_window_s = 1.0;
// tokens for the expected requests of this time are prefetched
constexpr milliseconds lookahead{300};
constexpr double max_lookahead_tokens = 8.0;
constexpr milliseconds token_lifetime{400};
constexpr milliseconds reply_timeout{40};
// longest wait for a token; then the node decides without a bucket, however often the holder has changed
constexpr milliseconds max_wait{100};
constexpr int max_redirections = 3;
constexpr std::size_t max_waiting_nodes = 128;
// other nodes may replace a holder that was stalled for longer
constexpr milliseconds max_stall{600};
constexpr milliseconds min_retry_after = quota_bucket::min_retry_after;
// time after which a refused request may be retried while no node holds the bucket
constexpr milliseconds retry_without_bucket{200};

} // namespace

quota_ledger::quota_ledger(endpoint self, account_bound bound) : m_bound(bound), m_members(self)
{
}

ownership_context quota_ledger::context_of(const std::string& name, time_point now)
{
    return {m_members, name, now, m_messages};
}

void quota_ledger::on_declarations(const std::vector<forwarding::account>& accounts, time_point now)
{
    if (!m_started_at)
    {
        m_started_at = now;
    }
    std::unordered_map<std::string, account_state> next;
    for (const forwarding::account& each : accounts)
    {
        const auto known = m_accounts.find(each.m_name);
        account_state state = known == m_accounts.end()
                                  ? account_state{hash64(each.m_name), m_bound.m_window + token_lifetime}
                                  : std::move(known->second);
        if (known != m_accounts.end())
        {
            if (state.m_ownership.is_held())
            {
                (void)state.m_ownership.refilled(state.m_parameters, m_members, now);
            }
            m_accounts.erase(known);
        }
        state.m_rate = each.m_rate;
        state.m_parameters =
            full_bucket_parameters(m_bound, each.m_rate, each.m_burst, token_lifetime, lookahead);
        state.m_total_fallback = total_fallback(m_bound, each.m_rate, each.m_burst);
        next.emplace(each.m_name, std::move(state));
    }
    // refuse the waiting requests of accounts that are no longer declared
    for (auto& [name, state] : m_accounts)
    {
        complete_waiting(state, 0.0, min_retry_after, now);
    }
    m_accounts = std::move(next);
    for (auto& [name, state] : m_accounts)
    {
        state.m_ownership.update(state.m_parameters, context_of(name, now));
        on_ownership_change(name, state, now);
    }
}

void quota_ledger::on_members(member_view view, time_point now)
{
    if (!m_members.update(std::move(view), now))
    {
        return;
    }
    for (auto& [name, state] : m_accounts)
    {
        if (state.m_rate > 0.0)
        {
            state.m_ownership.update(state.m_parameters, context_of(name, now));
            on_ownership_change(name, state, now);
        }
    }
}

void quota_ledger::detect_stall(time_point now)
{
    if (m_last_tick && now - *m_last_tick > max_stall)
    {
        for (auto& [name, state] : m_accounts)
        {
            state.m_ownership.on_stall();
            on_ownership_change(name, state, now);
        }
    }
    m_last_tick = now;
}

void quota_ledger::update_demand(account_state& state, time_point now) const
{
    const double passed_s = std::max(seconds_of(now - state.m_last_request), 0.0);
    state.m_demand = state.m_demand * std::exp(-passed_s / demand_window_s) + 1.0 / demand_window_s;
    state.m_last_request = now;
}

quota_answer quota_ledger::take_from_bucket(account_state& state, time_point now)
{
    quota_bucket& bucket = state.m_ownership.refilled(state.m_parameters, m_members, now);
    if (bucket.available() >= 1.0)
    {
        bucket.take(1.0);
        return quota_granted{};
    }
    bucket.record_refusal();
    return quota_refused{bucket.wait(state.m_parameters.m_rate)};
}

quota_answer quota_ledger::request(const std::string& name, quota_ticket ticket, time_point now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
    {
        return quota_refused{min_retry_after};
    }
    account_state& state = found->second;
    if (state.m_rate <= 0.0)
    {
        return quota_granted{};
    }
    if (m_last_tick)
    {
        detect_stall(now);
    }
    update_demand(state, now);
    if (state.m_ownership.is_held())
    {
        return take_from_bucket(state, now);
    }
    if (now >= state.m_prefetched_until)
    {
        state.m_prefetched = 0.0;
    }
    if (state.m_prefetched >= 1.0)
    {
        state.m_prefetched -= 1.0;
        const bool is_short = state.m_prefetched < 1.0 && state.m_demand * seconds_of(lookahead) >= 1.0;
        if (is_short && !state.m_call)
        {
            request_tokens(name, state, 0, now);
        }
        return quota_granted{};
    }
    if (now < state.m_refused_until)
    {
        return quota_refused{std::max<duration>(state.m_refused_until - now, min_retry_after)};
    }
    state.m_waiting.push_back({ticket, now});
    ++m_waiting;
    if (!state.m_call)
    {
        request_tokens(name, state, 0, now);
    }
    return take_decision(ticket).value_or(quota_pending{});
}

std::optional<quota_answer> quota_ledger::take_decision(quota_ticket ticket)
{
    const auto found = std::find_if(m_decisions.begin(), m_decisions.end(),
                                    [ticket](const quota_decision& each) { return each.m_ticket == ticket; });
    if (found == m_decisions.end())
    {
        return std::nullopt;
    }
    const quota_decision decided = *found;
    m_decisions.erase(found);
    return decided.m_is_granted ? quota_answer{quota_granted{}} : quota_refused{decided.m_retry_after};
}

void quota_ledger::withdraw(const std::string& name, quota_ticket ticket)
{
    const auto found = m_accounts.find(name);
    if (found != m_accounts.end())
    {
        m_waiting -= std::erase_if(found->second.m_waiting,
                                   [ticket](const waiting_request& each) { return each.m_ticket == ticket; });
    }
}

void quota_ledger::request_tokens(const std::string& name, account_state& state, int redirections,
                                  time_point now)
{
    state.m_ownership.update(state.m_parameters, context_of(name, now));
    const endpoint receiver = state.m_ownership.target(context_of(name, now));
    const double ahead = std::min(std::floor(state.m_demand * seconds_of(lookahead)), max_lookahead_tokens);
    const double wanted = std::max(1.0, static_cast<double>(state.m_waiting.size()) + ahead);
    state.m_call = token_call{++m_last_call, receiver, static_cast<std::uint32_t>(wanted), now, redirections};
    if (receiver != m_members.self())
    {
        m_messages.push_back({receiver, token_request{m_last_call, name, state.m_call->m_tokens}});
        return;
    }
    on_ownership_change(name, state, now);
}

void quota_ledger::on_ownership_change(const std::string& name, account_state& state, time_point now)
{
    if (state.m_ownership.is_searching())
    {
        return;
    }
    for (const waiting_node& requester : std::exchange(state.m_waiting_nodes, {}))
    {
        send_grant(name, state, requester, now);
    }
    if (!state.m_call || state.m_call->m_receiver != m_members.self())
    {
        return;
    }
    // this node's own requests have waited for the search to end
    const int redirections = state.m_call->m_redirections + 1;
    state.m_call.reset();
    if (state.m_ownership.is_held())
    {
        decide_from_bucket(state, now);
    }
    else if (redirections > max_redirections)
    {
        decide_without_bucket(state, now);
    }
    else if (!state.m_waiting.empty())
    {
        request_tokens(name, state, redirections, now);
    }
}

void quota_ledger::send_grant(const std::string& name, account_state& state, const waiting_node& requester,
                              time_point now)
{
    token_grant grant{requester.m_request.m_call, name, 0, milliseconds{0}, std::nullopt};
    if (!state.m_ownership.is_held())
    {
        grant.m_retry_after = retry_without_bucket;
        grant.m_holder = state.m_ownership.target(context_of(name, now));
        m_messages.push_back({requester.m_address, std::move(grant)});
        return;
    }
    quota_bucket& bucket = state.m_ownership.refilled(state.m_parameters, m_members, now);
    const double given = std::min<double>(requester.m_request.m_tokens, bucket.available());
    bucket.take(given);
    grant.m_tokens = static_cast<std::uint32_t>(given);
    if (given < 1.0)
    {
        bucket.record_refusal();
        grant.m_retry_after = std::chrono::ceil<milliseconds>(bucket.wait(state.m_parameters.m_rate));
    }
    m_messages.push_back({requester.m_address, std::move(grant)});
}

void quota_ledger::on_message(const endpoint& sender, const token_request& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end() || found->second.m_rate <= 0.0)
    {
        // this node doesn't know the account yet; without a reply the sender decides without a bucket
        return;
    }
    if (m_last_tick)
    {
        detect_stall(now);
    }
    const std::string& name = found->first;
    account_state& state = found->second;
    if (!state.m_ownership.is_held())
    {
        state.m_ownership.update(state.m_parameters, context_of(name, now));
    }
    const waiting_node requester{sender, content, now};
    if (!state.m_ownership.is_searching())
    {
        send_grant(name, state, requester, now);
    }
    else if (state.m_waiting_nodes.size() < max_waiting_nodes)
    {
        state.m_waiting_nodes.push_back(requester);
    }
}

void quota_ledger::on_message(const endpoint& sender, const token_grant& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end())
    {
        return;
    }
    const std::string& name = found->first;
    account_state& state = found->second;
    if (!state.m_call || state.m_call->m_number != content.m_call || state.m_call->m_receiver != sender)
    {
        return;
    }
    const token_call answered = *std::exchange(state.m_call, std::nullopt);
    if (content.m_holder && content.m_tokens == 0)
    {
        state.m_ownership.on_holder_hint(sender, *content.m_holder, context_of(name, now));
        if (answered.m_redirections < max_redirections)
        {
            request_tokens(name, state, answered.m_redirections + 1, now);
        }
        else
        {
            decide_without_bucket(state, now);
        }
        return;
    }
    const bool is_exhausted = content.m_tokens < answered.m_tokens;
    if (is_exhausted || content.m_tokens >= state.m_waiting.size())
    {
        complete_waiting(state, content.m_tokens, content.m_retry_after, now);
        return;
    }
    // more requests have arrived since the tokens were requested
    (void)grant_waiting(state, content.m_tokens);
    request_tokens(name, state, 0, now);
}

void quota_ledger::on_message(const endpoint& sender, const bucket_request& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end())
    {
        // this node has no bucket for an account that it doesn't know
        m_messages.push_back({sender, bucket_reply{content.m_call, content.m_client_account, false, 0.0,
                                                   std::nullopt, m_members.is_converged()}});
        return;
    }
    if (m_last_tick)
    {
        detect_stall(now);
    }
    account_state& state = found->second;
    state.m_ownership.on_message(sender, content, state.m_parameters, context_of(found->first, now));
    on_ownership_change(found->first, state, now);
}

void quota_ledger::on_message(const endpoint& sender, const bucket_reply& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end())
    {
        return;
    }
    account_state& state = found->second;
    state.m_ownership.on_message(sender, content, state.m_parameters, context_of(found->first, now));
    on_ownership_change(found->first, state, now);
}

double quota_ledger::grant_waiting(account_state& state, double tokens)
{
    while (!state.m_waiting.empty() && tokens >= 1.0)
    {
        tokens -= 1.0;
        m_decisions.push_back({state.m_waiting.front().m_ticket, true, duration::zero()});
        state.m_waiting.pop_front();
        --m_waiting;
    }
    return tokens;
}

void quota_ledger::complete_waiting(account_state& state, double tokens, duration retry_after, time_point now)
{
    tokens = grant_waiting(state, tokens);
    if (tokens >= 1.0)
    {
        state.m_prefetched += tokens;
        state.m_prefetched_until = now + token_lifetime;
        return;
    }
    if (state.m_waiting.empty())
    {
        return;
    }
    const duration wait = std::max<duration>(retry_after, min_retry_after);
    for (const waiting_request& each : state.m_waiting)
    {
        m_decisions.push_back({each.m_ticket, false, wait});
    }
    m_waiting -= state.m_waiting.size();
    state.m_waiting.clear();
    state.m_refused_until = now + wait;
}

void quota_ledger::decide_from_bucket(account_state& state, time_point now)
{
    quota_bucket& bucket = state.m_ownership.refilled(state.m_parameters, m_members, now);
    const double used = std::min(bucket.available(), static_cast<double>(state.m_waiting.size()));
    bucket.take(used);
    complete_waiting(state, used, bucket.wait(state.m_parameters.m_rate), now);
}

void quota_ledger::decide_without_bucket(account_state& state, time_point now)
{
    // the number of requests that an earlier process admitted within the window isn't known
    const bool has_just_started = !m_started_at || now - *m_started_at < m_bound.m_window + token_lifetime;
    const double part = state.m_total_fallback / static_cast<double>(m_members.size());
    const double left =
        has_just_started ? 0.0 : std::floor(part - static_cast<double>(state.m_fallback.total(now)));
    const double used = std::clamp(left, 0.0, static_cast<double>(state.m_waiting.size()));
    state.m_fallback.add(now, static_cast<std::uint64_t>(used));
    complete_waiting(state, used, retry_without_bucket, now);
}

void quota_ledger::on_no_reply(const std::string& name, account_state& state, time_point now)
{
    const bool is_overdue = !state.m_waiting.empty() && now - state.m_waiting.front().m_asked_at >= max_wait;
    if (!is_overdue && now - state.m_call->m_sent_at < reply_timeout)
    {
        return;
    }
    const token_call unanswered = *std::exchange(state.m_call, std::nullopt);
    if (unanswered.m_receiver != m_members.self())
    {
        state.m_ownership.discard_holder();
    }
    if (is_overdue)
    {
        decide_without_bucket(state, now);
    }
    else if (!state.m_waiting.empty())
    {
        request_tokens(name, state, unanswered.m_redirections, now);
    }
}

void quota_ledger::on_tick(time_point now)
{
    detect_stall(now);
    for (auto& [name, state] : m_accounts)
    {
        if (state.m_ownership.is_held() || state.m_ownership.is_searching())
        {
            state.m_ownership.on_tick(state.m_parameters, context_of(name, now));
            on_ownership_change(name, state, now);
        }
        if (state.m_call)
        {
            on_no_reply(name, state, now);
        }
    }
}

std::vector<outgoing_message> quota_ledger::take_messages()
{
    return std::exchange(m_messages, {});
}

std::vector<quota_decision> quota_ledger::take_decisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace teasellead
