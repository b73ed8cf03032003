#include "support/cutlinks.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <utility>

namespace cicadafork::test {

Dialer cuttableDialer(const std::string &ip, const CutLinks &links)
{
    return {[&links, direct = localDialer(ip)](asio::ip::tcp::socket &socket,
                                               const Address &address, Dialer::Done done) {
        const std::string target = toString(address);
        if (links.silent.contains(target))
            return;
        const auto other = links.redirected.find(target);
        if (links.refusing.contains(target))
            asio::post(socket.get_executor(),
                       [done = std::move(done)] { done(asio::error::connection_refused); });
        else
            direct.connect(socket, other == links.redirected.end() ? address : other->second,
                           std::move(done));
    }};
}

} // namespace cicadafork::test
