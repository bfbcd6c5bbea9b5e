#include <ostream>

#include "detail/read_file.hpp"
#include "teasellead/ctl/commands.hpp"
#include "teasellead/ctl/replay.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

bool replay_file(const std::string& path, std::ostream& output)
{
    const std::string text = detail::read_file(path);
    try
    {
        const replay_result result = replay_trace(text);
        const bool has_passed = result.m_differences.empty();
        output << (has_passed ? "passed " : "failed ") << path << ": " << result.m_checked << " outcomes, "
               << result.m_differences.size() << " differ\n";
        for (const trace_difference& difference : result.m_differences)
        {
            output << "  line " << difference.m_line << "\n    expected " << difference.m_expected
                   << "\n    actual   " << difference.m_actual << '\n';
        }
        return has_passed;
    }
    catch (const protocol_error& error)
    {
        output << "failed " << path << ": " << error.what() << '\n';
        return false;
    }
}

} // namespace

exit_code run_replay(const command_arguments& arguments, std::ostream& output)
{
    bool has_passed = true;
    for (const std::string& path : arguments)
    {
        has_passed = replay_file(path, output) && has_passed;
    }
    return has_passed ? exit_code::ok : exit_code::failure;
}

} // namespace teasellead
