#pragma once

namespace teasellead
{

/*!
@brief visitor composed of lambdas, one for each alternative of a `std::variant`

If an alternative is added to the variant, visitors that don't handle it no longer compile.
*/
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace teasellead
