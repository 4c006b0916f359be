# Functions that declare a package from its directory layout: include/, src/, src/internal/, tests/,
# bench/.

# Declares the static library oriolehold_NAME from src/ without main.cpp, or an interface library
# when there are no sources, and its test and benchmark programs.
# Usage: oriolehold_package(NAME [LINK LIBRARY...])
function(oriolehold_package name)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    set(library oriolehold_${name})
    if(sources)
        add_library(${library} STATIC ${sources})
        target_include_directories(${library} PUBLIC include PRIVATE src)
        target_link_libraries(${library} PUBLIC ${ARG_LINK} Boost::headers)
    else()
        add_library(${library} INTERFACE)
        target_include_directories(${library} INTERFACE include)
        target_link_libraries(${library} INTERFACE ${ARG_LINK} Boost::headers)
    endif()
    if(NOT ORIOLEHOLD_DAEMONS_ONLY)
        oriolehold_tests(${name})
        oriolehold_benchmarks(${name})
    endif()
endfunction()

# Declares the test program NAME_test from tests/*_test.cpp and registers it with CTest.
function(oriolehold_tests name)
    file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
    if(tests)
        add_executable(${name}_test ${tests} ${PROJECT_SOURCE_DIR}/packages/testing/src/test_main.cpp)
        target_include_directories(${name}_test PRIVATE src tests)
        target_link_libraries(${name}_test PRIVATE oriolehold_${name} oriolehold_testing PkgConfig::CPPUTEST)
        target_compile_definitions(${name}_test PRIVATE
            ORIOLEHOLD_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
        add_test(NAME ${name} COMMAND ${name}_test)
    endif()
endfunction()

# Declares the benchmark program NAME_bench from bench/*.cpp and one program for each
# bench/*_comparison.cpp, which has its own main(). Requires ORIOLEHOLD_BENCHMARKS.
function(oriolehold_benchmarks name)
    file(GLOB benchmarks CONFIGURE_DEPENDS bench/*.cpp)
    set(comparisons ${benchmarks})
    list(FILTER comparisons INCLUDE REGEX "_comparison\\.cpp$")
    list(FILTER benchmarks EXCLUDE REGEX "_comparison\\.cpp$")
    if(NOT ORIOLEHOLD_BENCHMARKS)
        if(benchmarks)
            # An object library without a program, so that every build compiles and lints the files.
            add_library(${name}_bench OBJECT ${benchmarks})
            target_include_directories(${name}_bench PRIVATE src)
            target_link_libraries(${name}_bench PRIVATE oriolehold_${name} oriolehold_testing)
        endif()
        return()
    endif()
    foreach(comparison IN LISTS comparisons)
        get_filename_component(program ${comparison} NAME_WE)
        add_executable(${program} ${comparison})
        target_include_directories(${program} PRIVATE src)
        target_link_libraries(${program} PRIVATE oriolehold_${name} oriolehold_testing
            PkgConfig::TCLAP)
    endforeach()
    if(benchmarks)
        find_package(benchmark REQUIRED)
        add_executable(${name}_bench ${benchmarks})
        target_include_directories(${name}_bench PRIVATE src)
        target_link_libraries(${name}_bench PRIVATE oriolehold_${name} oriolehold_testing
            benchmark::benchmark benchmark::benchmark_main)
    endif()
endfunction()
