#include "settings/settings.h"

#include "settings/settingsreader.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork {

namespace {

constexpr Millis kClaimClockSkew{5000};
constexpr Millis kHour{3'600'000};
// Work must stop within 3 s of the first sign that an endpoint is leaving. 250 ms of that are
// reserved for the checks.
constexpr Millis kLongestSendPermission{2750};
// The permission to send must remain valid when one status response is lost.
constexpr int kStatusesPerPermission = 2;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= 64
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
              });
}

bool isSha256(const std::string &text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readName(SectionReader &root, const std::string &key, std::string &target,
              SettingsProblems &problems)
{
    root.text(key, target, Presence::Required);
    if (!target.empty() && !isName(target)) {
        problems.push_back({root.lineOf(key), fmt::format("'{}' is not a valid name", key),
                            "use up to 64 letters, digits, '-', '_' or '.'"});
    }
}

void readPlatform(SectionReader section, PlatformSettings &platform)
{
    section.address("log", platform.log, Presence::Required);
    section.address("vm_list", platform.vmList, Presence::Required);
    section.duration("request_timeout", platform.requestTimeout, Millis(10), Millis(60'000));
    section.duration("vm_list_interval", platform.vmListInterval, Millis(50), Millis(60'000));
    section.duration("log_retention", platform.logRetention, Millis(1000), 24 * 365 * kHour);
    section.reportUnknownKeys();
}

void readLimits(SectionReader section, LimitSettings &limits)
{
    section.size("max_streams", limits.maxStreams, 1, 100'000);
    section.size("max_requests", limits.maxRequests, 1, 1'000'000);
    section.size("max_queued", limits.maxQueued, 0, 1'000'000);
    section.size("max_body_bytes", limits.maxBodyBytes, 1024, std::size_t{1} << 30);
    section.fraction("retry_share", limits.retryShare, 0, 1);
    section.reportUnknownKeys();
}

void readTiming(SectionReader section, TimingSettings &timing, SettingsProblems &problems)
{
    section.duration("tick", timing.tick, Millis(1), Millis(1000));
    section.duration("status_interval", timing.statusInterval, Millis(10), Millis(60'000));
    section.duration("heartbeat_minimum", timing.heartbeatMinimum, Millis(10), Millis(60'000));
    section.duration("send_permission", timing.sendPermission, Millis(100), kLongestSendPermission);
    section.duration("claim_validity", timing.claimValidity, Millis(100), Millis(60'000));
    section.duration("deduplication_window", timing.deduplicationWindow, Millis(1000), 24 * kHour);
    section.duration("default_request_timeout", timing.defaultRequestTimeout, Millis(10),
                     24 * kHour);
    section.duration("max_request_timeout", timing.maxRequestTimeout, Millis(10), 24 * kHour);
    section.duration("hold_lifetime", timing.holdLifetime, Millis(100), kHour);
    section.reportUnknownKeys();

    if (timing.statusInterval * kStatusesPerPermission > timing.sendPermission) {
        problems.push_back({section.lineOf("status_interval"),
                            "'timing.status_interval' is more than half of "
                            "'timing.send_permission'",
                            "lower the interval so that one lost status does not stop sending"});
    }
    if (timing.defaultRequestTimeout > timing.maxRequestTimeout) {
        problems.push_back({section.lineOf("default_request_timeout"),
                            "'timing.default_request_timeout' is above "
                            "'timing.max_request_timeout'",
                            "lower the default or raise the maximum"});
    }
    if (timing.claimValidity >= timing.deduplicationWindow) {
        problems.push_back({section.lineOf("claim_validity"),
                            "'timing.claim_validity' is not below 'timing.deduplication_window'",
                            "lower the validity or raise the window"});
    }
}

void readRouting(SectionReader section, RoutingSettings &routing)
{
    section.choice("policy", routing.policy,
                   {{"adaptive", RoutingPolicy::Adaptive},
                    {"round_robin", RoutingPolicy::RoundRobin},
                    {"least_outstanding", RoutingPolicy::LeastOutstanding},
                    {"power_of_two", RoutingPolicy::PowerOfTwo}});
    section.choice("pool_mode", routing.poolMode,
                   {{"shared", PoolMode::Shared},
                    {"partitioned", PoolMode::Partitioned},
                    {"reserved_share", PoolMode::ReservedShare}});
    section.duration("queue_target", routing.queueTarget, Millis(1), Millis(60'000));
    section.reportUnknownKeys();
}

/// Reports addresses that are set for more than one key. Two servers cannot bind the same address,
/// and a daemon whose own address is set as a platform service would wait for itself.
void checkAddresses(const Settings &settings, const SectionReader &root, SettingsProblems &problems)
{
    const std::vector<std::pair<std::string, Address>> addresses
            = {{"caller_address", settings.callerAddress},
               {"peer_address", settings.peerAddress},
               {"platform.log", settings.platform.log},
               {"platform.vm_list", settings.platform.vmList}};
    for (std::size_t later = 1; later < addresses.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            if (addresses[later].second.port == 0 || addresses[later] == addresses[earlier]
                || addresses[later].second != addresses[earlier].second)
                continue;
            const std::string topKey
                    = addresses[later].first.substr(0, addresses[later].first.find('.'));
            problems.push_back(
                    {root.lineOf(topKey),
                     fmt::format("'{}' and '{}' are both {}", addresses[earlier].first,
                                 addresses[later].first, toString(addresses[later].second)),
                     "use a different address or port for each"});
        }
    }
}

/// The log must keep the claims of an idempotency key for as long as the key is valid; otherwise
/// the key could be claimed a second time. The clocks of callers may be ahead by the skew.
void checkRetention(const Settings &settings, const SectionReader &root, SettingsProblems &problems)
{
    const Millis needed = settings.timing.deduplicationWindow + kClaimClockSkew;
    if (settings.platform.logRetention > needed)
        return;
    problems.push_back({root.lineOf("platform"),
                        "'platform.log_retention' does not exceed 'timing.deduplication_window' "
                        "and the clock skew of 5 s",
                        "shorten the window, or raise the retention of the log and this value"});
}

Settings readSettings(const YAML::Node &document, SettingsProblems &problems,
                      std::vector<SettingDescription> *descriptions = nullptr)
{
    Settings settings;
    SectionReader root(document, "", 1, problems, descriptions);
    readName(root, "member_id", settings.memberId, problems);
    readName(root, "failure_domain", settings.failureDomain, problems);
    readName(root, "region", settings.region, problems);
    root.address("caller_address", settings.callerAddress, Presence::Required);
    root.address("peer_address", settings.peerAddress, Presence::Required);
    readPlatform(root.section("platform"), settings.platform);
    readLimits(root.section("limits"), settings.limits);
    readTiming(root.section("timing"), settings.timing, problems);
    readRouting(root.section("routing"), settings.routing);
    root.size("control_bytes_per_second", settings.controlBytesPerSecond, 1000, 1'000'000'000);
    root.text("operator_credential_sha256", settings.operatorCredentialSha256, Presence::Required);
    if (!settings.operatorCredentialSha256.empty()
        && !isSha256(settings.operatorCredentialSha256)) {
        problems.push_back({root.lineOf("operator_credential_sha256"),
                            "'operator_credential_sha256' is not a SHA-256 hash",
                            "write 64 lower-case hex digits, as sha256sum prints them"});
    }
    readLogLevel(root, settings.logLevel);
    root.reportUnknownKeys();
    checkAddresses(settings, root, problems);
    checkRetention(settings, root, problems);
    return settings;
}

} // namespace

Result<Settings> parseSettings(const std::string &text, const std::string &name)
{
    Settings settings;
    BOOST_LEAF_CHECK(
            readSettingsText(text, name, [&](const YAML::Node &node, SettingsProblems &problems) {
                settings = readSettings(node, problems);
            }));
    return settings;
}

std::vector<SettingDescription> describeSettings()
{
    SettingsProblems problems;
    std::vector<SettingDescription> descriptions;
    readSettings(YAML::Node(), problems, &descriptions);
    return descriptions;
}

std::string settingsTable(const std::vector<SettingDescription> &settings)
{
    std::string text;
    for (const SettingDescription &setting : settings) {
        text += fmt::format("| `{}` | {} | {} | {} |\n", setting.name, setting.unit, setting.range,
                            setting.defaultValue);
    }
    return text;
}

Result<Settings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, settingsFileText(path));
    return parseSettings(text, path);
}

} // namespace cicadafork
