# Shared build rules: dependencies, warnings, and the layout that every module follows.
find_package(Boost 1.81 REQUIRED COMPONENTS json)
if(FOXTAILRUDDER_TESTS)
  find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
endif()
find_package(Threads REQUIRED)
find_package(spdlog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(ZLIB REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(FLATBUFFERS_LIBRARY flatbuffers REQUIRED)

enable_testing()

add_library(foxtailrudder_options INTERFACE)
target_compile_options(foxtailrudder_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                                                       -Wnon-virtual-dtor -Werror)
target_include_directories(foxtailrudder_options INTERFACE ${PROJECT_SOURCE_DIR}/src
                                                          ${PROJECT_SOURCE_DIR})
# Third-party and generated headers do not follow our warning set.
target_include_directories(foxtailrudder_options SYSTEM INTERFACE ${PROJECT_SOURCE_DIR}/generated)
target_link_libraries(foxtailrudder_options INTERFACE Boost::headers Threads::Threads)

# Adds the library foxtailrudder_<name> from *.cpp and internal/*.cpp of the current folder and, if
# tests/*.cpp exist, the test program <name>_tests.
function(foxtailrudder_module name)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS;PCH" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp internal/*.cpp)
  set(target foxtailrudder_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_link_libraries(${target} ${scope} foxtailrudder_options ${ARG_DEPS})
  if(sources AND ARG_PCH AND FOXTAILRUDDER_PCH)
    target_precompile_headers(${target} PRIVATE ${ARG_PCH})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  if(tests AND FOXTAILRUDDER_TESTS)
    foxtailrudder_test(${name}_tests SOURCES ${tests} DEPS ${target} ${ARG_TEST_DEPS})
  endif()
endfunction()

# Adds a Boost.Test program and registers it with CTest.
function(foxtailrudder_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/test_main.cpp)
  # Defines BOOST_TEST_MODULE before it includes Boost.Test.
  set_source_files_properties(${PROJECT_SOURCE_DIR}/src/test_main.cpp TARGET_DIRECTORY ${name}
                              PROPERTIES SKIP_PRECOMPILE_HEADERS ON)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
                                             FOXTAILRUDDER_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} Boost::unit_test_framework)
  if(FOXTAILRUDDER_PCH)
    target_precompile_headers(${name} PRIVATE <boost/test/unit_test.hpp>)
  endif()
  add_test(NAME ${name} COMMAND ${name} --report_level=short)
endfunction()
