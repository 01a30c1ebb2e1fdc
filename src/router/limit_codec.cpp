#include "router/limit_codec.h"

#include <cmath>

namespace kingcupseam::router {

std::vector<wire::UpstreamLimit> to_wire(const std::vector<limit_statement>& statements) {
    std::vector<wire::UpstreamLimit> result;
    result.reserve(statements.size());
    for (const auto& it : statements) {
        wire::UpstreamLimit out;
        out.upstream = it.upstream.id;
        out.upstream_started_ms = it.upstream.started_ms;
        if (it.max_rate) {
            out.__set_max_rate(*it.max_rate);
        }
        out.age_us = it.age.count();
        result.push_back(std::move(out));
    }
    return result;
}

std::vector<limit_statement> from_wire(const std::vector<wire::UpstreamLimit>& statements) {
    std::vector<limit_statement> result;
    result.reserve(statements.size());
    for (const auto& it : statements) {
        const bool usable = !it.__isset.max_rate || (std::isfinite(it.max_rate) && it.max_rate >= 0);
        if (usable && it.age_us >= 0) {
            result.push_back({{it.upstream, it.upstream_started_ms},
                              it.__isset.max_rate ? std::optional(it.max_rate) : std::nullopt,
                              duration(it.age_us)});
        }
    }
    return result;
}

} // namespace kingcupseam::router
