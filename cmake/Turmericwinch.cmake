# Helpers that keep the per-library build files to a list of sources.

# tw_add_library(NAME SOURCES a.cc b.cc DEPENDS lib...)
function(tw_add_library name)
  cmake_parse_arguments(ARG "ASIO" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(tw_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(tw_${name} PUBLIC ${ARG_DEPENDS} tw_flags)
  if(ARG_ASIO)
    target_precompile_headers(tw_${name} REUSE_FROM tw_pch_asio)
    target_link_libraries(tw_${name} PUBLIC tw_pch_asio)
  endif()
endfunction()

# tw_add_app(NAME SOURCES a.cc DEPENDS lib...)
function(tw_add_app name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} tw_flags tw_pch_asio)
  target_precompile_headers(${name} REUSE_FROM tw_pch_asio)
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# tw_add_test(NAME [THREADED] SOURCES a_test.cc DEPENDS lib...)
# Threaded tests carry the label that the ThreadSanitizer run selects.
function(tw_add_test name)
  cmake_parse_arguments(ARG "THREADED" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/test_main.cc)
  target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  # Its macro for "new" breaks headers included after it; sanitizers find leaks.
  target_compile_definitions(${name}_test PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPENDS} tw_flags tw_pch_asio
                        PkgConfig::CPPUTEST)
  target_precompile_headers(${name}_test REUSE_FROM tw_pch_asio)
  add_test(NAME ${name} COMMAND ${name}_test -v)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  if(ARG_THREADED)
    set_tests_properties(${name} PROPERTIES LABELS threaded)
    add_dependencies(threaded_tests ${name}_test)
  endif()
endfunction()
