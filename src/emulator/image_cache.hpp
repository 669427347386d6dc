// A machine's images: fetched once for all tasks that wait, given up when nobody waits, least recently used
// ones dropped. Pure; times are passed in.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>

#include "emulator/random.hpp"

namespace hatchwind::emulator {

class ImageCache {
  public:
    ImageCache(double capacity_gb, double fetch_gb_per_s)
        : capacity_gb_(capacity_gb), fetch_gb_per_s_(fetch_gb_per_s) {}

    /// True when the image is there; marks it as used.
    bool use(const std::string& image);
    /// A task waits for the image; the fetch begins unless it is under way.
    void wait_for(const std::string& image, double size_gb, Micros now);
    bool is_fetching(const std::string& image) const { return fetches_.contains(image); }
    /// A task waits no longer; the fetch is given up with the last one.
    void give_up(const std::string& image, Micros now);
    /// Carries fetches on to `now`; images that are complete are in the cache afterwards.
    void advance(Micros now);
    /// When the next fetch will be complete; fetches under way share the rate.
    std::optional<Micros> next_complete() const;
    /// The machine did nothing up to `now`.
    void skip_to(Micros now) { advanced_to_ = now; }

  private:
    struct Fetch {
        double size_gb = 0;
        double left_gb = 0;
        std::size_t waiting = 0;
    };
    struct Cached {
        std::string image;
        double size_gb = 0;
    };
    void keep(const std::string& image, double size_gb);

    double capacity_gb_;
    double fetch_gb_per_s_;
    Micros advanced_to_{};
    std::map<std::string, Fetch> fetches_;
    std::list<Cached> cached_;  // the most recently used first
};

}  // namespace hatchwind::emulator
