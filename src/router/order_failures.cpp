#include "router/order_failures.h"

#include <spdlog/spdlog.h>

namespace kingcupseam::router {

void order_failures::add(const std::string& kind, const std::string& reason) {
    ++counts_[kind + "." + reason];
    registry_
        .counter_of("control_orders_failed_total",
                    "orders of upstreams and operators that were not carried out",
                    {{"kind", kind}, {"reason", reason}})
        .add();
}

void order_failures::log() {
    if (counts_.empty()) {
        return;
    }
    std::string text;
    for (const auto& [name, n] : counts_) {
        text.append(text.empty() ? "" : " ").append(name).append("=").append(std::to_string(n));
    }
    spdlog::info("orders failed {}", text);
    counts_.clear();
}

} // namespace kingcupseam::router
