// Measures the cost of the document exchange in an emulated fleet: control messages, their bytes,
// platform calls, and the time until a change is in force on all nodes. Prints one line per run.
#include <algorithm>
#include <chrono>
#include <numeric>
#include <vector>

#include <fmt/format.h>

#include <trefoil/settings/option_set.hpp>

#include "document_fleet.hpp"

using namespace trefoil;

namespace {

struct bench_options {
    std::uint64_t nodes = 64;
    std::uint64_t domains = 4;
    std::uint64_t rows = 1000;
    std::uint64_t changes = 100;
    double changes_per_second = 0.16;
    double list_changes_per_second = 0;
    double loss = 0;
    std::uint64_t seed = 1;
    std::string strategy = "repair";
};

exchange_mechanisms mechanisms_of(const std::string& strategy) {
    exchange_mechanisms chosen;
    chosen.shared_reads = strategy != "all-read";
    chosen.push = strategy != "all-read" && strategy != "compare";
    chosen.anti_entropy = strategy != "all-read";
    chosen.deltas = strategy != "whole";
    chosen.pull = strategy != "all-read" && strategy != "push";
    if (strategy == "push") {
        chosen.anti_entropy = false;
    }
    return chosen;
}

class document_bench {
public:
    explicit document_bench(bench_options options)
        : options_(std::move(options)),
          site_(options_.nodes, options_.domains, mechanisms_of(options_.strategy), options_.seed) {
    }

    void run() {
        site_.publish_table(1, options_.rows);
        site_.fleet.publish_members();
        site_.time_to_all(60s);
        site_.run(30s);
        site_.fleet.network().control_loss = options_.loss;
        begin();
        for (std::uint64_t i = 0; i < options_.changes; ++i) {
            change(i);
        }
        print();
    }

private:
    void begin() {
        sent_ = site_.sent;
        sent_by_ = site_.sent_by;
        calls_ = site_.fleet.platform_calls();
        began_ = site_.fleet.clock().now();
        real_began_ = std::chrono::steady_clock::now();
    }

    void change(std::uint64_t number) {
        const auto gap = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / options_.changes_per_second));
        const auto end = site_.fleet.clock().now() + gap;
        site_.publish_table(number + 2, options_.rows);
        pending_list_changes_ += options_.list_changes_per_second / options_.changes_per_second;
        while (pending_list_changes_ >= 1) {
            pending_list_changes_ -= 1;
            const auto nodes = site_.fleet.instances();
            site_.fleet.publish_members({nodes[list_changes_++ % nodes.size()]});
        }
        const auto took = site_.time_to_all(gap);
        missed_ += site_.all_agree() ? 0 : 1;
        times_.push_back(took);
        site_.run(std::max(0us, end - site_.fleet.clock().now()));
    }

    void print() {
        const auto seconds = to_seconds(site_.fleet.clock().now() - began_);
        const auto nodes = static_cast<double>(options_.nodes);
        const auto real =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - real_began_).count();
        std::uint64_t max_bytes_sent = 0;
        for (const auto& [node, count] : site_.sent_by) {
            max_bytes_sent = std::max(max_bytes_sent, count.bytes - sent_by_[node].bytes);
        }
        std::sort(times_.begin(), times_.end());
        fmt::print("strategy={} nodes={} domains={} rows={} changes/s={} list/s={} loss={} "
                   "bytes/s/node={:.1f} messages/s/node={:.3f} most-bytes/s={:.1f} calls/s={:.2f} "
                   "all-p50-ms={:.0f} all-max-ms={:.0f} missed={} emulated-s={:.0f} "
                   "real-us/node/s={:.0f}\n",
                   options_.strategy, options_.nodes, options_.domains, options_.rows,
                   options_.changes_per_second, options_.list_changes_per_second, options_.loss,
                   static_cast<double>(site_.sent.bytes - sent_.bytes) / seconds / nodes,
                   static_cast<double>(site_.sent.messages - sent_.messages) / seconds / nodes,
                   static_cast<double>(max_bytes_sent) / seconds,
                   static_cast<double>(site_.fleet.platform_calls() - calls_) / seconds,
                   to_ms(times_[times_.size() / 2]), to_ms(times_.back()), missed_, seconds,
                   real * 1e6 / nodes / seconds);
    }

    bench_options options_;
    document_fleet site_;
    control_count sent_;
    std::map<instance_id, control_count> sent_by_;
    std::uint64_t calls_ = 0;
    time_point began_;
    std::chrono::steady_clock::time_point real_began_;
    std::vector<duration> times_;
    std::uint64_t missed_ = 0;
    double pending_list_changes_ = 0;
    std::uint64_t list_changes_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    bench_options bench;
    option_set options("document-bench",
                       "measures the cost of the document exchange in an emulated fleet");
    options.add_text("strategy", &bench.strategy,
                     "all-read, compare, whole, push or repair (delta push with repair)", false);
    options.add_count("nodes", &bench.nodes, 1, 100'000, "nodes", "number of nodes in the fleet");
    options.add_count("domains", &bench.domains, 1, 1000, "domains", "number of failure domains");
    options.add_count("rows", &bench.rows, 2, 10'000, "rows", "number of rows of the table");
    options.add_count("changes", &bench.changes, 1, 100'000, "changes",
                      "number of changes to publish");
    options.add_number("changes-per-second", &bench.changes_per_second, 0.001, 100, "changes/s",
                       "rate of changes of the table");
    options.add_number("list-changes-per-second", &bench.list_changes_per_second, 0, 100,
                       "changes/s", "rate of changes of the instance list");
    options.add_number("loss", &bench.loss, 0, 1, "share",
                       "fraction of control messages that are lost");
    options.add_count("seed", &bench.seed, 0, 1'000'000'000, "number", "seed of the run");
    const auto parsed = options.parse(argc, argv);
    if (!std::holds_alternative<run_program>(parsed)) {
        fmt::print("{}", options.help());
        return exit_bad_settings;
    }
    document_bench(bench).run();
    return 0;
}
