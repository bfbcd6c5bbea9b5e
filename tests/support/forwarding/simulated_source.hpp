#pragma once

#include <functional>
#include <memory>
#include <stdexcept>

#include "event_queue.hpp"
#include "simulated_store.hpp"

namespace teasellead::testing
{

/// environment of a simulated process
class process_place
{
  public:
    process_place() = default;
    process_place(const process_place&) = delete;
    process_place& operator=(const process_place&) = delete;
    virtual ~process_place() = default;

    /// whether the store is reachable now
    [[nodiscard]] virtual bool reaches_store() const = 0;

    /// runs an action now or, if the process is stalled, at the end of the stall
    virtual void when_awake(std::function<void()> action) = 0;
};

/// reads the simulated store as the platform's reader does: a listing, then watches
class simulated_source final : public runtime::publication_source
{
  public:
    simulated_source(event_queue& queue, simulated_store& store, process_place& place,
                     runtime::publication_sink& sink)
        : m_queue(queue), m_store(store), m_place(place), m_sink(sink)
    {
    }

    void start(const publication_position& known) override
    {
        if (!m_is_started)
        {
            m_is_started = true;
            m_known = known;
            ask();
        }
    }

    void stop() override
    {
        m_is_started = false;
        ++m_call;
    }

    [[nodiscard]] std::uint64_t calls() const noexcept override
    {
        return m_calls;
    }

  private:
    static constexpr duration one_way = std::chrono::milliseconds{3};
    static constexpr duration watch_time = std::chrono::milliseconds{1000};
    static constexpr duration watch_step = std::chrono::milliseconds{20};
    static constexpr duration answer_time = std::chrono::milliseconds{1200};
    static constexpr duration retry_pause = std::chrono::milliseconds{400};

    /// runs an action later, unless another call has begun or the source was destroyed
    void later(duration delay, std::function<void()> action)
    {
        m_queue.after(delay,
                      [this, alive = std::weak_ptr<int>{m_alive}, call = m_call, action = std::move(action)]
                      {
                          if (!alive.expired() && call == m_call)
                          {
                              action();
                          }
                      });
    }

    /// runs an action under the same conditions, once the process isn't stalled
    void later_here(duration delay, const std::function<void()>& action)
    {
        later(delay,
              [this, action]
              {
                  m_place.when_awake(
                      [this, alive = std::weak_ptr<int>{m_alive}, call = m_call, action]
                      {
                          if (!alive.expired() && call == m_call)
                          {
                              action();
                          }
                      });
              });
    }

    void ask()
    {
        ++m_call;
        ++m_calls;
        const time_point requested_at = m_queue.now();
        m_requested_at = requested_at;
        later_here(answer_time, [this] { fail(); });
        later(one_way, [this, requested_at] { at_store(requested_at); });
    }

    void at_store(time_point requested_at)
    {
        if (!m_place.reaches_store() || m_store.is_down())
        {
            return;
        }
        const auto changes = m_store.changes_after(m_known);
        const publication_position as_of = m_store.position();
        if (!m_known.has_items() || !changes)
        {
            answer(
                [this, items = m_store.listing(), as_of, requested_at] {
                    m_sink.on_listing(items, as_of, {requested_at, requested_at});
                },
                as_of);
            return;
        }
        if (changes->empty() && m_queue.now() < requested_at + watch_time)
        {
            later(watch_step, [this, requested_at] { at_store(requested_at); });
            return;
        }
        answer(
            [this, items = *changes, as_of, requested_at]
            {
                const time_point current_at = items.empty() ? requested_at + watch_time : requested_at;
                m_sink.on_changes(items, as_of, {requested_at, current_at});
            },
            as_of);
    }

    void answer(const std::function<void()>& deliver, const publication_position& as_of)
    {
        later_here(one_way,
                   [this, deliver, as_of]
                   {
                       if (!m_place.reaches_store())
                       {
                           return;
                       }
                       m_known = as_of;
                       if (!m_is_reachable)
                       {
                           m_is_reachable = true;
                           m_sink.on_source_regained(m_last_failed_call);
                       }
                       deliver();
                       if (m_is_started)
                       {
                           ask();
                       }
                   });
    }

    void fail()
    {
        ++m_call;
        m_last_failed_call = m_requested_at;
        if (m_is_reachable)
        {
            m_is_reachable = false;
            m_sink.on_source_lost("no answer", m_requested_at);
        }
        later_here(retry_pause, [this] { ask(); });
    }

    event_queue& m_queue;
    simulated_store& m_store;
    process_place& m_place;
    runtime::publication_sink& m_sink;
    std::shared_ptr<int> m_alive{std::make_shared<int>(0)};
    std::uint64_t m_call{0}; ///< current call; actions scheduled for other calls are ignored
    std::uint64_t m_calls{0};
    publication_position m_known;
    time_point m_requested_at{};     ///< when the current call was sent
    time_point m_last_failed_call{}; ///< when the last call without an answer was sent
    bool m_is_started{false};
    bool m_is_reachable{true};
};

/// a deployment on the simulated platform
class simulated_deployment final : public runtime::deployment
{
  public:
    simulated_deployment(runtime::forwarding_settings settings, event_queue& queue, simulated_store& store,
                         process_place& place)
        : m_settings(std::move(settings)), m_queue(queue), m_store(store), m_place(place)
    {
    }

    [[nodiscard]] const runtime::forwarding_settings& settings() const override
    {
        return m_settings;
    }

    [[nodiscard]] runtime::forwarding_settings read_settings() const override
    {
        return m_settings;
    }

    [[nodiscard]] const runtime::wire_protocol& protocol() const override
    {
        throw std::logic_error("a simulated node sends no bytes");
    }

    [[nodiscard]] runtime::publication decode(const published_item& item) const override
    {
        return m_store.meaning_of(item);
    }

    [[nodiscard]] std::unique_ptr<runtime::publication_source>
    make_source(runtime::asio::io_context&, const monotonic_clock&,
                runtime::publication_sink& sink) const override
    {
        return std::make_unique<simulated_source>(m_queue, m_store, m_place, sink);
    }

  private:
    runtime::forwarding_settings m_settings;
    event_queue& m_queue;
    simulated_store& m_store;
    process_place& m_place;
};

} // namespace teasellead::testing
