#pragma once

#include <functional>
#include <string>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/runtime/deployment.hpp"
#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

/*!
@brief reloads the settings on a signal, and periodically because they may change without a signal

Settings that can't be changed while the node runs are only logged as needing a restart.
*/
class settings_reload
{
  public:
    /// applies settings and returns the names of those that were changed; empty if there are none
    using apply_function = std::function<std::string(const forwarding_settings&)>;

    /*!
    @brief creates an object; the referenced objects must outlive it

    @param[in] platform  adapter to the platform, which reads the settings
    @param[in] clock     clock of the period
    @param[in] log       receives a line for each change
    @param[in] apply     called with the settings after each read
    */
    settings_reload(const deployment& platform, const monotonic_clock& clock, request_log& log,
                    apply_function apply);

    /// reloads the settings and logs the outcome, also if nothing changed
    void on_signal();

    /// reloads the settings if the period has passed
    void on_tick();

  private:
    void read(bool is_requested);

    const deployment& m_platform;
    const monotonic_clock& m_clock;
    request_log& m_log;
    apply_function m_apply;
    bool m_needs_restart{false}; ///< whether changed settings take effect only after a restart
    time_point m_next_read;
};

} // namespace teasellead::runtime
