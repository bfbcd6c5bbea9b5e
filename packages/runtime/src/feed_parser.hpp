#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace teasellead::runtime
{

/*!
@brief gives a parser what has arrived, as far as it takes it

@param[in,out] parser  a parser of requests or responses
@param[in,out] buffer  received bytes; those that were taken are removed

@return the error by which the message is malformed, or none
*/
template <class Parser>
boost::system::error_code feed_parser(Parser& parser, boost::beast::flat_buffer& buffer)
{
    boost::system::error_code error;
    while (buffer.size() > 0 && !parser.is_done())
    {
        const std::size_t used = parser.put(buffer.data(), error);
        buffer.consume(used);
        if (error == boost::beast::http::error::need_more)
        {
            return {};
        }
        if (error || used == 0)
        {
            return error;
        }
    }
    return {};
}

} // namespace teasellead::runtime
