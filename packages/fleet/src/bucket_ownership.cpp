#include "teasellead/fleet/bucket_ownership.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

// time after which information from another node about the holder is no longer used
constexpr milliseconds node_info_lifetime{2000};
constexpr milliseconds retry_period{100};
// when one side of a network partition has detected it, the other side has after this time
constexpr milliseconds mutual_detection_time{1000};
// fraction of a bucket that is used while another, undetected one may exist
constexpr double unconfirmed_fraction = 0.15;
// the same if all asked nodes have replied, but have just started themselves
constexpr double unconverged_fraction = 0.85;
// a running node replies within this time; must exceed the stall after which a node discards its buckets
constexpr milliseconds reply_timeout{700};
// the same for a node that is already unresponsive or isn't known
constexpr milliseconds unresponsive_reply_timeout{60};

} // namespace

quota_bucket& bucket_ownership::refilled(const bucket_parameters& parameters, const quota_members& members,
                                         time_point now)
{
    const double part = members.responsive_fraction() * usable_fraction(members, now);
    m_bucket->refill({part * parameters.m_rate, std::max(1.0, part * parameters.m_capacity)}, now);
    return *m_bucket;
}

void bucket_ownership::update_order(const ownership_context& context)
{
    if (m_order_version != context.m_members.version())
    {
        m_order_version = context.m_members.version();
        m_order = context.m_members.order_of(m_key);
    }
}

endpoint bucket_ownership::preferred_holder(const ownership_context& context)
{
    update_order(context);
    const auto is_willing = [&](const endpoint& node)
    {
        return !m_declined || m_declined->m_address != node || !is_valid(*m_declined, context);
    };
    const auto found = std::find_if(m_order.m_responsive.begin(), m_order.m_responsive.end(), is_willing);
    return found != m_order.m_responsive.end() ? *found : context.m_members.self();
}

std::uint64_t bucket_ownership::score(const endpoint& node) const
{
    return rendezvous_score(m_key, node.packed());
}

bool bucket_ownership::ranks_above(const endpoint& other, const ownership_context& context) const
{
    return context.m_members.is_leaving() || score(other) > score(context.m_members.self());
}

bucket_ownership::node_info bucket_ownership::info_of(const endpoint& node, const ownership_context& context)
{
    const peer_status* const member = context.m_members.find(node);
    return {node, member == nullptr ? 0 : member->m_incarnation, context.m_now + node_info_lifetime};
}

bool bucket_ownership::is_valid(const node_info& info, const ownership_context& context)
{
    const peer_status* const member = context.m_members.find(info.m_address);
    const bool is_replaced =
        member != nullptr && info.m_incarnation != 0 && member->m_incarnation != info.m_incarnation;
    const bool is_unresponsive = member != nullptr && member->m_is_unresponsive;
    return context.m_now < info.m_until && !is_replaced && !is_unresponsive;
}

const endpoint* bucket_ownership::valid_holder(const ownership_context& context)
{
    if (m_holder && !is_valid(*m_holder, context))
    {
        m_holder.reset();
    }
    return m_holder ? &m_holder->m_address : nullptr;
}

void bucket_ownership::set_holder(const endpoint& holder, const ownership_context& context)
{
    m_holder = info_of(holder, context);
    m_last_holder = holder;
}

void bucket_ownership::record_decline(const endpoint& sender, const ownership_context& context)
{
    // a node with a higher score gives up the bucket only when it is about to stop
    if (score(sender) > score(context.m_members.self()))
    {
        m_declined = info_of(sender, context);
    }
}

endpoint bucket_ownership::target(const ownership_context& context)
{
    if (m_bucket || m_search)
    {
        return context.m_members.self();
    }
    const endpoint* const holder = valid_holder(context);
    return holder != nullptr ? *holder : preferred_holder(context);
}

void bucket_ownership::update(const bucket_parameters& parameters, const ownership_context& context)
{
    const endpoint best = preferred_holder(context);
    if (best != context.m_members.self())
    {
        m_search.reset();
        if (m_bucket)
        {
            hand_over(best, 0, parameters, context);
        }
        return;
    }
    const bool may_begin = !context.m_members.is_leaving() && !m_bucket && !m_search;
    if (may_begin && valid_holder(context) == nullptr)
    {
        begin_search(context);
    }
    continue_search(context);
}

void bucket_ownership::begin_search(const ownership_context& context)
{
    m_search = bucket_search{++m_last_call, context.m_now, context.m_now, {}};
    if (m_last_holder)
    {
        ask(*m_last_holder, true, context);
    }
}

bool bucket_ownership::may_have_duplicate(const quota_members& members, time_point now) const
{
    return m_search && !is_confirmed(*m_search, members, now);
}

double bucket_ownership::usable_fraction(const quota_members& members, time_point now) const
{
    if (!may_have_duplicate(members, now))
    {
        return 1.0;
    }
    const bool have_answered = std::all_of(m_search->m_asked.begin(), m_search->m_asked.end(),
                                           [](const asked_node& each) { return each.m_has_answered; });
    return have_answered && !m_search->m_asked.empty() ? unconverged_fraction : unconfirmed_fraction;
}

void bucket_ownership::hand_over(const endpoint& receiver, std::uint64_t call,
                                 const bucket_parameters& parameters, const ownership_context& context)
{
    const double tokens = std::max(refilled(parameters, context.m_members, context.m_now).tokens(), 0.0);
    const bool is_authoritative = !may_have_duplicate(context.m_members, context.m_now);
    m_bucket.reset();
    m_search.reset();
    set_holder(receiver, context);
    context.m_messages.push_back(
        {receiver, bucket_reply{call, context.m_name, true, tokens, std::nullopt, is_authoritative}});
}

void bucket_ownership::ask(const endpoint& node, bool is_last_holder, const ownership_context& context)
{
    const bool is_known = std::any_of(m_search->m_asked.begin(), m_search->m_asked.end(),
                                      [&node](const asked_node& each) { return each.m_address == node; });
    if (node != context.m_members.self() && !is_known)
    {
        m_search->m_asked.push_back({node, false, false, is_last_holder, context.m_now});
        send_request(node, context);
    }
}

void bucket_ownership::send_request(const endpoint& node, const ownership_context& context) const
{
    context.m_messages.push_back({node, bucket_request{m_search->m_call, context.m_name}});
}

bool bucket_ownership::is_awaited(const asked_node& node, const ownership_context& context) const
{
    if (node.m_has_answered)
    {
        return false;
    }
    const duration passed = context.m_now - m_search->m_began;
    if (!is_responsive(node.m_address, context.m_members))
    {
        return passed < unresponsive_reply_timeout;
    }
    return node.m_is_last_holder || passed < reply_timeout;
}

bool bucket_ownership::is_responsive(const endpoint& node, const quota_members& members)
{
    const peer_status* const member = members.find(node);
    return member != nullptr && !member->m_is_unresponsive;
}

bool bucket_ownership::is_confirmed(const bucket_search& search, const quota_members& members, time_point now)
{
    const auto has_replied_or_failed = [&members, now](const asked_node& each)
    {
        const bool has_failed =
            !is_responsive(each.m_address, members) && now - each.m_last_responsive >= mutual_detection_time;
        return each.m_has_answered ? each.m_is_converged || members.is_converged() : has_failed;
    };
    const bool has_any_reply = std::any_of(search.m_asked.begin(), search.m_asked.end(),
                                           [](const asked_node& each) { return each.m_has_answered; });
    // a node that has just started may know too few others, but the nodes that it asked know more
    return (members.is_converged() || has_any_reply) &&
           std::all_of(search.m_asked.begin(), search.m_asked.end(), has_replied_or_failed);
}

void bucket_ownership::continue_search(const ownership_context& context)
{
    if (!m_search)
    {
        return;
    }
    update_order(context);
    for (const endpoint& node : m_order.m_responsive)
    {
        ask(node, false, context);
    }
    for (const endpoint& node : m_order.m_all)
    {
        ask(node, false, context);
    }
    std::vector<asked_node>& asked = m_search->m_asked;
    for (asked_node& each : asked)
    {
        each.m_last_responsive =
            is_responsive(each.m_address, context.m_members) ? context.m_now : each.m_last_responsive;
    }
    const bool is_waiting = std::any_of(asked.begin(), asked.end(),
                                        [&](const asked_node& each) { return is_awaited(each, context); });
    if (!m_bucket && !is_waiting)
    {
        m_bucket.emplace(0.0, context.m_now);
    }
    if (m_bucket && context.m_members.is_converged() &&
        is_confirmed(*m_search, context.m_members, context.m_now))
    {
        m_search.reset();
    }
}

void bucket_ownership::on_message(const endpoint& sender, const bucket_request& content,
                                  const bucket_parameters& parameters, const ownership_context& context)
{
    const bool is_better = ranks_above(sender, context);
    if (m_bucket && is_better)
    {
        hand_over(sender, content.m_call, parameters, context);
        return;
    }
    bucket_reply reply{
        content.m_call, context.m_name, false, 0.0, std::nullopt, context.m_members.is_converged()};
    if (m_bucket || (m_search && !is_better))
    {
        reply.m_holder = context.m_members.self();
    }
    else if (m_search)
    {
        // the other node has the higher score and should hold the bucket
        m_search.reset();
        set_holder(sender, context);
    }
    else if (const endpoint holder = target(context); holder != sender && holder != context.m_members.self())
    {
        reply.m_holder = holder;
    }
    context.m_messages.push_back({sender, std::move(reply)});
}

void bucket_ownership::on_message(const endpoint& sender, const bucket_reply& content,
                                  const bucket_parameters& parameters, const ownership_context& context)
{
    if (content.m_is_handed_over)
    {
        const double tokens = m_bucket ? std::min(m_bucket->tokens(), content.m_tokens) : content.m_tokens;
        if (!content.m_is_authoritative && !m_search)
        {
            begin_search(context);
        }
        else if (content.m_is_authoritative && !m_bucket)
        {
            m_search.reset();
        }
        m_holder.reset();
        m_bucket.emplace(std::clamp(tokens, 0.0, parameters.m_capacity), context.m_now);
        if (content.m_call == 0)
        {
            record_decline(sender, context);
        }
        update(parameters, context);
        return;
    }
    if (!m_search || m_search->m_call != content.m_call)
    {
        return;
    }
    std::vector<asked_node>& asked = m_search->m_asked;
    const auto answered = std::find_if(
        asked.begin(), asked.end(), [&sender](const asked_node& each) { return each.m_address == sender; });
    if (answered == asked.end())
    {
        return;
    }
    answered->m_has_answered = true;
    answered->m_is_converged = content.m_is_authoritative;
    if (content.m_holder && *content.m_holder == sender)
    {
        m_search.reset();
        if (m_bucket)
        {
            hand_over(sender, 0, parameters, context);
        }
        set_holder(sender, context);
        return;
    }
    if (content.m_holder)
    {
        ask(*content.m_holder, false, context);
    }
    continue_search(context);
}

void bucket_ownership::on_holder_hint(const endpoint& sender, const endpoint& holder,
                                      const ownership_context& context)
{
    if (m_bucket || m_search)
    {
        return;
    }
    if (holder != context.m_members.self())
    {
        set_holder(holder, context);
        return;
    }
    // the sender assumes that this node is the holder, so the sender isn't the holder itself
    m_holder.reset();
    record_decline(sender, context);
}

void bucket_ownership::on_tick(const bucket_parameters& parameters, const ownership_context& context)
{
    update(parameters, context);
    if (m_search && context.m_now - m_search->m_sent_at >= retry_period)
    {
        m_search->m_sent_at = context.m_now;
        for (const asked_node& node : m_search->m_asked)
        {
            if (!node.m_has_answered || !node.m_is_converged)
            {
                send_request(node.m_address, context);
            }
        }
    }
}

} // namespace teasellead
