#pragma once

#include <stdexcept>
#include <string>

namespace teasellead
{

/*!
@brief base of all errors that this project throws

The message has the form `[teasellead.<family>.<id>] <text>`. Ids are stable: 2xx settings, 3xx services
text, 4xx transport, 5xx protocol, 6xx state.
*/
class exception : public std::runtime_error
{
  public:
    /*!
    @brief creates an error

    @param[in] family  lower-case name of the error family
    @param[in] id      numeric id of the error
    @param[in] text    description of the error, with the values that caused it
    */
    exception(const std::string& family, int id, const std::string& text)
        : std::runtime_error("[teasellead." + family + "." + std::to_string(id) + "] " + text), m_id(id)
    {
    }

    /// numeric id of the error
    [[nodiscard]] int id() const noexcept
    {
        return m_id;
    }

  private:
    int m_id;
};

/// a flag or environment variable is unknown, missing or out of range (2xx)
class settings_error : public exception
{
  public:
    settings_error(int id, const std::string& text) : exception("settings", id, text)
    {
    }
};

/// the services text was rejected (3xx)
class config_error : public exception
{
  public:
    /*!
    @brief creates an error about one line of the services text

    @param[in] id    numeric id of the error
    @param[in] line  line of the text, from 1; 0 if the error concerns the whole text
    @param[in] text  description of the error
    */
    config_error(int id, unsigned line, const std::string& text)
        : exception("config", id, line == 0 ? text : "line " + std::to_string(line) + ": " + text),
          m_line(line)
    {
    }

    /// line of the text, from 1; 0 if the error concerns the whole text
    [[nodiscard]] unsigned line() const noexcept
    {
        return m_line;
    }

  private:
    unsigned m_line;
};

/// a socket, HTTP or messaging operation failed (4xx)
class transport_error : public exception
{
  public:
    transport_error(int id, const std::string& text) : exception("transport", id, text)
    {
    }
};

/// a message of another process violates its protocol (5xx)
class protocol_error : public exception
{
  public:
    protocol_error(int id, const std::string& text) : exception("protocol", id, text)
    {
    }
};

/// an operation isn't allowed in the current state (6xx)
class state_error : public exception
{
  public:
    state_error(int id, const std::string& text) : exception("state", id, text)
    {
    }
};

} // namespace teasellead
