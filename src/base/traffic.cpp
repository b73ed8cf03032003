#include "base/traffic.h"

namespace cicadafork {

TrafficMeter makeTrafficMeter(Metrics &metrics, const std::string &kind)
{
    const auto bytes = [&](const char *direction) {
        return &metrics.counter("cicadafork_control_bytes_total",
                                "Bytes of the control plane on sockets, without TCP/IP headers",
                                {{"direction", direction}, {"kind", kind}});
    };
    return {bytes("sent"), bytes("received"),
            &metrics.counter("cicadafork_control_messages_total",
                             "Calls of the control plane that this daemon made", {{"kind", kind}})};
}

} // namespace cicadafork
