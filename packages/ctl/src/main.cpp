#include <iostream>

#include "teasellead/ctl/commands.hpp"

int main(int argc, char** argv)
{
    return static_cast<int>(teasellead::run_command_line({argv + 1, argv + argc}, std::cout, std::cerr));
}
