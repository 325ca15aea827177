// Checks, compares and explains tables, and queries nodes for the one in force.
#include <functional>
#include <map>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/error.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/base/read_file.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/operate/node_state.hpp>
#include <trefoil/operate/table_commands.hpp>
#include <trefoil/settings/option_set.hpp>

using namespace trefoil;

namespace {

constexpr std::string_view usage = "trefoil-table check FILE\n"
                                   "trefoil-table diff BEFORE AFTER\n"
                                   "trefoil-table explain --path PATH [--method METHOD] "
                                   "[--service SERVICE] FILE\n"
                                   "trefoil-table status ADMIN-ADDRESS...\n";

struct table_options {
    std::string service;
    std::string method = "GET";
    std::string path;
};

using arguments = std::vector<std::string>;

/// Reads all files and passes their contents to the command. Fails if a file can't be read.
command_result with_files(const arguments& paths,
                          const std::function<command_result(const arguments&)>& command) {
    arguments texts;
    for (const auto& path : paths) {
        auto text = read_file(path);
        if (!text) {
            return {exit_failed, fmt::format("{}: cannot read file\n", path)};
        }
        texts.push_back(*std::move(text));
    }
    return command(texts);
}

command_result query_nodes(const arguments& addresses) {
    uv_loop_t* loop = uv_default_loop();
    http_client client(loop);
    std::vector<node_response> nodes;
    std::size_t open = 0;
    for (const auto& address : addresses) {
        const auto where = parse_endpoint(address);
        nodes.push_back({address, where.ok() ? absl::UnavailableError("no answer")
                                             : absl::StatusOr<node_state>(where.status())});
        if (!where.ok()) {
            continue;
        }
        ++open;
        const http_request request{"GET", "/status", service_name(address), {}, "", "", ""};
        exchange_limits limits;
        limits.timeout = std::chrono::seconds(3);
        client.send(*where, request, limits, [&, i = nodes.size() - 1](exchange_result result) {
            --open;
            if (const auto* answer = std::get_if<http_answer>(&result)) {
                nodes[i].state = read_node_state(answer->body);
            }
        });
    }
    while (open > 0) {
        uv_run(loop, UV_RUN_ONCE);
    }
    return compare_nodes(nodes);
}

command_result run_command(const table_options& options, arguments operands) {
    const auto name = operands.empty() ? std::string() : operands.front();
    if (!operands.empty()) {
        operands.erase(operands.begin());
    }
    if (name == "check" && operands.size() == 1) {
        return with_files(
            operands, [&](const arguments& texts) { return check_table(operands[0], texts[0]); });
    }
    if (name == "diff" && operands.size() == 2) {
        return with_files(operands,
                          [](const arguments& texts) { return diff_tables(texts[0], texts[1]); });
    }
    if (name == "explain" && operands.size() == 1 && !options.path.empty()) {
        explain_query question{std::nullopt, options.method, options.path};
        if (!options.service.empty()) {
            question.service = service_name(options.service);
        }
        return with_files(operands,
                          [&](const arguments& texts) { return explain_call(texts[0], question); });
    }
    if (name == "status" && !operands.empty()) {
        return query_nodes(operands);
    }
    return {exit_failed, std::string(usage)};
}

} // namespace

int main(int argc, char** argv) {
    table_options chosen;
    option_set options("trefoil-table", "checks, compares and explains tables");
    options.add_text("service", &chosen.service, "service of the call to explain", false);
    options.add_text("method", &chosen.method, "method of the call to explain", false);
    options.add_text("path", &chosen.path, "path of the call to explain", false);
    return std::visit(overloaded{
                          [&](const run_program& run) {
                              const auto result = run_command(chosen, run.positional);
                              fmt::print("{}", result.text);
                              return result.exit_code;
                          },
                          [&](const show_help&) {
                              fmt::print("{}\n{}", usage, options.help());
                              return exit_success;
                          },
                          [](const show_version&) {
                              fmt::print("trefoil-table {}\n", program_version);
                              return exit_success;
                          },
                          [](const settings_refused& refused) {
                              for (const auto& error : refused.errors) {
                                  fmt::print(stderr, "{}\n", to_string(error));
                              }
                              return exit_bad_settings;
                          },
                      },
                      options.parse(argc, argv));
}
