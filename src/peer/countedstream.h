#pragma once

// A stream that counts its bytes. Internal to peer.
//
//   auto stream = kj::heap<CountedStream>(kj::mv(connected), meter);

#include "base/traffic.h"

#include <kj/async-io.h>

namespace cicadafork {

class CountedStream final : public kj::AsyncIoStream
{
public:
    CountedStream(kj::Own<kj::AsyncIoStream> inner, TrafficMeter meter)
        : inner_(kj::mv(inner))
        , meter_(meter)
    {
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minimum,
                                     std::size_t maximum) override
    {
        return inner_->tryRead(buffer, minimum, maximum).then([this](std::size_t bytes) {
            meter_.addReceived(bytes);
            return bytes;
        });
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        meter_.addSent(size);
        return inner_->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto &piece : pieces)
            meter_.addSent(piece.size());
        return inner_->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
    void shutdownWrite() override { inner_->shutdownWrite(); }
    void abortRead() override { inner_->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> inner_;
    const TrafficMeter meter_;
};

} // namespace cicadafork
