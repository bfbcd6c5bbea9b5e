#include "standin_store.hpp"

#include <algorithm>
#include <charconv>
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

/// decodes a value of a query as forms are encoded: `+` is a blank
std::string decoded(std::string_view text)
{
    constexpr std::size_t digits = 2;
    constexpr int hexadecimal = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned code = 0;
        const std::string_view rest = text.substr(i + 1, digits);
        const auto end = std::from_chars(rest.data(), rest.data() + rest.size(), code, hexadecimal).ptr;
        if (text[i] == '%' && rest.size() == digits && end == rest.data() + rest.size())
        {
            result.push_back(static_cast<char>(code));
            i += digits;
            continue;
        }
        result.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return result;
}

/// value of a parameter in the query of a target; a fragment isn't part of the query
std::string parameter(std::string_view target, const std::string& name)
{
    target = target.substr(0, target.find('#'));
    std::string_view query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty())
    {
        query.remove_prefix(1); // the question mark or ampersand
        const std::string_view pair = query.substr(0, query.find('&'));
        if (pair.starts_with(name + "="))
        {
            return decoded(pair.substr(name.size() + 1));
        }
        query.remove_prefix(pair.size());
    }
    return {};
}

/// JSON text of an item; bytes of its key that aren't UTF-8 are replaced
std::string item_text(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return json{{"key", key}, {"value", encode_base64(value)}, {"revision", revision}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::string joined(const std::vector<std::string>& texts)
{
    std::string result;
    for (const std::string& text : texts)
    {
        result += (result.empty() ? "" : ",") + text;
    }
    return result;
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
    m_thread.run([&] { change({key, value, {}, false, 0}); });
}

void standin_store::put_text(const std::string& key, const std::string& item)
{
    m_thread.run([&] { change({key, {}, item, false, 0}); });
}

void standin_store::remove(const std::string& key)
{
    m_thread.run([&] { change({key, {}, {}, true, 0}); });
}

void standin_store::set_page_size(std::size_t items)
{
    m_thread.run([&] { m_page_size = items; });
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

standin_store::backup standin_store::back_up()
{
    backup result;
    m_thread.run(
        [&]
        {
            result.m_items = m_items;
            result.m_revision = m_revision;
        });
    return result;
}

void standin_store::restore(const backup& earlier)
{
    m_thread.run(
        [&]
        {
            m_items = earlier.m_items;
            m_revision = earlier.m_revision;
            m_history.clear();
            m_history_from = m_revision;
            m_watches.clear();
            ++m_era;
        });
}

void standin_store::respond(const runtime::respond_function& receiver, http_response response) const
{
    response.m_fields.push_back({"Store-Era", std::to_string(m_era)});
    receiver(response);
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
        respond(watch.m_respond, events(watch.m_prefix, watch.m_after));
    }
}

std::string standin_store::text_of(const event& item)
{
    return item.m_text.empty() ? item_text(item.m_key, item.m_value, item.m_revision) : item.m_text;
}

http_response standin_store::range(const std::string& prefix, const std::string& after) const
{
    std::vector<std::string> items;
    auto next = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(std::max(prefix, after));
    while (next != m_items.end() && starts_with(next->first, prefix) && items.size() < m_page_size)
    {
        items.push_back(text_of(next->second));
        ++next;
    }
    const bool has_more = next != m_items.end() && starts_with(next->first, prefix);
    return {ok,
            {},
            R"({"items":[)" + joined(items) + R"(],"hasMore":)" + (has_more ? "true" : "false") +
                R"(,"asOf":)" + std::to_string(m_revision) + "}"};
}

http_response standin_store::events(const std::string& prefix, std::uint64_t after) const
{
    if (after < m_history_from || after > m_revision)
    {
        return {gone, {}, {}};
    }
    std::vector<std::string> found;
    for (const event& each : m_history)
    {
        if (each.m_revision <= after || !starts_with(each.m_key, prefix))
        {
            continue;
        }
        found.push_back(
            each.m_is_removed
                ? json{{"key", each.m_key}, {"revision", each.m_revision}, {"removed", true}}.dump()
                : text_of(each));
    }
    return {ok, {}, R"({"events":[)" + joined(found) + R"(],"asOf":)" + std::to_string(m_revision) + "}"};
}

runtime::disconnect_callback standin_store::take(const http_request& request,
                                                 const runtime::respond_function& receiver)
{
    ++m_calls;
    if (m_mode == store_mode::refusing)
    {
        respond(receiver, {unavailable, {}, {}});
        return {};
    }
    if (m_mode == store_mode::silent)
    {
        return {};
    }
    const std::string prefix = parameter(request.m_target, "prefix");
    if (starts_with(request.m_target, "/api/kv-range"))
    {
        respond(receiver, range(prefix, parameter(request.m_target, "after")));
        return {};
    }
    const std::uint64_t after = std::stoull(parameter(request.m_target, "after"));
    if (after != m_revision)
    {
        respond(receiver, events(prefix, after));
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
                respond(answer, response);
            }
        });
    m_watches.emplace(number, waiting_watch{prefix, after, receiver, timer});
    return [this, number]
    {
        m_watches.erase(number);
    };
}

} // namespace test_support
