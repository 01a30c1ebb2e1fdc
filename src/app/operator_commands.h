#pragma once

#include "app/commands.h"

#include <iosfwd>

namespace kingcupseam::app {

// Commands that take their output streams as parameters, so that tests can read the output. Each returns an
// exit code of app/commands.h.
int check_command(const arguments& args, std::ostream& out, std::ostream& err);
int profile_command(const arguments& args, std::ostream& out, std::ostream& err);
int status_command(const arguments& args, std::ostream& out, std::ostream& err);
int explain_command(const arguments& args, std::ostream& out, std::ostream& err);

} // namespace kingcupseam::app
