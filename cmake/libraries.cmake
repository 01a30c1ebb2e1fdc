# One line per library, in dependency order: a library may use only those listed before it.
kingcupseam_library(error)
