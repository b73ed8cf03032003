#include "soak/faults.h"

#include <algorithm>
#include <random>

namespace cicadafork::test {

namespace {

constexpr Millis kFirstFault{500};
constexpr Millis kLastFaults{200}; ///< Before the end.
constexpr Millis kRunsOut{2500};   ///< All faults have ended this long after the end.
constexpr std::size_t kMaxRolledDaemons = 20;
constexpr unsigned kScriptedBehaviours = 9; ///< Values of EndpointBehaviour.
constexpr unsigned kLinkFaults = 4;         ///< Values of LinkFault.

class Planner
{
public:
    explicit Planner(const SoakOptions &options)
        : options_(options)
        , random_(options.seed)
    {
    }

    std::vector<Fault> plan()
    {
        for (Millis at = kFirstFault; at < options_.length; at += between(200, 900))
            addSeries(at);
        std::erase_if(faults_, [&](const Fault &fault) {
            return fault.at >= options_.length - kLastFaults;
        });
        for (Fault &fault : faults_)
            fault.duration = std::min(fault.duration, options_.length + kRunsOut - fault.at);
        // A store that comes back older is the last fault, so that no later change of the
        // configuration hides a daemon that has missed one.
        add(FaultKind::ChangeConfiguration, options_.length - kLastFaults, 0);
        add(FaultKind::StoreOlder, options_.length - kLastFaults, 0, between(50, 150));
        faults_.back().age = between(500, 6000);
        std::ranges::stable_sort(faults_, {}, &Fault::at);
        return std::move(faults_);
    }

private:
    std::size_t pick(std::size_t count) { return random_() % count; }

    Millis between(unsigned least, unsigned most) { return Millis(least + pick(most - least + 1)); }

    void add(FaultKind kind, Millis at, std::size_t target, Millis duration = Millis(0))
    {
        faults_.push_back({kind, at, target, duration, Millis(0), Millis(0), Millis(0), {}, {}});
    }

    void addSeries(Millis at)
    {
        const std::size_t daemon = pick(options_.daemons);
        const std::size_t replica = pick(options_.replicas);
        switch (pick(15)) {
        case 0:
            for (std::size_t i = 0; i < std::min<std::size_t>(options_.daemons, kMaxRolledDaemons);
                 ++i, at += between(300, 1500))
                add(FaultKind::Terminate, at, (daemon + i) % options_.daemons, between(0, 300));
            break;
        case 1:
            for (std::size_t i = 3 + pick(3); i > 0; --i, at += between(400, 1200))
                add(FaultKind::Kill, at, daemon, between(50, 400));
            break;
        case 2:
            for (std::size_t i = 1 + pick(3); i > 0; --i, at += between(200, 2500))
                add(FaultKind::Freeze, at, pick(options_.daemons), between(900, 2500));
            break;
        case 3:
            for (std::size_t i = 2 + pick(4); i > 0; --i, at += between(50, 600))
                add(FaultKind::Hangup, at, pick(options_.daemons));
            break;
        case 4:
        case 5:
            for (std::size_t i = 5 + pick(20); i > 0; --i, at += between(5, 200))
                add(FaultKind::ChangeConfiguration, at, 0);
            break;
        case 6:
            for (std::size_t i = 1 + pick(3); i > 0; --i, at += between(400, 2500))
                add(FaultKind::StoreAway, at, 0, between(200, 2500));
            break;
        case 7:
            add(FaultKind::StoreOlder, at, 0, between(0, 1500));
            faults_.back().age = between(500, 6000);
            if (pick(2) == 0)
                faults_.back().writeAgainAfter = between(50, 1000);
            break;
        case 8:
        case 9:
            for (std::size_t i = 1 + pick(3); i > 0; --i, at += between(100, 1800))
                add(FaultKind::EndpointSilent, at, pick(options_.replicas), between(1000, 1600));
            break;
        case 10:
        case 11:
            for (std::size_t i = 1 + pick(4); i > 0; --i, at += between(50, 1500))
                addLinkFault(at);
            break;
        default:
            addEndpointFaults(at, replica);
            break;
        }
    }

    void addLinkFault(Millis at)
    {
        const std::size_t replica = pick(options_.replicas);
        if (hasLink(replica))
            add(FaultKind::EndpointLink, at, replica, between(0, 2500));
        else
            add(FaultKind::StoreLink, at, pick(options_.daemons), between(0, 2500));
        faults_.back().link = static_cast<LinkFault>(pick(kLinkFaults));
    }

    void addEndpointFaults(Millis at, std::size_t replica)
    {
        switch (pick(4)) {
        case 0:
            add(FaultKind::EndpointDraining, at, replica, between(300, 9000));
            break;
        case 1:
            add(FaultKind::EndpointLeaving, at, replica, between(300, 9000));
            break;
        case 2:
            add(FaultKind::EndpointQuiet, at, replica, between(100, 3000));
            faults_.back().quietFor = between(600, 4000);
            break;
        default:
            add(FaultKind::EndpointFaulty, at, replica);
            for (std::size_t i = 1 + pick(4); i > 0; --i)
                faults_.back().behaviours.push_back(
                        static_cast<unsigned>(pick(kScriptedBehaviours)));
            break;
        }
    }

    const SoakOptions &options_;
    std::mt19937_64 random_;
    std::vector<Fault> faults_;
};

} // namespace

std::vector<Fault> planFaults(const SoakOptions &options)
{
    return Planner(options).plan();
}

const char *toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Terminate:
        return "terminate";
    case FaultKind::Kill:
        return "kill";
    case FaultKind::Freeze:
        return "freeze";
    case FaultKind::Hangup:
        return "hangup";
    case FaultKind::StoreLink:
        return "store_link";
    case FaultKind::ChangeConfiguration:
        return "change_configuration";
    case FaultKind::StoreAway:
        return "store_away";
    case FaultKind::StoreOlder:
        return "store_older";
    case FaultKind::EndpointSilent:
        return "endpoint_silent";
    case FaultKind::EndpointFaulty:
        return "endpoint_faulty";
    case FaultKind::EndpointDraining:
        return "endpoint_draining";
    case FaultKind::EndpointLeaving:
        return "endpoint_leaving";
    case FaultKind::EndpointLink:
        return "endpoint_link";
    case FaultKind::EndpointQuiet:
        return "endpoint_quiet";
    }
    return "unknown";
}

} // namespace cicadafork::test
