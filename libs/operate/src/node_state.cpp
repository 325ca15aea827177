#include <trefoil/operate/node_state.hpp>

#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <trefoil/base/error.hpp>

namespace trefoil {
namespace {

using json_object = google::protobuf::Struct;

/// Reads fields of a JSON object and records the name of the first missing one.
class field_reader {
public:
    explicit field_reader(const json_object& object) : object_(object) {}

    std::string text(const std::string& name) { return find(name).string_value(); }
    double number(const std::string& name) { return find(name).number_value(); }
    revision at(const std::string& name) { return {static_cast<std::uint64_t>(number(name))}; }
    const json_object& object(const std::string& name) { return find(name).struct_value(); }
    const std::string& missing() const { return missing_; }

private:
    const google::protobuf::Value& find(const std::string& name) {
        const auto found = object_.fields().find(name);
        if (found != object_.fields().end()) {
            return found->second;
        }
        if (missing_.empty()) {
            missing_ = name;
        }
        return google::protobuf::Value::default_instance();
    }

    const json_object& object_;
    std::string missing_;
};

document_state read_document(const json_object& object, std::string& missing) {
    field_reader fields(object);
    document_state state;
    state.held_revision = fields.at("revision");
    state.hash = fields.text("hash");
    state.in_force_seconds = fields.number("in_force_s");
    state.confirmed_seconds = fields.number("confirmed_s");
    state.source = fields.text("source");
    state.latest_known = fields.at("heard");
    if (missing.empty()) {
        missing = fields.missing();
    }
    return state;
}

/// Collects the latest known revision of one document over all nodes and each revision's hash.
class document_comparison {
public:
    void add(const document_state& state) {
        latest_ = std::max({latest_, state.held_revision, state.latest_known});
        hashes_.emplace(state.held_revision, state.hash);
    }

    std::uint64_t behind(const document_state& state) const {
        return latest_.value - state.held_revision.value;
    }

    bool differs(const document_state& state) const {
        return hashes_.at(state.held_revision) != state.hash;
    }

private:
    revision latest_;
    std::map<revision, std::string> hashes_;
};

std::string document_line(const node_state& node, std::string_view document,
                          const document_state& state, const document_comparison& all) {
    const auto mismatch = all.differs(state) ? ", differs from others at this revision" : "";
    if (state.held_revision.value == 0) {
        return fmt::format("{} ({}) {}: none, {} behind\n", node.instance, node.domain, document,
                           all.behind(state));
    }
    return fmt::format("{} ({}) {}: revision {} for {:.0f} s from {}, confirmed {:.0f} s ago, "
                       "{} behind{}\n",
                       node.instance, node.domain, document, state.held_revision.value,
                       state.in_force_seconds, state.source, state.confirmed_seconds,
                       all.behind(state), mismatch);
}

bool is_inconsistent(const document_state& state, const document_comparison& all) {
    return all.behind(state) > 0 || all.differs(state);
}

} // namespace

absl::StatusCode status_code(node_state_error) {
    return absl::StatusCode::kInvalidArgument;
}

std::string_view name_of(node_state_error failure) {
    return failure == node_state_error::no_json ? "no_json" : "field_missing";
}

absl::StatusOr<node_state> read_node_state(std::string_view page) {
    json_object object;
    const auto parsed =
        google::protobuf::util::JsonStringToMessage({page.data(), page.size()}, &object);
    if (!parsed.ok()) {
        return make_error(node_state_error::no_json, "the status page is not a JSON object");
    }
    field_reader fields(object);
    std::string missing;
    node_state state;
    state.instance = fields.text("instance");
    state.domain = fields.text("domain");
    state.table = read_document(fields.object("table"), missing);
    state.instances = read_document(fields.object("instances"), missing);
    if (!fields.missing().empty()) {
        missing = fields.missing();
    }
    if (!missing.empty()) {
        return make_error(node_state_error::field_missing,
                          fmt::format("the status page has no field {}", missing));
    }
    return state;
}

command_result compare_nodes(const std::vector<node_response>& nodes) {
    document_comparison tables;
    document_comparison lists;
    for (const auto& node : nodes) {
        if (node.state.ok()) {
            tables.add(node.state->table);
            lists.add(node.state->instances);
        }
    }
    command_result result;
    for (const auto& node : nodes) {
        if (!node.state.ok()) {
            result.text += fmt::format("{}: no state: {}\n", node.address,
                                       std::string(node.state.status().message()));
            result.exit_code = exit_findings;
            continue;
        }
        const auto& state = *node.state;
        result.text += document_line(state, "table", state.table, tables);
        result.text += document_line(state, "instances", state.instances, lists);
        if (is_inconsistent(state.table, tables) || is_inconsistent(state.instances, lists)) {
            result.exit_code = exit_findings;
        }
    }
    return result;
}

} // namespace trefoil
