#include "teasellead/fleet/quota_ledger.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

// time from the grant of a token until its request is sent to an upstream
constexpr milliseconds grant_to_send_time{400};
// time for which a token is kept whose request was withdrawn
constexpr milliseconds unused_token_lifetime{100};
constexpr milliseconds reply_timeout{40};
// longest wait for a token; then the request is refused, however often the holder has changed
constexpr milliseconds max_wait{100};
// time for which a data centre that hasn't replied isn't asked again
constexpr milliseconds silence_time{1000};
// other nodes may replace a holder that was stalled for longer
constexpr milliseconds max_stall{600};
constexpr milliseconds min_retry_after = quota_bucket::min_retry_after;
// a data centre without tokens is asked again within this time
constexpr milliseconds max_ask_interval{200};
constexpr double min_token_rate = 0.1;

} // namespace

quota_ledger::quota_ledger(endpoint self, account_bound bound, limit_parts parts)
    : m_bound(bound), m_parts(parts), m_members(self), m_remote(self)
{
}

ownership_context quota_ledger::context_of(const std::string& name, time_point now)
{
    return {m_members, name, now, m_messages};
}

bucket_parameters quota_ledger::part_parameters(double rate, double burst) const
{
    const auto parts = static_cast<double>(m_parts.m_data_centres);
    account_bound bound = m_bound;
    bound.m_slack /= parts;
    return full_bucket_parameters(bound, rate / parts, burst / parts, grant_to_send_time);
}

void quota_ledger::on_declarations(const std::vector<forwarding::account>& accounts, time_point now)
{
    std::unordered_map<std::string, account_state> next;
    for (const forwarding::account& each : accounts)
    {
        const auto known = m_accounts.find(each.m_name);
        account_state state =
            known == m_accounts.end() ? account_state{hash64(each.m_name)} : std::move(known->second);
        if (known != m_accounts.end())
        {
            if (state.m_ownership.is_held())
            {
                (void)state.m_ownership.refilled(state.m_parameters, m_members, now);
            }
            m_accounts.erase(known);
        }
        state.m_rate = each.m_rate;
        state.m_parameters = part_parameters(each.m_rate, each.m_burst);
        next.emplace(each.m_name, std::move(state));
    }
    // refuse the waiting requests of accounts that are no longer declared
    for (auto& [name, state] : m_accounts)
    {
        refuse_waiting(state, min_retry_after);
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
    if (m_parts.m_data_centres > 1)
    {
        const auto first_remote = std::stable_partition(
            view.m_others.begin(), view.m_others.end(),
            [this](const peer_status& each) { return each.m_data_centre == m_parts.m_data_centre; });
        m_remote.update({first_remote, view.m_others.end()});
        view.m_others.erase(first_remote, view.m_others.end());
        view.m_expected = view.m_expected_local;
    }
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

void quota_ledger::record_refusal(account_state& state, token_sources::index source, duration retry_after,
                                  time_point now)
{
    // callers are told when their turn comes; this node asks as soon as there may be a token for anyone
    const std::chrono::duration<double> next_token{1.0 / std::max(state.m_parameters.m_rate, min_token_rate)};
    const duration wait = std::clamp<duration>(std::chrono::duration_cast<duration>(next_token),
                                               min_retry_after, max_ask_interval);
    state.m_sources.on_refusal(source, now + std::min(wait, retry_after), now + retry_after);
}

bool quota_ledger::take_unused(account_state& state, time_point now)
{
    if (now >= state.m_unused_until)
    {
        state.m_unused_tokens = 0.0;
    }
    const bool is_available = state.m_unused_tokens >= 1.0;
    state.m_unused_tokens -= is_available ? 1.0 : 0.0;
    return is_available;
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
    const bool is_granted =
        (state.m_ownership.is_held() && take_from_bucket(state, now)) || take_unused(state, now);
    if (is_granted)
    {
        return quota_granted{};
    }
    state.m_waiting.push_back({ticket, now});
    ++m_waiting;
    if (!state.m_call)
    {
        request_tokens(name, state, now);
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

std::optional<token_sources::index> quota_ledger::next_source(account_state& state, time_point now) const
{
    state.m_sources.on_members(m_remote);
    const bool skips_local = state.m_ownership.is_searching();
    return state.m_sources.next(skips_local, now);
}

void quota_ledger::request_tokens(const std::string& name, account_state& state, time_point now)
{
    state.m_ownership.update(state.m_parameters, context_of(name, now));
    if (const auto source = next_source(state, now))
    {
        send_token_request(name, state, *source, 0, now);
    }
    else
    {
        refuse_without_source(state, now);
    }
}

void quota_ledger::send_token_request(const std::string& name, account_state& state,
                                      token_sources::index source, int redirections, time_point now)
{
    const endpoint receiver = source == token_sources::local ? state.m_ownership.target(context_of(name, now))
                                                             : state.m_sources.target(source, now);
    const auto wanted = static_cast<std::uint32_t>(std::max<std::size_t>(state.m_waiting.size(), 1));
    state.m_call = token_call{++m_last_call, receiver, source, wanted, now, redirections};
    if (receiver != m_members.self())
    {
        m_messages.push_back({receiver, token_request{m_last_call, name, state.m_call->m_tokens}});
        return;
    }
    on_ownership_change(name, state, now);
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
        on_redirection(name, state, answered, sender, *content.m_holder, now);
        return;
    }
    // a sender that grants more than was asked doesn't keep to the protocol
    const std::uint32_t tokens = std::min(content.m_tokens, answered.m_tokens);
    if (tokens < answered.m_tokens)
    {
        const duration wait = std::max<duration>(content.m_retry_after, quota_bucket::min_retry_after);
        record_refusal(state, answered.m_source, wait, now);
    }
    grant_waiting(state, tokens, now);
    if (!state.m_waiting.empty())
    {
        request_tokens(name, state, now);
    }
}

void quota_ledger::on_redirection(const std::string& name, account_state& state, const token_call& answered,
                                  const endpoint& sender, const endpoint& holder, time_point now)
{
    if (answered.m_source == token_sources::local)
    {
        state.m_ownership.on_holder_hint(sender, holder, context_of(name, now));
    }
    else
    {
        state.m_sources.on_holder_hint(answered.m_source, holder, now);
    }
    if (answered.m_redirections < max_redirections)
    {
        send_token_request(name, state, answered.m_source, answered.m_redirections + 1, now);
        return;
    }
    record_refusal(state, answered.m_source, retry_without_holder, now);
    request_tokens(name, state, now);
}

void quota_ledger::on_no_reply(const std::string& name, account_state& state, time_point now)
{
    const bool is_overdue = !state.m_waiting.empty() && now - state.m_waiting.front().m_asked_at >= max_wait;
    if (!is_overdue && now - state.m_call->m_sent_at < reply_timeout)
    {
        return;
    }
    const token_call unanswered = *std::exchange(state.m_call, std::nullopt);
    const bool is_own_search = unanswered.m_receiver == m_members.self();
    if (unanswered.m_source == token_sources::local && !is_own_search)
    {
        state.m_ownership.discard_holder();
    }
    if (m_parts.m_data_centres > 1 && !is_own_search)
    {
        state.m_sources.on_silence(unanswered.m_source, now + silence_time);
    }
    if (is_overdue)
    {
        refuse_without_source(state, now);
    }
    else if (!state.m_waiting.empty())
    {
        request_tokens(name, state, now);
    }
}

void quota_ledger::grant_waiting(account_state& state, double tokens, time_point now)
{
    while (!state.m_waiting.empty() && tokens >= 1.0)
    {
        tokens -= 1.0;
        m_decisions.push_back({state.m_waiting.front().m_ticket, true, duration::zero()});
        state.m_waiting.pop_front();
        --m_waiting;
    }
    if (tokens >= 1.0)
    {
        state.m_unused_tokens += tokens;
        state.m_unused_until = now + unused_token_lifetime;
    }
}

void quota_ledger::refuse_waiting(account_state& state, duration retry_after)
{
    for (const waiting_request& each : state.m_waiting)
    {
        m_decisions.push_back({each.m_ticket, false, std::max<duration>(retry_after, min_retry_after)});
    }
    m_waiting -= state.m_waiting.size();
    state.m_waiting.clear();
}

void quota_ledger::refuse_without_source(account_state& state, time_point now)
{
    const time_point retry_at = state.m_sources.retry_at(now);
    refuse_waiting(state, retry_at > now ? retry_at - now : retry_without_holder);
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

std::vector<holder_change> quota_ledger::take_holder_changes()
{
    return std::exchange(m_holder_changes, {});
}

std::vector<quota_decision> quota_ledger::take_decisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace teasellead
