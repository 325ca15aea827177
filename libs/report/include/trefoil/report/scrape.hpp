// Scrapes of the /metrics pages of nodes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Counters of one kind of request, as seen by callers.
struct kind_counts {
    double offered = 0;
    double succeeded = 0;
    double not_run = 0;
    double unknown = 0;
    double retries = 0;

    friend bool operator==(const kind_counts&, const kind_counts&) = default;
};

/// Metrics of one node at one time. A failed read of a node yields no scrape.
struct scrape {
    /// Seconds since an origin that is common to all scrapes.
    double at = 0;
    std::string node;
    /// Counters with the label `place="edge"`, by kind.
    std::map<std::string, kind_counts> kinds;
    /// Number of refusals with any value of the label `place`, by "kind reason".
    std::map<std::string, double> refusals;
    /// Admission threshold.
    double threshold = 0;

    friend bool operator==(const scrape&, const scrape&) = default;
};

/// Parses the text of a /metrics page. Ignores unknown metrics. Returns no value if the page has no
/// metric whose name starts with `trefoil_`.
std::optional<scrape> parse_scrape(std::string_view text, std::string node, double at);

/// Scrapes that were read from a file.
struct saved_scrapes {
    std::vector<scrape> scrapes;
    /// Times of failed scrapes, by node.
    std::map<std::string, std::vector<double>> gaps;

    friend bool operator==(const saved_scrapes&, const saved_scrapes&) = default;
};

/// Parses the text of a file of saved scrapes. A line `# scrape NODE SECONDS` precedes each page. A
/// line `# scrape NODE SECONDS failed` marks a failed scrape.
saved_scrapes parse_saved_scrapes(std::string_view text);

} // namespace trefoil
