#include "logservice/vmlist.h"

#include "http/client.h"

namespace cicadafork {

namespace {

std::optional<Address> readAddress(const nlohmann::json &row, const char *field)
{
    const std::string text = row.value(field, "");
    if (text.empty())
        return std::nullopt;
    auto address = capture([&] { return parseAddress(text); });
    return address ? std::optional<Address>(*address) : std::nullopt;
}

std::optional<VmRow> readRow(const nlohmann::json &row)
{
    VmRow vm;
    try {
        vm.id = row.at("id").get<std::string>();
        const auto kind = row.at("kind").get<std::string>();
        const auto state = row.at("state").get<std::string>();
        if (vm.id.empty() || (kind != "entry" && kind != "endpoint"))
            return std::nullopt;
        vm.kind = kind == "entry" ? VmKind::Entry : VmKind::Endpoint;
        vm.leaving = state != "live";
        vm.domain = row.at("domain").get<std::string>();
        vm.service = row.value("service", "");
        const auto address = readAddress(row, "address");
        if (!address)
            return std::nullopt;
        vm.address = *address;
        vm.peerAddress = readAddress(row, "peer_address");
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    if (vm.kind == VmKind::Entry && !vm.peerAddress)
        return std::nullopt;
    return vm;
}

} // namespace

Result<VmList> parseVmList(const nlohmann::json &body)
{
    const bool valid = body.is_object() && body.contains("version")
                       && body["version"].is_number_unsigned() && body.contains("vms")
                       && body["vms"].is_array();
    if (!valid) {
        return fail(ErrorCode::Unavailable, "VM list service returned a malformed list",
                    "check that the VM list address names the platform's VM list service");
    }
    VmList list;
    list.version = body["version"].get<std::uint64_t>();
    for (const auto &entry : body["vms"]) {
        if (auto row = readRow(entry))
            list.vms.push_back(std::move(*row));
        else
            ++list.skipped;
    }
    return list;
}

Result<VmList> HttpVmListClient::fetch(Millis timeout)
{
    constexpr int kStatusOk = 200;
    constexpr int kStatusNotModified = 304;
    httplib::Headers headers;
    {
        const std::lock_guard lock(mutex_);
        if (!validator_.empty())
            headers.emplace("If-None-Match", validator_);
    }
    BOOST_LEAF_AUTO(reply, httpGet(address_, "/vms", timeout, meter_, headers));
    const std::lock_guard lock(mutex_);
    if (reply.status == kStatusNotModified && !headers.empty())
        return newest_;
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    BOOST_LEAF_AUTO(list, parseVmList(reply.status == kStatusOk ? body : nlohmann::json()));
    const auto validator = reply.headers.find("ETag");
    validator_ = validator == reply.headers.end() ? std::string() : validator->second;
    newest_ = validator_.empty() ? VmList{} : list;
    return list;
}

} // namespace cicadafork
