// A fake of the platform's configuration service: serves reads and blocking queries over HTTP.
// Through a second listener, the test publishes documents, injects faults and reads the call count.
#include <charconv>
#include <csignal>
#include <list>
#include <map>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/base/read_file.hpp>
#include <trefoil/http/http_server.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

constexpr std::string_view key_prefix = "/v1/kv/";

struct platform_options {
    std::optional<endpoint> listen;
    std::optional<endpoint> operate;
    std::string table_file;
    std::string instances_file;
};

// Returns the number after `name=` in a query, or 0 if it is missing.
std::uint64_t query_number(std::string_view path, std::string_view name) {
    const auto at = path.find(fmt::format("{}=", name));
    if (at == std::string_view::npos) {
        return 0;
    }
    const auto digits = path.substr(at + name.size() + 1);
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

class fake_platform {
public:
    explicit fake_platform(platform_options options) : options_(std::move(options)) {}

    int run() {
        publish("table", read_file(options_.table_file).value());
        publish("instances", read_file(options_.instances_file).value());
        auto reads = http_server::listen(
            uv_default_loop(), *options_.listen, {},
            [this](exchange_id id, const http_request& request) { on_read(id, request); },
            [this](exchange_id id) {
                std::erase_if(pending_reads_,
                              [&](const pending_read& w) { return w.exchange == id; });
            });
        auto operations = http_server::listen(
            uv_default_loop(), *options_.operate, {},
            [this](exchange_id id, const http_request& request) { on_operation(id, request); },
            [](exchange_id) {});
        if (!reads.ok() || !operations.ok()) {
            fmt::print(stderr, "fake-platform: cannot listen on its addresses\n");
            return 1;
        }
        reads_ = *std::move(reads);
        operations_ = *std::move(operations);
        uv_timer_init(uv_default_loop(), &timer_);
        timer_.data = this;
        constexpr std::uint64_t tick_ms = 5;
        uv_timer_start(
            &timer_, [](uv_timer_t* timer) { static_cast<fake_platform*>(timer->data)->expire(); },
            tick_ms, tick_ms);
        return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
    }

private:
    struct document {
        std::uint64_t revision = 0;
        std::string text;
        std::string previous;
    };

    struct pending_read {
        exchange_id exchange = 0;
        std::string key;
        std::uint64_t after = 0;
        std::uint64_t expires_at_ms = 0;
    };

    void publish(const std::string& key, std::string text) {
        if (text.empty()) {
            return;
        }
        auto& entry = documents_[key];
        entry.previous = std::move(entry.text);
        entry.text = std::move(text);
        ++entry.revision;
    }

    void on_read(exchange_id id, const http_request& request) {
        ++calls_;
        const auto path = std::string_view(request.path);
        const auto key =
            std::string(path.substr(0, path.find('?')))
                .substr(std::min(key_prefix.size(), path.substr(0, path.find('?')).size()));
        const bool is_known = path.starts_with(key_prefix) && documents_.contains(key);
        if (request.method != "GET" || mode_ == "down") {
            reads_->respond(id, {mode_ == "down" ? 503 : 405, {}, ""});
        } else if (mode_ == "hang") {
            return;
        } else if (mode_ == "garbage") {
            reads_->respond(id, {200, {{"revision", "999999"}}, "\x01\x02 garbage"});
        } else if (!is_known) {
            reads_->respond(id, {404, {}, ""});
        } else {
            pending_reads_.push_back({id, key, query_number(path, "after"),
                                      uv_now(uv_default_loop()) + query_number(path, "wait")});
            expire();
        }
    }

    void expire() {
        const auto now = uv_now(uv_default_loop());
        for (auto at = pending_reads_.begin(); at != pending_reads_.end();) {
            const auto& entry = documents_[at->key];
            const bool is_stale = mode_ == "stale" && entry.revision > 1;
            const auto revision = is_stale ? entry.revision - 1 : entry.revision;
            if (revision > at->after) {
                reads_->respond(at->exchange, {200,
                                               {{"revision", std::to_string(revision)}},
                                               is_stale ? entry.previous : entry.text});
            } else if (now >= at->expires_at_ms) {
                reads_->respond(at->exchange, {304, {}, ""});
            } else {
                ++at;
                continue;
            }
            at = pending_reads_.erase(at);
        }
    }

    void on_operation(exchange_id id, const http_request& request) {
        const auto path = std::string_view(request.path);
        if (request.method == "PUT" && path.starts_with(key_prefix)) {
            publish(std::string(path.substr(key_prefix.size())), request.body);
            expire();
            operations_->respond(id, {204, {}, ""});
        } else if (path.starts_with("/mode/")) {
            mode_ = path.substr(std::string_view("/mode/").size());
            operations_->respond(id, {204, {}, ""});
        } else if (path == "/calls") {
            operations_->respond(id, {200, {}, fmt::format("{}\n", calls_)});
        } else {
            operations_->respond(id, {404, {}, ""});
        }
    }

    platform_options options_;
    std::map<std::string, document> documents_;
    std::list<pending_read> pending_reads_;
    std::string mode_ = "serving";
    std::uint64_t calls_ = 0;
    std::unique_ptr<http_server> reads_;
    std::unique_ptr<http_server> operations_;
    uv_timer_t timer_{};
};

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    platform_options platform;
    option_set options("fake-platform", "fake of the platform's configuration service");
    options.add_endpoint("listen", &platform.listen, "listener from which nodes read documents",
                         true);
    options.add_endpoint("operate", &platform.operate, "listener where a test publishes documents",
                         true);
    options.add_text("table", &platform.table_file, "file with the first table", false);
    options.add_text("instances", &platform.instances_file, "file with the first list", false);
    return tool_main(options, argc, argv,
                     [&](const run_program&) { return fake_platform(platform).run(); });
}
