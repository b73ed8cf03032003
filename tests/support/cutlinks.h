#pragma once

// Links from one daemon to endpoints and peers that a test can cut or redirect.
//
//   CutLinks links;
//   UpstreamPool pool(context, {}, cuttableDialer("127.3.4.5", links));
//   links.refusing = {"127.3.4.9:8080"};

#include "net/dialer.h"

#include <map>
#include <set>
#include <string>

namespace cicadafork::test {

/// Addresses to which no connection can be made. Open connections are the endpoint's matter.
struct CutLinks
{
    std::set<std::string> refusing;
    std::set<std::string> silent; ///< Connecting gets no answer.
    /// Connections to the key are made to another address.
    std::map<std::string, Address> redirected;
};

/// Connects from the local IP address, as long as the links exist. They must outlive the dialer.
Dialer cuttableDialer(const std::string &ip, const CutLinks &links);

} // namespace cicadafork::test
