// Measures the cost of control messages in real node processes: processor time and memory from
// /proc, bytes on the control sockets from `ss`, and the time until a change is in force in all of
// them. Settings come from the environment: NODES, DOMAINS, ROWS, CHANGES, GAP_MS, LISTED (members
// listed besides the running ones), STEADY_S. Prints one line; checks nothing.
#include <algorithm>
#include <chrono>
#include <sstream>

#include "process_site.hpp"

using namespace trefoil;

namespace {

std::uint64_t setting(const char* name, std::uint64_t default_value) {
    const auto* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

std::string table_text(std::uint64_t rows, std::uint64_t number) {
    std::string text = table_header;
    for (std::uint64_t i = 0; i + 1 < rows; ++i) {
        text += fmt::format("kind-{},service-{},GET,/v1/things/{}/*,5,1,1000,2,{},no,65536,99\n", i,
                            i % 1100, i, 100 + (i == number % rows ? number : 0));
    }
    return text + fmt::format("default,*,*,*,5,1,5000,2,{},no,65536,99\n", 100 + number);
}

std::string listed_members(std::uint64_t count) {
    std::string text;
    for (std::uint64_t i = 0; i < count; ++i) {
        text += fmt::format("listed-{:05},service-{:04},other-domain-{},region-{},10.{}.{}.{}:8000,"
                            "10.{}.{}.{}:8001,live\n",
                            i, i % 1100, i % 8, i % 4, i / 65536, i / 256 % 256, i % 256, i / 65536,
                            i / 256 % 256, i % 256);
    }
    return text;
}

/// Returns the user and system time of a process in seconds.
double processor_seconds(pid_t pid) {
    std::ifstream in(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::uint64_t memory_field(pid_t pid, const std::string& name) {
    std::ifstream in(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(name + ":")) {
            return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10);
        }
    }
    return 0;
}

/// Returns the bytes sent by all open sockets whose local or remote port is in the list.
std::uint64_t socket_bytes(const std::vector<std::uint16_t>& ports) {
    std::uint64_t sum = 0;
    bool has_port = false;
    auto* pipe = ::popen("ss -tniH state established", "r");
    std::string text;
    char buffer[4096];
    while (::fgets(buffer, sizeof(buffer), pipe) != nullptr) {
        std::string line(buffer);
        std::replace(line.begin(), line.end(), '\n', ' ');
        if (line[0] != '\t' && line[0] != ' ') {
            has_port = std::any_of(ports.begin(), ports.end(), [&](std::uint16_t port) {
                return line.find(fmt::format(":{} ", port)) != std::string::npos;
            });
        }
        const auto at = line.find("bytes_sent:");
        if (has_port && at != std::string::npos) {
            sum += std::strtoull(line.c_str() + at + std::strlen("bytes_sent:"), nullptr, 10);
        }
    }
    ::pclose(pipe);
    return sum;
}

struct control_bench : process_site {
    std::uint64_t nodes = setting("NODES", 16);
    std::uint64_t domains = setting("DOMAINS", 4);
    std::uint64_t rows = setting("ROWS", 1000);
    std::uint64_t changes = setting("CHANGES", 8);
    std::uint64_t change_interval_ms = setting("GAP_MS", 6250);
    std::uint64_t listed = setting("LISTED", 0);
    std::uint64_t steady_s = setting("STEADY_S", 10);
    std::vector<std::string> names;
    std::vector<std::uint16_t> ports;

    void begin() {
        set_other_members(listed_members(listed));
        for (std::uint64_t i = 0; i < nodes; ++i) {
            names.push_back(fmt::format("n{:03}", i));
            add({names.back(), fmt::format("s{}", i % 7), fmt::format("d{}", i % domains), ""});
            ports.push_back(address(names.back(), "control").port);
        }
        start_platform(table_text(rows, 0));
        for (const auto& name : names) {
            start_node(name);
        }
        wait_for_revision(1);
        sleep_for(steady_s * 1000);
    }

    void wait_for_revision(std::uint64_t revision) {
        const auto wanted = fmt::format(R"("table":{{"revision":{},)", revision);
        for (const auto& name : names) {
            wait_until([&] { return status_of(name).find(wanted) != std::string::npos; });
        }
    }

    void sleep_for(std::uint64_t ms) {
        ::usleep(static_cast<useconds_t>(ms * 1000));
        ::uv_run(uv_default_loop(), UV_RUN_NOWAIT);
    }

    double total_processor_seconds() {
        double sum = 0;
        for (const auto& name : names) {
            sum += processor_seconds(node(name).pid());
        }
        return sum;
    }

    /// Returns the protobuf bytes that all nodes have passed to the control channel.
    double message_bytes() {
        double sum = 0;
        for (const auto& name : names) {
            sum += metric(name, "trefoil_control_bytes_sent");
        }
        return sum;
    }

    double messages() {
        double sum = 0;
        for (const auto& name : names) {
            sum += metric(name, "trefoil_control_messages_sent");
        }
        return sum;
    }

    double metric(const std::string& name, const std::string& metric) {
        const auto page = metrics_of(name);
        const auto at = page.find("\n" + metric + " ");
        return at == std::string::npos
                   ? 0
                   : std::strtod(page.c_str() + at + metric.size() + 2, nullptr);
    }

    std::uint64_t calls() {
        auto answer = platform_calls();
        while (answer.empty()) {
            answer = platform_calls();
        }
        return std::strtoull(answer.c_str(), nullptr, 10);
    }

    void measure() {
        using clock = std::chrono::steady_clock;
        const auto seconds_between = [](clock::time_point from, clock::time_point to) {
            return std::chrono::duration<double>(to - from).count();
        };
        std::vector<double> times;
        const auto began = clock::now();
        const auto cpu = total_processor_seconds();
        const auto bytes = socket_bytes(ports);
        const auto first_message_bytes = message_bytes();
        const auto first_messages = messages();
        const auto first_calls = calls();
        for (std::uint64_t i = 0; i < changes; ++i) {
            const auto published = clock::now();
            publish("table", table_text(rows, i + 1));
            wait_for_revision(i + 2);
            times.push_back(seconds_between(published, clock::now()));
            const auto spent = static_cast<std::uint64_t>(times.back() * 1000);
            sleep_for(change_interval_ms > spent ? change_interval_ms - spent : 0);
        }
        if (changes == 0) {
            sleep_for(30'000);
        }
        const auto time = seconds_between(began, clock::now());
        const auto count = static_cast<double>(nodes);
        std::sort(times.begin(), times.end());
        std::uint64_t most_memory = 0;
        std::uint64_t all_memory = 0;
        for (const auto& name : names) {
            const auto kilobytes = memory_field(node(name).pid(), "VmRSS");
            most_memory = std::max(most_memory, kilobytes);
            all_memory += kilobytes;
        }
        fmt::print("nodes={} domains={} rows={} changes/s={:.3f} listed={} cpu-percent/node={:.4f} "
                   "socket-bytes/s/node={:.0f} message-bytes/s/node={:.0f} messages/s/node={:.2f} "
                   "calls/s={:.2f} rss-mean-kb={:.0f} rss-max-kb={} "
                   "threads={} in-all-p50-ms={:.0f} in-all-max-ms={:.0f}\n",
                   nodes, domains, rows, static_cast<double>(changes) / time, listed,
                   (total_processor_seconds() - cpu) / time / count * 100,
                   static_cast<double>(socket_bytes(ports) - bytes) / time / count,
                   (message_bytes() - first_message_bytes) / time / count,
                   (messages() - first_messages) / time / count,
                   static_cast<double>(calls() - first_calls) / time,
                   static_cast<double>(all_memory) / count, most_memory,
                   memory_field(node(names[0]).pid(), "Threads"),
                   times.empty() ? 0 : times[times.size() / 2] * 1000,
                   times.empty() ? 0 : times.back() * 1000);
    }
};

} // namespace

TEST_CASE("cost of control messages in real processes") {
    control_bench bench;
    bench.begin();
    bench.measure();
}
