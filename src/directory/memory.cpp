#include <kingcupseam/directory.h>

namespace kingcupseam::directory {

namespace {

// Links and colour of a node of std::map, with what the allocator adds.
constexpr std::size_t map_node_bytes = 48;

/// Memory of the text beyond the string object.
std::size_t heap_bytes(const std::string& text) {
    static const std::size_t inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

std::size_t heap_bytes(const route& source) {
    std::size_t result = heap_bytes(source.name) + heap_bytes(source.host) + heap_bytes(source.path_prefix) +
                         source.targets.capacity() * sizeof(weighted_service);
    for (const auto& it : source.targets) {
        result += heap_bytes(it.service);
    }
    return result;
}

std::size_t heap_bytes(const upstream& source) {
    return heap_bytes(source.incarnation.id) + heap_bytes(source.service) + heap_bytes(source.data_center) +
           heap_bytes(source.address.ip);
}

template <typename Map>
std::size_t node_bytes(const Map& source) {
    return source.size() * (map_node_bytes + sizeof(typename Map::value_type));
}

} // namespace

std::size_t memory_bytes(const configuration& source) {
    std::size_t result = sizeof(source) + heap_bytes(source.document) + node_bytes(source.routes) +
                         node_bytes(source.services);
    for (const auto& [name, it] : source.routes) {
        result += heap_bytes(name) + heap_bytes(it);
    }
    for (const auto& [name, it] : source.services) {
        result += heap_bytes(name) + heap_bytes(it.name) + heap_bytes(it.health_path);
    }
    return result;
}

std::size_t memory_bytes(const snapshot& source) {
    std::size_t result = sizeof(source) + node_bytes(source.upstreams) + node_bytes(source.ranges);
    for (const auto& [id, it] : source.upstreams) {
        result += heap_bytes(id) + heap_bytes(it);
    }
    for (const auto& [service, ranges] : source.ranges) {
        result += heap_bytes(service) + node_bytes(ranges);
        for (const auto& [first, it] : ranges) {
            result += heap_bytes(it.owner.id);
        }
    }
    return result;
}

} // namespace kingcupseam::directory
