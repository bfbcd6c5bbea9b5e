#include <cstdlib>
#include <iostream>
#include <new>
#include <string>

#include "support/known_fleet.hpp"

namespace
{

std::uint64_t allocated_bytes = 0;

} // namespace

// counts the bytes that the measured operations allocate
void* operator new(std::size_t size)
{
    allocated_bytes += size;
    void* const memory = std::malloc(size);
    if (memory == nullptr)
    {
        throw std::bad_alloc{};
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

// routing-probe plan|choice REPLICAS REPETITIONS: repeats an operation, for instruction counts; prints the
// bytes that each repetition allocates
int main(int argc, char** argv)
{
    using teasellead::bench::known_fleet;
    constexpr int expected_arguments = 4;
    if (argc != expected_arguments)
    {
        std::cerr << "usage: routing-probe plan|choice REPLICAS REPETITIONS\n";
        return 2;
    }
    const bool is_plan = std::string{argv[1]} == "plan";
    known_fleet fleet{static_cast<std::uint32_t>(std::stoul(argv[2]))};
    const unsigned long repetitions = std::stoul(argv[3]);
    bool is_whole = true;
    const std::uint64_t before = allocated_bytes;
    for (unsigned long repetition = 0; repetition < repetitions; ++repetition)
    {
        is_whole &=
            is_plan ? fleet.start_search() == known_fleet::shards_per_service : fleet.choose_replica();
    }
    std::cout << "bytes " << (repetitions == 0 ? 0 : (allocated_bytes - before) / repetitions) << '\n';
    return is_whole ? 0 : 1;
}
