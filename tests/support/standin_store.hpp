#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace test_support
{

namespace runtime = teasellead::runtime;

/// how the stand-in for the store replies
enum class store_mode
{
    up,
    refusing, ///< replies with 503
    silent    ///< sends no reply
};

/// stand-in for the platform's store: items with revisions that can be read in pages and watched for changes
class standin_store
{
    struct event
    {
        std::string m_key;
        std::string m_value;
        std::string m_text; ///< JSON text of the whole item; empty for an item as the store writes it
        bool m_is_removed{false};
        std::uint64_t m_revision{0};
    };

  public:
    standin_store(runtime::loop_thread& thread, const teasellead::endpoint& address);
    ~standin_store();
    standin_store(const standin_store&) = delete;
    standin_store& operator=(const standin_store&) = delete;

    /// writes an item and waits until it is written
    void put(const std::string& key, const std::string& value);

    /// writes an item that is listed, and sent to watches, as the given JSON text
    void put_text(const std::string& key, const std::string& item);

    /// removes an item
    void remove(const std::string& key);

    void set_mode(store_mode mode);

    /// sets the largest number of items of a page
    void set_page_size(std::size_t items);

    /// drops the history of changes; watches that need it get the reply 410
    void drop_history();

    /// all items with their revisions at a moment
    class backup
    {
        friend class standin_store;
        std::map<std::string, event> m_items;
        std::uint64_t m_revision{0};
    };

    [[nodiscard]] backup back_up();

    /*!
    @brief goes back to a backup: later changes are lost and their revisions are given out again

    The era in the header of all answers rises by one. Waiting watches get no answer.
    */
    void restore(const backup& earlier);

    /// number of calls so far
    [[nodiscard]] std::size_t calls() const noexcept
    {
        return m_calls.load();
    }

  private:
    struct waiting_watch
    {
        std::string m_prefix;
        std::uint64_t m_after{0};
        runtime::respond_function m_respond;
        std::shared_ptr<runtime::asio::steady_timer> m_timer;
    };

    runtime::disconnect_callback take(const runtime::http_request& request,
                                      const runtime::respond_function& respond);
    void change(const event& next);
    void answer_watches();
    /// sends a response with the era
    void respond(const runtime::respond_function& receiver, runtime::http_response response) const;
    [[nodiscard]] static std::string text_of(const event& item);
    [[nodiscard]] runtime::http_response range(const std::string& prefix, const std::string& after) const;
    [[nodiscard]] runtime::http_response events(const std::string& prefix, std::uint64_t after) const;

    runtime::loop_thread& m_thread;
    std::map<std::string, event> m_items;
    std::vector<event> m_history;
    std::size_t m_page_size{500};
    std::uint64_t m_revision{10};
    std::uint64_t m_history_from{10};
    std::uint64_t m_era{1};
    store_mode m_mode{store_mode::up};
    std::map<std::uint64_t, waiting_watch> m_watches;
    std::uint64_t m_last_watch{0};
    std::atomic<std::size_t> m_calls{0};
    std::unique_ptr<runtime::caller_server> m_server;
};

} // namespace test_support
