#include "app/commands.h"

#include <kingcupseam/error.h>

namespace kingcupseam::app {

int run_status(const arguments& /*args*/) {
    throw error("this command is not available yet");
}

} // namespace kingcupseam::app
