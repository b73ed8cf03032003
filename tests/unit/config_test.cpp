#include "base/hash.h"
#include "config/codec.h"
#include "config/fold.h"

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

Command command(const std::string &id, CommandVerb verb, EntityKind kind, const std::string &entity,
                std::uint64_t base, std::map<std::string, std::string> fields = {})
{
    return {id, "operator", verb, kind, entity, std::move(fields), base, "text of " + id};
}

std::optional<Verdict> applyNext(Configuration &configuration, const nlohmann::json &data)
{
    return applyRecord(configuration, {configuration.nextOffset, fromEpoch(Millis(5)), data});
}

/// Workspace "w" at version 1, service "s" at version 2 and an intent for endpoint "e" at
/// version 3.
Configuration example()
{
    Configuration configuration;
    applyNext(configuration,
              encodeCommand(
                      command("c0", CommandVerb::Create, EntityKind::Workspace, "w", 0,
                              {{"credential_sha256", sha256Hex("secret")}, {"services", "s"}})));
    applyNext(configuration,
              encodeCommand(command("c1", CommandVerb::Create, EntityKind::Service, "s", 0,
                                    {{"models", "m1,m2"},
                                     {"adapters", "m1=a"},
                                     {"model_versions", "m1=7"},
                                     {"priority", "urgent"}})));
    applyNext(configuration, encodeCommand(command("c2", CommandVerb::Load, EntityKind::Endpoint,
                                                   "e", 0, {{"models", "m1:a@7"}})));
    return configuration;
}

} // namespace

TEST_GROUP(Config){};

// Guards against accepting a command that is based on an outdated version, and against applying
// invalid names or values.
TEST(Config, commandsAreCheckedForVersionNamesAndValues)
{
    using enum CommandVerb;
    using enum EntityKind;
    struct Case
    {
        const char *name;
        Command command;
        bool accepted;
        ErrorCode code;
        const char *inMessage;
    };
    const std::string hash = sha256Hex("other");
    const std::vector<Case> cases = {
            {"change at the current version", command("x", Change, Service, "s", 2), true, {}, ""},
            {"change at an old version", command("x", Change, Service, "s", 1), false,
             ErrorCode::Conflict, "version 2"},
            {"change without a version", command("x", Change, Service, "s", 0), false,
             ErrorCode::Conflict, "version 2"},
            {"create of an existing entity", command("x", Create, Service, "s", 0), false,
             ErrorCode::Conflict, "version 2"},
            {"create at the current version", command("x", Create, Service, "s", 2), false,
             ErrorCode::Conflict, "version 2"},
            {"create of a new service", command("x", Create, Service, "t", 0), true, {}, ""},
            {"change of a missing entity", command("x", Change, Service, "t", 0), false,
             ErrorCode::NotFound, "'t'"},
            {"stop of a missing service", command("x", Stop, Service, "t", 0), false,
             ErrorCode::NotFound, "'t'"},
            {"unknown field", command("x", Change, Service, "s", 2, {{"colour", "red"}}), false,
             ErrorCode::InvalidArgument, "colour"},
            {"bad priority", command("x", Change, Service, "s", 2, {{"priority", "high"}}), false,
             ErrorCode::InvalidArgument, "high"},
            {"bad model list", command("x", Change, Service, "s", 2, {{"models", "a,,b"}}), false,
             ErrorCode::InvalidArgument, "models"},
            {"bad pair", command("x", Change, Service, "s", 2, {{"adapters", "a"}}), false,
             ErrorCode::InvalidArgument, "adapters"},
            {"change of the kind", command("x", Change, Service, "s", 2, {{"kind", "plain"}}),
             false, ErrorCode::InvalidArgument, "kind"},
            {"empty list", command("x", Change, Service, "s", 2, {{"models", ""}}), true, {}, ""},
            {"bad id", command("x", Create, Service, "a b", 0), false, ErrorCode::InvalidArgument,
             "id"},
            {"workspace without credential", command("x", Create, Workspace, "v", 0), false,
             ErrorCode::InvalidArgument, "credential"},
            {"workspace",
             command("x", Create, Workspace, "v", 0, {{"credential_sha256", hash}}),
             true,
             {},
             ""},
            {"credential in use",
             command("x", Create, Workspace, "v", 0, {{"credential_sha256", sha256Hex("secret")}}),
             false, ErrorCode::InvalidArgument, "in use"},
            {"negative rate",
             command("x", Change, Workspace, "w", 1, {{"requests_per_second", "-1"}}), false,
             ErrorCode::InvalidArgument, "requests_per_second"},
            {"rate that is not a number",
             command("x", Change, Workspace, "w", 1, {{"requests_per_second", "nan"}}), false,
             ErrorCode::InvalidArgument, "requests_per_second"},
            {"share of zero", command("x", Change, Workspace, "w", 1, {{"share", "0"}}), false,
             ErrorCode::InvalidArgument, "share"},
            {"drain of a workspace", command("x", Drain, Workspace, "w", 1), false,
             ErrorCode::InvalidArgument, "workspace"},
            {"drain of a new endpoint", command("x", Drain, Endpoint, "f", 0), true, {}, ""},
            {"drain at an old version", command("x", Drain, Endpoint, "e", 0), false,
             ErrorCode::Conflict, "version 3"},
            {"role", command("x", Role, Endpoint, "e", 3, {{"role", "decode"}}), true, {}, ""},
            {"bad role", command("x", Role, Endpoint, "e", 3, {{"role", "chef"}}), false,
             ErrorCode::InvalidArgument, "chef"},
            {"load without models", command("x", Load, Endpoint, "e", 3), false,
             ErrorCode::InvalidArgument, "models"},
            {"create of an endpoint", command("x", Create, Endpoint, "g", 0), false,
             ErrorCode::InvalidArgument, "endpoint"},
    };
    for (const Case &c : cases) {
        Configuration configuration = example();
        const auto verdict = applyNext(configuration, encodeCommand(c.command));
        CHECK_TRUE_TEXT(verdict.has_value(), c.name);
        CHECK_EQUAL_TEXT(c.accepted, verdict->accepted, c.name);
        CHECK_EQUAL_TEXT(c.accepted ? 4U : verdict->version, verdict->version, c.name);
        CHECK_EQUAL_TEXT(4U, configuration.history.size(), c.name);
        CHECK_EQUAL_TEXT(c.accepted, configuration.history.back().accepted, c.name);
        if (!c.accepted) {
            CHECK_TRUE_TEXT(verdict->error.code == c.code, c.name);
            CHECK_TRUE_TEXT(verdict->error.message.find(c.inMessage) != std::string::npos, c.name);
            CHECK_FALSE_TEXT(verdict->error.remedy.empty(), c.name);
            Configuration before = example();
            before.nextOffset = configuration.nextOffset;
            before.history = configuration.history;
            CHECK_TRUE_TEXT(encodeSnapshot(before) == encodeSnapshot(configuration), c.name);
        }
    }
}

// Guards against an old software version that cannot read past the records of a newer one, and
// against applying a record twice.
TEST(Config, unknownOldAndRepeatedRecordsAreSkipped)
{
    struct Case
    {
        const char *name;
        std::string data;
    };
    const auto repeated
            = encodeCommand(command("c1", CommandVerb::Create, EntityKind::Service, "again", 0));
    const std::vector<Case> cases = {
            {"unknown type", R"({"type":"poem","lines":4})"},
            {"not an object", "7"},
            {"command without fields", R"({"type":"command"})"},
            {"unknown verb", R"({"type":"command","command_id":"x","verb":"paint"})"},
            {"command id seen before", repeated.dump()},
            {"snapshot", encodeSnapshot(Configuration{}).dump()},
    };
    for (const Case &c : cases) {
        Configuration configuration = example();
        CHECK_FALSE_TEXT(applyNext(configuration, nlohmann::json::parse(c.data)).has_value(),
                         c.name);
        Configuration expected = example();
        expected.nextOffset = 4;
        CHECK_TRUE_TEXT(encodeSnapshot(expected) == encodeSnapshot(configuration), c.name);
        const auto old = applyRecord(
                configuration,
                {1,
                 {},
                 encodeCommand(command("y", CommandVerb::Stop, EntityKind::Service, "s", 2))});
        CHECK_FALSE_TEXT(old.has_value(), c.name);
        CHECK_TRUE_TEXT(encodeSnapshot(expected) == encodeSnapshot(configuration), c.name);
    }
}

// Guards against state that is lost when a snapshot or an update is encoded and decoded.
TEST(Config, snapshotsAndUpdatesRoundTrip)
{
    const Configuration configuration = example();
    const auto decoded = decodeSnapshot(encodeSnapshot(configuration));
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(encodeSnapshot(*decoded) == encodeSnapshot(configuration));
    STRCMP_EQUAL("a", decoded->services.at("s").adapters.at("m1").c_str());
    CHECK_TRUE(decoded->services.at("s").priority == Priority::Urgent);

    ConfigUpdate update{configuration, {}};
    update.records.push_back({3, fromEpoch(Millis(9)), nlohmann::json::parse("[1]")});
    const auto received = capture([&] { return decodeUpdate(encodeUpdate(update)); });
    CHECK_TRUE(static_cast<bool>(received));
    CHECK_TRUE(encodeUpdate(*received) == encodeUpdate(update));
    for (const char *bad : {"", "[]", "{}", R"({"records":[{"offset":"x"}]})",
                            R"({"records":[],"snapshot":{"type":"snapshot"}})"}) {
        CHECK_FALSE_TEXT(static_cast<bool>(capture([&] { return decodeUpdate(bad); })), bad);
    }
}

// Guards against giving a workspace access to another workspace's service or to a stopped one.
TEST(Config, modelsAreFoundOnlyInServicesOfTheWorkspace)
{
    Configuration configuration = example();
    const Workspace *workspace = findWorkspaceByCredential(configuration, sha256Hex("secret"));
    CHECK_TRUE(workspace != nullptr);
    POINTERS_EQUAL(nullptr, findWorkspaceByCredential(configuration, sha256Hex("guess")));
    POINTERS_EQUAL(&configuration.services.at("s"),
                   findServiceForModel(configuration, *workspace, "m2"));
    POINTERS_EQUAL(nullptr, findServiceForModel(configuration, *workspace, "m3"));
    configuration.services.at("s").state = ServiceState::Draining;
    CHECK_TRUE(findServiceForModel(configuration, *workspace, "m2") != nullptr);
    configuration.services.at("s").state = ServiceState::Stopped;
    POINTERS_EQUAL(nullptr, findServiceForModel(configuration, *workspace, "m2"));
    configuration.services.at("s").state = ServiceState::Active;
    configuration.workspaces.at("w").services.clear();
    POINTERS_EQUAL(nullptr, findServiceForModel(configuration, *workspace, "m2"));
}
