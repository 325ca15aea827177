#include <csignal>

#include <fmt/format.h>

#include <trefoil/load/latency_compare.hpp>
#include <trefoil/settings/tool_main.hpp>

#include "commands.hpp"

namespace trefoil {

int compare_command(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::optional<endpoint> direct;
    std::optional<endpoint> through;
    compare_plan plan;
    option_set options("trefoil-load compare", "measures the latency that two nodes add");
    options.add_endpoint("direct", &direct, "address of the target", true);
    options.add_endpoint(
        "through", &through,
        "caller listener of a node; requests from it reach the target through a second node", true);
    options.add_text("service", &plan.service, "service of the target", true);
    options.add_count("pairs", &plan.pairs, 1, 1'000'000, "pairs", "number of pairs to send");
    options.add_number("rate", &plan.rate, 0.1, 100'000, "pairs/s", "pairs per second");
    return tool_main(options, argc, argv, [&](const run_program&) {
        plan.direct = *direct;
        plan.via_node = *through;
        fmt::print("{}", to_text(compare_latency(plan)));
        return 0;
    });
}

} // namespace trefoil
