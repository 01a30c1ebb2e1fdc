// State of the global group and the commands that change it.
namespace cpp kingcupseam.wire

include "peer.thrift"

// A new generation of a data centre's group.
struct GroupFormation {
  1: string data_center
  2: i64 generation
  3: list<peer.Member> voters
  // Routing table with which the generation starts: the last mirrored one.
  4: binary table
}

// Placement of a service's shards: homes holds, for each shard, an index into data_centers.
struct ServiceHomes {
  1: string service_name
  2: list<string> data_centers
  3: list<i16> homes
}

// Copy of a data centre's routing table, from which a new generation of its group starts.
struct TableMirror {
  1: string data_center
  2: i64 generation
  3: i64 version
  4: binary table
}

struct GlobalState {
  1: i64 version
  2: binary profiles
  3: map<string, GroupFormation> formations
  4: map<string, ServiceHomes> homes
  5: map<string, TableMirror> mirrors
}

struct GlobalCommand {
  1: optional binary profile_change
  2: optional GroupFormation formation
  3: optional ServiceHomes homes
  4: optional TableMirror mirror
}

struct ProfileChangeResult {
  1: i8 status
  2: string name
  3: i64 version
  4: string content
  5: string change_id
  6: string problem
}
