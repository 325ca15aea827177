# Helpers that every library and tool of the project uses.

# trefoil_library(NAME SOURCES ... DEPENDS ...) declares the static library trefoil_NAME, whose
# public headers are under include/ and whose private ones stand beside the sources.
function(trefoil_library name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    if(arg_SOURCES)
        add_library(trefoil_${name} STATIC ${arg_SOURCES})
        target_include_directories(trefoil_${name} PUBLIC include PRIVATE src)
        target_link_libraries(trefoil_${name} PUBLIC ${arg_DEPENDS})
    else()
        add_library(trefoil_${name} INTERFACE)
        target_include_directories(trefoil_${name} INTERFACE include)
        target_link_libraries(trefoil_${name} INTERFACE ${arg_DEPENDS})
    endif()
endfunction()

# The programs that also run under sanitizers.
add_custom_target(core-tests)

# trefoil_test(NAME [NO_SANITIZE] SOURCES ... DEPENDS ...) declares a doctest program and registers
# it with ctest. Without NO_SANITIZE it also belongs to the tests that run under sanitizers.
function(trefoil_test name)
    cmake_parse_arguments(arg "NO_SANITIZE" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} trefoil_test_main)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 1200)
    if(NOT arg_NO_SANITIZE)
        add_dependencies(core-tests ${name})
        set_tests_properties(${name} PROPERTIES LABELS core)
    endif()
endfunction()

# trefoil_tool(NAME SOURCES ... DEPENDS ...) declares a program.
function(trefoil_tool name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
endfunction()
