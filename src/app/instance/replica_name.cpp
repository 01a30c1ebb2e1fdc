#include "app/instance/replica_name.h"

#include <charconv>

namespace kingcupseam::app {

std::string replica_name(const instance_id& id) {
    return id.name + "#" + std::to_string(id.incarnation);
}

instance_id instance_of(const std::string& replica) {
    const auto mark = replica.rfind('#');
    if (mark == std::string::npos) {
        return {replica, 0};
    }
    instance_id result{replica.substr(0, mark), 0};
    std::from_chars(replica.data() + mark + 1, replica.data() + replica.size(), result.incarnation);
    return result;
}

} // namespace kingcupseam::app
