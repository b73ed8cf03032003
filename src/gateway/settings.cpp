#include "gateway/settings.h"

#include "settings/settingsreader.h"

#include <fmt/format.h>
#include <sys/sysinfo.h>

#include <cmath>
#include <sstream>

namespace cicadafork::gateway {

namespace {

constexpr double kDaySeconds = 86'400;
// Parts of the memory. Answers take up to twice their room, as strings grow by doubling. The rest
// is for small bodies, buffers of connections and the process itself, which takes about 20 MB.
constexpr std::size_t kBodyShare = 2;
constexpr std::size_t kAnswerShare = 6;

void readSeconds(SectionReader &section, const std::string &key, Millis &target)
{
    double seconds = std::chrono::duration<double>(target).count();
    section.fraction(key, seconds, 0.1, kDaySeconds);
    target = Millis(std::llround(seconds * 1000));
}

/// Memory of the machine in bytes; 0 if it is not known.
std::size_t machineMemory()
{
    struct sysinfo info = {};
    return sysinfo(&info) == 0 ? static_cast<std::size_t>(info.totalram) * info.mem_unit : 0;
}

/// Reads seeds as a comma-separated list of IP:PORT and keeps the IP addresses only, since all
/// members use the same peer port.
void readSeeds(SectionReader &root, GatewaySettings &settings, SettingsProblems &problems)
{
    std::string text;
    root.text("seeds", text, Presence::Optional);
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
        if (item.empty() || item == "none")
            continue;
        const auto address = capture([&] { return parseAddress(item); });
        if (address)
            settings.seeds.push_back(address->ip);
        else
            problems.push_back({root.lineOf("seeds"),
                                fmt::format("'seeds' contains an invalid address: {}",
                                            address.error().message),
                                address.error().remedy});
    }
}

/// Reads the own region and those of the failure domains. Each of both gives the other for this
/// daemon if that one is absent. If they contradict each other, its region counts as unknown, so
/// that nothing is sent to a region by mistake, and requests without lists are served all the same.
void readRegions(SectionReader &root, GatewaySettings &settings)
{
    residency::RegionMap &regions = settings.regions;
    root.text("region", regions.own, Presence::MayBeEmpty);
    root.texts("failure_domain_regions", regions.byFailureDomain);
    const std::string ofDomain = regionOf(regions, settings.failureDomain);
    if (regions.own.empty())
        regions.own = ofDomain;
    if (regions.own.empty())
        return;
    if (ofDomain.empty() || ofDomain == regions.own) {
        regions.byFailureDomain[settings.failureDomain] = regions.own;
        return;
    }
    logEvent(LogLevel::Warning, "region_contradicted",
             {{"failure_domain", settings.failureDomain},
              {"region", regions.own},
              {"region_of_failure_domain", ofDomain}});
    regions.own.clear();
    regions.byFailureDomain.erase(settings.failureDomain);
}

GatewaySettings readSettings(const YAML::Node &document, SettingsProblems &problems)
{
    GatewaySettings settings;
    SectionReader root(document, "", 1, problems);
    root.text("member", settings.member, Presence::Required);
    root.text("failure_domain", settings.failureDomain, Presence::Required);
    readRegions(root, settings);
    root.address("caller_address", settings.callers, Presence::Required);
    root.address("readiness_address", settings.readiness, Presence::Required);
    root.address("control_address", settings.control, Presence::Required);
    root.address("peer_address", settings.peers, Presence::Required);
    root.address("store_address", settings.store, Presence::Required);
    readSeeds(root, settings, problems);
    SectionReader retries = root.section("retries");
    retries.fraction("share", settings.retries.share, 0, 10);
    retries.fraction("allowance", settings.retries.allowance, 0, 1e9);
    readSeconds(retries, "window_s", settings.retries.window);
    retries.reportUnknownKeys();
    readSeconds(root, "shutdown_grace_s", settings.shutdownGrace);
    root.size("max_descriptors", settings.maxDescriptors, 256, 10'000'000);
    constexpr std::size_t kMegabyte = 1024 * 1024;
    std::size_t memoryMegabytes = 0;
    root.size("memory_mb", memoryMegabytes, 0, 1'000'000);
    settings.memoryBytes = memoryMegabytes > 0 ? memoryMegabytes * kMegabyte : machineMemory();
    root.choice("prefix_placement", settings.prefixPlacement, {{"off", false}, {"on", true}});
    root.choice("queue_scope", settings.queueScope,
                {{"daemon", QueueScope::Daemon}, {"fleet", QueueScope::Fleet}});
    std::size_t metricsPort = settings.metricsPort;
    root.size("metrics_port", metricsPort, 0, 65'535);
    settings.metricsPort = static_cast<std::uint16_t>(metricsPort);
    readLogLevel(root, settings.logLevel);
    root.reportUnknownKeys();
    return settings;
}

} // namespace

std::size_t bodyRoomOf(const GatewaySettings &settings)
{
    return settings.memoryBytes / kBodyShare;
}

std::size_t answerRoomOf(const GatewaySettings &settings)
{
    return settings.memoryBytes / kAnswerShare;
}

Result<GatewaySettings> parseGatewaySettings(const std::string &text, const std::string &name)
{
    GatewaySettings settings;
    BOOST_LEAF_CHECK(
            readSettingsText(text, name, [&](const YAML::Node &node, SettingsProblems &problems) {
                settings = readSettings(node, problems);
            }));
    return settings;
}

Result<GatewaySettings> loadGatewaySettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, settingsFileText(path));
    return parseGatewaySettings(text, path);
}

} // namespace cicadafork::gateway
