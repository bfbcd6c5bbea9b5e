#include "detail/read_file.hpp"

#include <array>
#include <fstream>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead::detail
{

std::string read_file(const std::string& path)
{
    constexpr int unreadable_file_id = 205;
    constexpr std::size_t block_size = 65'536;
    std::ifstream file{path, std::ios::binary};
    std::string text;
    std::array<char, block_size> block{};
    do
    {
        file.read(block.data(), block.size());
        text.append(block.data(), static_cast<std::size_t>(file.gcount()));
    } while (file);
    // a directory can be opened, but reading it fails
    if (!file.is_open() || file.bad())
    {
        throw settings_error(unreadable_file_id, "file \"" + path + "\" can't be read");
    }
    return text;
}

} // namespace teasellead::detail
