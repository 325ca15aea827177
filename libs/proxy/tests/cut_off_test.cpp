// Tests of machines that were cut off from the registry while instances' entries lapsed.
#include <doctest/doctest.h>

#include "fleet_site.hpp"

using namespace trefoil;

namespace {

constexpr std::size_t leaving_instance = node_count - 1;
/// Long enough for the longest pauses and timeouts between attempts.
constexpr duration cut_time = 6s;
/// The nodes' ways come back one after the other, so that their attempts end at different times.
constexpr duration return_interval = 200ms;

} // namespace

TEST_CASE("an instance that left while its entry had lapsed is not used past the stable window") {
    fleet_site site(fleet_site::layout::own_domains);
    for (std::size_t node = 0; node < leaving_instance; ++node) {
        site.registry->set_mode(node, registry_mode::silent);
    }
    site.registry->remove_instance(leaving_instance);
    site.registry->forget_history();
    site.run_for(cut_time);
    std::vector<time_point> in_touch_at;
    for (std::size_t node = 0; node < leaving_instance; ++node) {
        site.registry->set_mode(node, registry_mode::serving);
        in_touch_at.push_back(http1::loop_time(&site.loop) + site.settings(node).stable_window);
        site.run_for(return_interval);
    }
    for (std::size_t node = 0; node < leaving_instance; ++node) {
        site.run_for(in_touch_at[node] - http1::loop_time(&site.loop));
        CHECK(site.instances_of(node) == node_count - 1);
    }
}

TEST_CASE("an instance that renews its entry soon after a cut is used all the while") {
    fleet_site site(fleet_site::layout::own_domains);
    site.registry->set_mode(0, registry_mode::silent);
    site.registry->remove_instance(leaving_instance);
    site.registry->forget_history();
    site.run_for(cut_time);
    site.registry->set_mode(0, registry_mode::serving);
    site.run_for(1500ms);
    site.registry->list_instance(leaving_instance);
    for (int i = 0; i < 25; ++i) {
        CHECK(site.instances_of(0) == node_count);
        site.run_for(100ms);
    }
}
