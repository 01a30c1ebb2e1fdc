#include <kingcupseam/directory.h>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupseam::directory {

namespace {

void validate_route(const route& wanted, const configuration& config) {
    if (wanted.attempts < 1) {
        throw invalid_configuration("route " + wanted.name + ": attempts must be at least 1");
    }
    double sum = 0;
    for (const auto& it : wanted.targets) {
        if (!config.services.contains(it.service)) {
            throw invalid_configuration("route " + wanted.name + ": unknown service " + it.service);
        }
        if (it.weight < 0) {
            throw invalid_configuration("route " + wanted.name + ": weight below 0 for " + it.service);
        }
        sum += it.weight;
    }
    if (sum <= 0) {
        throw invalid_configuration("route " + wanted.name + ": the weights add up to 0");
    }
}

} // namespace

void validate(const configuration& wanted) {
    std::set<std::pair<std::string, std::string>> matches;
    for (const auto& [name, it] : wanted.routes) {
        validate_route(it, wanted);
        if (!matches.emplace(it.host, it.path_prefix).second) {
            throw invalid_configuration("route " + name + ": another route has the same host and prefix");
        }
    }
}

route_index::route_index(std::shared_ptr<const configuration> source) : source_(std::move(source)) {
    if (!source_) {
        return;
    }
    for (const auto& [name, it] : source_->routes) {
        by_host_[it.host].push_back(&it);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
}

const route* route_index::match(std::string_view host, std::string_view path) const {
    const auto routes = by_host_.find(host);
    if (routes == by_host_.end()) {
        return nullptr;
    }
    const auto it = std::find_if(routes->second.begin(), routes->second.end(), [&](const route* candidate) {
        return path.starts_with(candidate->path_prefix);
    });
    return it == routes->second.end() ? nullptr : *it;
}

} // namespace kingcupseam::directory
