#include "standin_store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace test_support
{

namespace
{

using nlohmann::json;
using runtime::http_request;
using runtime::http_response;
using std::chrono::milliseconds;

constexpr unsigned ok = 200;
constexpr unsigned gone = 410;
constexpr unsigned unavailable = 503;

std::string encode_base64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                      bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.find('\0'));
    return text;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto begin = target.find(name + "=");
    if (begin == std::string::npos)
    {
        return {};
    }
    const auto value = begin + name.size() + 1;
    return target.substr(value, target.find('&', value) - value);
}

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

standin_store::standin_store(runtime::loop_thread& thread, const teasellead::endpoint& address)
    : m_thread(thread)
{
    m_thread.run(
        [&]
        {
            m_server = std::make_unique<runtime::caller_server>(
                m_thread.loop(), address,
                [this](const http_request& request, const runtime::respond_function& respond)
                { return take(request, respond); });
        });
}

standin_store::~standin_store()
{
    m_thread.run(
        [this]
        {
            m_watches.clear();
            m_server.reset();
        });
}

void standin_store::put(const std::string& key, const std::string& value)
{
    m_thread.run([&] { change({key, value, false, 0}); });
}

void standin_store::remove(const std::string& key)
{
    m_thread.run([&] { change({key, {}, true, 0}); });
}

void standin_store::set_mode(store_mode mode)
{
    m_thread.run([&] { m_mode = mode; });
}

void standin_store::drop_history()
{
    m_thread.run(
        [this]
        {
            m_history.clear();
            m_history_from = m_revision;
        });
}

void standin_store::change(const event& next)
{
    event written = next;
    written.m_revision = ++m_revision;
    m_history.push_back(written);
    if (written.m_is_removed)
    {
        m_items.erase(written.m_key);
    }
    else
    {
        m_items[written.m_key] = written;
    }
    answer_watches();
}

void standin_store::answer_watches()
{
    if (m_mode != store_mode::up)
    {
        return;
    }
    const auto waiting = std::exchange(m_watches, {});
    for (const auto& [number, watch] : waiting)
    {
        watch.m_timer->cancel();
        watch.m_respond(events(watch.m_prefix, watch.m_after));
    }
}

http_response standin_store::range(const std::string& prefix) const
{
    json items = json::array();
    for (const auto& [key, item] : m_items)
    {
        if (starts_with(key, prefix))
        {
            items.push_back(
                {{"key", key}, {"value", encode_base64(item.m_value)}, {"revision", item.m_revision}});
        }
    }
    return {ok, {}, json{{"items", items}, {"hasMore", false}, {"asOf", m_revision}}.dump()};
}

http_response standin_store::events(const std::string& prefix, std::uint64_t after) const
{
    if (after < m_history_from)
    {
        return {gone, {}, {}};
    }
    json found = json::array();
    for (const event& each : m_history)
    {
        if (each.m_revision <= after || !starts_with(each.m_key, prefix))
        {
            continue;
        }
        if (each.m_is_removed)
        {
            found.push_back({{"key", each.m_key}, {"revision", each.m_revision}, {"removed", true}});
        }
        else
        {
            found.push_back(
                {{"key", each.m_key}, {"value", encode_base64(each.m_value)}, {"revision", each.m_revision}});
        }
    }
    return {ok, {}, json{{"events", found}, {"asOf", m_revision}}.dump()};
}

runtime::disconnect_callback standin_store::take(const http_request& request,
                                                 const runtime::respond_function& respond)
{
    ++m_calls;
    if (m_mode == store_mode::refusing)
    {
        respond({unavailable, {}, {}});
        return {};
    }
    if (m_mode == store_mode::silent)
    {
        return {};
    }
    const std::string prefix = parameter(request.m_target, "prefix");
    if (starts_with(request.m_target, "/api/kv-range"))
    {
        respond(range(prefix));
        return {};
    }
    const std::uint64_t after = std::stoull(parameter(request.m_target, "after"));
    if (after < m_revision)
    {
        respond(events(prefix, after));
        return {};
    }
    const std::uint64_t number = ++m_last_watch;
    const auto timer = std::make_shared<runtime::asio::steady_timer>(m_thread.loop());
    timer->expires_after(milliseconds{std::stoul(parameter(request.m_target, "waitMs"))});
    timer->async_wait(
        [this, number](const boost::system::error_code& error)
        {
            const auto found = error ? m_watches.end() : m_watches.find(number);
            if (found != m_watches.end() && m_mode == store_mode::up)
            {
                const auto answer = found->second.m_respond;
                const http_response response = events(found->second.m_prefix, found->second.m_after);
                m_watches.erase(found);
                answer(response);
            }
        });
    m_watches.emplace(number, waiting_watch{prefix, after, respond, timer});
    return [this, number]
    {
        m_watches.erase(number);
    };
}

} // namespace test_support
