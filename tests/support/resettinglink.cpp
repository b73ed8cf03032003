#include "support/resettinglink.h"

#include <asio/write.hpp>

#include <string_view>

namespace cicadafork::test {

namespace {

asio::ip::tcp::endpoint toEndpoint(const Address &address)
{
    return {asio::ip::make_address_v4(address.ip), address.port};
}

} // namespace

ResettingLink::ResettingLink(asio::io_context &context, const Address &listen,
                             const Address &target)
    : context_(context)
    , address_(listen)
    , acceptor_(context, toEndpoint(listen))
    , target_(toEndpoint(target))
{
    acceptNext();
}

void ResettingLink::acceptNext()
{
    const auto connection = std::make_shared<Connection>(context_);
    acceptor_.async_accept(connection->request.source,
                           [this, connection](const asio::error_code &error) {
                               if (error)
                                   return;
                               asio::error_code refused;
                               connection->answer.source.connect(target_, refused);
                               if (!refused) {
                                   forward(connection, false);
                                   forward(connection, true);
                               }
                               acceptNext();
                           });
}

void ResettingLink::forward(const std::shared_ptr<Connection> &connection, bool answer)
{
    Direction &from = answer ? connection->answer : connection->request;
    Direction &to = answer ? connection->request : connection->answer;
    from.source.async_read_some(
            asio::buffer(from.buffer), [this, connection, answer, &from,
                                        &to](const asio::error_code &error, std::size_t count) {
                if (error) {
                    reset(*connection);
                    return;
                }
                std::string_view bytes(from.buffer.data(), count);
                to.seen.clear();
                const std::size_t before = from.seen.size();
                from.seen += bytes;
                const bool applies = point_ && point_->inAnswer == answer;
                const std::size_t at = applies ? from.seen.find(point_->after) : std::string::npos;
                if (at != std::string::npos) {
                    const std::size_t end = at + point_->after.size();
                    bytes = bytes.substr(0, end > before ? end - before : 0);
                }
                asio::error_code ignored;
                asio::write(to.source, asio::buffer(bytes), ignored);
                if (at == std::string::npos) {
                    forward(connection, answer);
                    return;
                }
                point_.reset();
                reset(*connection);
            });
}

void ResettingLink::reset(Connection &connection)
{
    for (auto *socket : {&connection.request.source, &connection.answer.source}) {
        asio::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

} // namespace cicadafork::test
