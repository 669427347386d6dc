#include "emulator/image_cache.hpp"

#include <algorithm>

namespace hatchwind::emulator {

namespace {
constexpr double complete_gb = 1e-9;
}

bool ImageCache::use(const std::string& image) {
    const auto found = std::find_if(cached_.begin(), cached_.end(),
                                    [&](const Cached& cached) { return cached.image == image; });
    if (found == cached_.end()) return false;
    cached_.splice(cached_.begin(), cached_, found);
    return true;
}

void ImageCache::wait_for(const std::string& image, double size_gb, Micros now) {
    advance(now);
    Fetch& fetch = fetches_[image];
    if (fetch.waiting == 0) fetch = {size_gb, size_gb, 0};
    ++fetch.waiting;
}

void ImageCache::give_up(const std::string& image, Micros now) {
    advance(now);
    const auto found = fetches_.find(image);
    if (found != fetches_.end() && --found->second.waiting == 0) fetches_.erase(found);
}

void ImageCache::advance(Micros now) {
    while (advanced_to_ < now && !fetches_.empty()) {
        const Micros until = std::min(now, next_complete().value_or(now));
        const double rate = fetch_gb_per_s_ / static_cast<double>(fetches_.size());
        const double done_gb = to_seconds(until - advanced_to_) * rate;
        advanced_to_ = until;
        for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
            fetch->second.left_gb -= done_gb;
            if (fetch->second.left_gb > complete_gb) {
                ++fetch;
                continue;
            }
            keep(fetch->first, fetch->second.size_gb);
            fetch = fetches_.erase(fetch);
        }
    }
    advanced_to_ = std::max(advanced_to_, now);
}

std::optional<Micros> ImageCache::next_complete() const {
    std::optional<double> least_gb;
    for (const auto& [image, fetch] : fetches_)
        least_gb = std::min(least_gb.value_or(fetch.left_gb), fetch.left_gb);
    if (!least_gb) return std::nullopt;
    const double rate = fetch_gb_per_s_ / static_cast<double>(fetches_.size());
    // Rounded up, so that the fetch is complete by then.
    return advanced_to_ + from_seconds(std::max(*least_gb, 0.0) / rate) + Micros{1};
}

void ImageCache::keep(const std::string& image, double size_gb) {
    cached_.push_front({image, size_gb});
    double total_gb = 0;
    for (const Cached& cached : cached_) total_gb += cached.size_gb;
    while (total_gb > capacity_gb_ && cached_.size() > 1) {
        total_gb -= cached_.back().size_gb;
        cached_.pop_back();
    }
}

}  // namespace hatchwind::emulator
