#include "process_site.hpp"

using namespace trefoil;

namespace {

std::string table_with_max_in_flight(int limit) {
    return table_header + fmt::format("default,*,*,*,5,1,5000,2,{},no,65536,99\n", limit);
}

// Six nodes in three failure domains, without targets.
struct three_domains : process_site {
    std::vector<std::string> names;

    three_domains() {
        for (int i = 0; i < 6; ++i) {
            names.push_back(fmt::format("n{}", i));
            add({names.back(), "s", fmt::format("d{}", i % 3), ""});
        }
        start_platform(table_with_max_in_flight(100));
        for (const auto& name : names) {
            start_node(name);
        }
        wait_for_table(1);
    }

    bool has_table(const std::string& name, int revision) {
        return status_of(name).find(fmt::format(R"("table":{{"revision":{},)", revision)) !=
               std::string::npos;
    }

    void wait_for_table(int revision) {
        for (const auto& name : names) {
            wait_until([&] { return has_table(name, revision); });
        }
    }
};

} // namespace

TEST_CASE("a document change takes effect in every failure domain, a rejected one in none") {
    three_domains site;
    site.publish("table", table_with_max_in_flight(99));
    site.wait_for_table(2);
    site.publish("table", "no table");
    site.publish("table", table_with_max_in_flight(98));
    site.wait_for_table(4);
    for (const auto& name : site.names) {
        const auto log = site.log_of(name);
        CHECK(log.find("document_accepted document=table revision=4") != std::string::npos);
        CHECK(log.find("document_accepted document=table revision=3") == std::string::npos);
    }
}

TEST_CASE("a node that starts while the platform is down gets the documents of its neighbours") {
    three_domains site;
    site.publish("table", table_with_max_in_flight(99));
    site.wait_for_table(2);
    site.set_platform_mode("down");
    site.node("n0").signal(SIGKILL);
    site.node("n0").wait();
    site.start_node("n0");
    site.wait_until([&] { return site.has_table("n0", 2); });
    site.wait_until(
        [&] { return site.status_of("n0").find(R"("members":6)") != std::string::npos; });
}
