#pragma once

// Conversions between the wire messages and the plain values of the modules. Internal to peer.

#include "base/error.h"
#include "membership/digest.h"
#include "peer/peer.capnp.h"

#include <kj/exception.h>

namespace cicadafork {

void writeDigest(const Digest &digest, wire::Digest::Builder out);
Digest readDigest(wire::Digest::Reader in);

void writeReply(const DigestReply &reply, wire::DigestReply::Builder out);
DigestReply readReply(wire::DigestReply::Reader in);

void writeOutcome(const Expected<std::string> &outcome, wire::Outcome::Builder out);
Expected<std::string> readOutcome(wire::Outcome::Reader in);

inline kj::StringPtr toKj(const std::string &text)
{
    return kj::StringPtr(text.c_str(), text.size());
}

inline std::string fromKj(kj::StringPtr text)
{
    return std::string(text.begin(), text.size());
}

/// Fails the current call or connection unless the condition holds.
inline void require(bool condition, kj::StringPtr problem)
{
    if (!condition)
        kj::throwFatalException(
                kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(problem)));
}

/// OVERLOADED stands for a timeout, as in kj::Timer::timeoutAfter().
Error toError(const kj::Exception &exception, const std::string &peerId);

} // namespace cicadafork
