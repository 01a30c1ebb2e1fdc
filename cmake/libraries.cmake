# One line per library, in dependency order: a library may use only those listed before it.
# Folders that do not exist yet are skipped.
kingcupseam_library(error)
kingcupseam_library(types error)
target_link_libraries(kingcupseam_types PUBLIC xxhash)
# The generated Thrift code uses the names of the IDL, so it is built without the project's warnings.
file(GLOB generated_sources CONFIGURE_DEPENDS src/generated/*_types.cpp)
add_library(kingcupseam_generated STATIC ${generated_sources})
target_include_directories(kingcupseam_generated SYSTEM PUBLIC src/generated)
target_link_libraries(kingcupseam_generated PUBLIC PkgConfig::THRIFT)
# Header only: encoding and decoding of the generated structs.
add_library(kingcupseam_wire INTERFACE)
target_link_libraries(kingcupseam_wire INTERFACE kingcupseam_options kingcupseam_error kingcupseam_generated)
kingcupseam_library(lifecycle error)
kingcupseam_library(logging types)
target_link_libraries(kingcupseam_logging PUBLIC fmt::fmt spdlog::spdlog)
kingcupseam_library(config types)
kingcupseam_library(metrics types)
kingcupseam_library(statechart config)
# The charts are embedded in the binary, so that an instance cannot run with charts of another version.
file(GLOB chart_files CONFIGURE_DEPENDS charts/*.toml)
add_custom_command(
  OUTPUT ${PROJECT_BINARY_DIR}/embedded_charts.cpp
  COMMAND ${CMAKE_COMMAND} -DCHARTS=${PROJECT_SOURCE_DIR}/charts -DOUTPUT=${PROJECT_BINARY_DIR}/embedded_charts.cpp
          -P ${PROJECT_SOURCE_DIR}/cmake/embed_charts.cmake
  DEPENDS ${chart_files} cmake/embed_charts.cmake)
target_sources(kingcupseam_statechart PRIVATE ${PROJECT_BINARY_DIR}/embedded_charts.cpp)
kingcupseam_library(profile config wire)
kingcupseam_library(settings config)
kingcupseam_library(storage types)
kingcupseam_library(consensus storage statechart wire)
kingcupseam_library(membership types)
kingcupseam_library(placement types)
kingcupseam_library(ownership types statechart wire)
kingcupseam_library(directory types wire)
kingcupseam_library(key_ranges directory)
kingcupseam_library(hot_keys types)
kingcupseam_library(ledger types)
kingcupseam_library(admission types)
kingcupseam_library(transport types consensus wire)
target_link_libraries(kingcupseam_transport PUBLIC ZLIB::ZLIB spdlog::spdlog fmt::fmt)

kingcupseam_library(app types lifecycle logging metrics statechart profile settings consensus membership ownership hot_keys ledger admission transport)
if(TARGET kingcupseam_app)
  target_link_libraries(kingcupseam_app PUBLIC CURL::libcurl Boost::program_options fmt::fmt spdlog::spdlog http_parser)
  # For one file alone, so that a new version doesn't build everything anew.
  set_source_files_properties(src/app/process_run.cpp PROPERTIES
    COMPILE_DEFINITIONS KINGCUPSEAM_VERSION="${PROJECT_VERSION}")
endif()

kingcupseam_library(router app directory key_ranges)

# The only library that uses names of the provider's protocol; tools/check_names checks that.
file(GLOB platform_sources CONFIGURE_DEPENDS platform/*.cpp)
add_library(kingcupseam_platform STATIC ${platform_sources})
target_include_directories(kingcupseam_platform PUBLIC platform)
target_link_libraries(kingcupseam_platform PUBLIC kingcupseam_router nlohmann_json::nlohmann_json)

add_executable(kingcupseam src/main.cpp)
target_link_libraries(kingcupseam PRIVATE kingcupseam_platform)
