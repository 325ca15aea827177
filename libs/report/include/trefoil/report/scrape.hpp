// One reading of a node's /metrics page.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Counters of one kind of request, as callers saw it.
struct kind_counts {
    double offered = 0;
    double succeeded = 0;
    double not_run = 0;
    double unknown = 0;
    double retries = 0;

    friend bool operator==(const kind_counts&, const kind_counts&) = default;
};

/// What one node showed at one time. A node that could not be read has no scrape at all.
struct scrape {
    /// Seconds since an origin that all scrapes share.
    double at = 0;
    std::string node;
    /// Counters of the place `edge` by kind.
    std::map<std::string, kind_counts> kinds;
    /// Refusals of all places, by "kind reason".
    std::map<std::string, double> refusals;
    double threshold = 0;

    friend bool operator==(const scrape&, const scrape&) = default;
};

/// Reads the text of a /metrics page. Lines that it does not know are passed over; nothing if there
/// is no line of this system.
std::optional<scrape> parse_scrape(std::string_view text, std::string node, double at);

/// Reads a file of saved scrapes: before each page a line `# scrape NODE SECONDS`; a line
/// `# scrape NODE SECONDS failed` stands for one that failed.
struct saved_scrapes {
    std::vector<scrape> scrapes;
    /// Times of failed readings, by node.
    std::map<std::string, std::vector<double>> gaps;

    friend bool operator==(const saved_scrapes&, const saved_scrapes&) = default;
};

saved_scrapes parse_saved_scrapes(std::string_view text);

} // namespace trefoil
