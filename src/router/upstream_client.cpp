#include "router/upstream_client.h"

#include "router/upstream_connection.h"

#include <algorithm>

namespace kingcupseam::router {

namespace {

constexpr std::chrono::seconds sweep_interval{1};

} // namespace

upstream_client::upstream_client(asio::io_context& context, upstream_client_options settings)
    : context_(context), settings_(std::move(settings)), sweep_timer_(context) {}

upstream_client::~upstream_client() {
    for (const auto& [id, it] : active_) {
        it->reset();
    }
    for (const auto& [target, connections] : idle_) {
        for (const auto& it : connections) {
            it->reset();
        }
    }
}

std::uint64_t upstream_client::send(exchange request, on_end done) {
    const std::uint64_t id = next_id_++;
    auto connection = request.new_connection ? nullptr : take_idle(request);
    if (!connection) {
        ++opened_;
        connection = std::make_shared<upstream_connection>(*this, context_, request.target, opened_);
    }
    active_.emplace(id, connection);
    connection->start(id, std::move(request), std::move(done));
    return id;
}

void upstream_client::cancel(std::uint64_t id) {
    const auto it = active_.find(id);
    if (it != active_.end()) {
        it->second->reset();
        active_.erase(it);
    }
}

void upstream_client::close_idle(const endpoint_address& target) {
    const auto it = idle_.find(target);
    if (it == idle_.end()) {
        return;
    }
    for (const auto& connection : it->second) {
        connection->reset();
    }
    idle_.erase(it);
}

upstream_client::connection_ptr upstream_client::take_idle(const exchange& request) {
    const auto found = idle_.find(request.target);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto& excluded = request.excluded_connections;
    const time_point now = steady_now();
    for (std::size_t i = connections.size(); i-- > 0;) {
        auto candidate = connections[i];
        if (candidate->open() && now < candidate->idle_until() && candidate->quiet()) {
            if (now - candidate->idle_since() > request.max_idle) {
                return nullptr; // the remaining connections have been idle even longer
            }
            if (std::find(excluded.begin(), excluded.end(), candidate->number()) != excluded.end()) {
                continue;
            }
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
            return candidate;
        }
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
        candidate->reset();
    }
    return nullptr;
}

void upstream_client::on_buffered(std::ptrdiff_t bytes) {
    buffered_bytes_ += bytes;
    if (buffered_bytes_ <= static_cast<std::ptrdiff_t>(settings_.max_answer_bytes)) {
        return;
    }
    const auto longest = std::max_element(active_.begin(), active_.end(), [](const auto& a, const auto& b) {
        return a.second->buffered_bytes() < b.second->buffered_bytes();
    });
    if (longest != active_.end()) {
        const connection_ptr ended = longest->second;
        ended->reject_answer();
    }
}

void upstream_client::on_idle(const connection_ptr& connection) {
    idle_[connection->target()].push_back(connection);
    schedule_sweep();
}

void upstream_client::on_idle_closed(const connection_ptr& connection) {
    const auto it = idle_.find(connection->target());
    if (it != idle_.end()) {
        std::erase(it->second, connection);
    }
}

void upstream_client::schedule_sweep() {
    if (sweeping_) {
        return;
    }
    sweeping_ = true;
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([this](const asio::error_code& ec) {
        if (!ec) {
            sweeping_ = false;
            sweep();
        }
    });
}

void upstream_client::sweep() {
    const time_point now = steady_now();
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [&](const connection_ptr& connection) {
            const bool expired = now >= connection->idle_until();
            if (expired) {
                connection->reset();
            }
            return expired;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
    if (!idle_.empty()) {
        schedule_sweep();
    }
}

} // namespace kingcupseam::router
