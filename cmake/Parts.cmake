# Helpers that turn a folder into a target. Sources are found by folder, so that
# adding a file needs no change here.

set(SEQUOIAGATE_WARNINGS -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual
    -Wno-missing-field-initializers)
if(SEQUOIAGATE_WERROR)
    list(APPEND SEQUOIAGATE_WARNINGS -Werror)
endif()

function(sequoiagate_common target)
    target_compile_options(${target} PRIVATE ${SEQUOIAGATE_WARNINGS})
    target_compile_definitions(${target} PRIVATE SEQUOIAGATE_VERSION="${PROJECT_VERSION}")
endfunction()

function(sequoiagate_wire)
    file(GLOB sources CONFIGURE_DEPENDS lib/Wire/proto/*.pb.cc)
    add_library(Wire STATIC ${sources})
    target_include_directories(Wire SYSTEM PUBLIC lib/Wire)
    target_link_libraries(Wire PUBLIC protobuf::libprotobuf gRPC::grpc++)
endfunction()

# sequoiagate_library(Part DEPENDS target...)
function(sequoiagate_library part)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS lib/${part}/*.cpp)
    if(NOT sources)
        add_library(${part} INTERFACE)
        target_include_directories(${part} INTERFACE include)
        target_link_libraries(${part} INTERFACE ${ARG_DEPENDS})
        return()
    endif()
    add_library(${part} STATIC ${sources})
    target_include_directories(${part} PUBLIC include PRIVATE lib)
    target_link_libraries(${part} PUBLIC ${ARG_DEPENDS})
    sequoiagate_common(${part})
endfunction()

# Embeds the files of share/ in a part, so that a program needs no file beside it.
function(sequoiagate_embed_share part)
    set(folder ${CMAKE_SOURCE_DIR}/share)
    set(output ${CMAKE_BINARY_DIR}/generated/ShareFiles.cpp)
    set(script ${CMAKE_SOURCE_DIR}/cmake/EmbedFiles.cmake)
    file(GLOB_RECURSE files CONFIGURE_DEPENDS RELATIVE ${folder} ${folder}/*.json)
    list(TRANSFORM files PREPEND ${folder}/ OUTPUT_VARIABLE paths)
    add_custom_command(OUTPUT ${output}
        COMMAND ${CMAKE_COMMAND} -DFOLDER=${folder} "-DFILES=${files}" -DOUTPUT=${output} -P ${script}
        DEPENDS ${paths} ${script} VERBATIM)
    target_sources(${part} PRIVATE ${output})
endfunction()

# sequoiagate_tool(program library...): made when tools/program has sources.
function(sequoiagate_tool program)
    file(GLOB sources CONFIGURE_DEPENDS tools/${program}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${program} ${sources})
    target_link_libraries(${program} PRIVATE ${ARGN})
    set_target_properties(${program} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    sequoiagate_common(${program})
    set_property(GLOBAL APPEND PROPERTY SEQUOIAGATE_TOOLS ${program})
endfunction()

# Programs that compute for long. Their tests run in shards, beside each other.
set(SEQUOIAGATE_SHARDED_TESTS unittests-CrashingParts unittests-Decisions unittests-Edge
    unittests-Ledger)
set(SEQUOIAGATE_SHARDS 4)

# Adds the tests of a program, named after it, with the shard's number if it runs in shards.
function(sequoiagate_add_tests target label)
    set(shards 1)
    if(target IN_LIST SEQUOIAGATE_SHARDED_TESTS)
        set(shards ${SEQUOIAGATE_SHARDS})
    endif()
    foreach(shard RANGE 1 ${shards})
        set(name ${target})
        if(shards GREATER 1)
            string(APPEND name -${shard})
        endif()
        math(EXPR index "${shard} - 1")
        add_test(NAME ${name} COMMAND ${target})
        # A fixed seed: the same verdict every run. Soak runs vary it. Shards begin first.
        set_tests_properties(${name} PROPERTIES TIMEOUT 1500 LABELS ${label} COST ${shards}
            ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=200;GTEST_TOTAL_SHARDS=${shards};GTEST_SHARD_INDEX=${index}")
    endforeach()
endfunction()

# One test program a folder of unittests/ and of test/. Folders named Support
# hold what the other folders share: unittests/Support the fakes, test/Support
# what runs real processes.
function(sequoiagate_tests)
    get_property(tools GLOBAL PROPERTY SEQUOIAGATE_TOOLS)
    file(GLOB support CONFIGURE_DEPENDS unittests/Support/*.cpp)
    add_library(TestSupport STATIC ${support})
    target_include_directories(TestSupport PUBLIC include ${CMAKE_SOURCE_DIR})
    target_link_libraries(TestSupport PUBLIC Base Service Platform Ledger Config Members Decisions
        History Keeper Router Operate Load Standins Proxy Store Edge PlatformAdapter rapidcheck GTest::gtest GTest::gtest_main)
    sequoiagate_common(TestSupport)
    # One file alone knows the tree's place, so that a cache of objects serves several trees.
    set_source_files_properties(unittests/Support/TreePaths.cpp PROPERTIES COMPILE_DEFINITIONS
        "SEQUOIAGATE_SOURCE_DIR=\"${CMAKE_SOURCE_DIR}\";SEQUOIAGATE_BINARY_DIR=\"${CMAKE_BINARY_DIR}\"")
    file(GLOB fleet CONFIGURE_DEPENDS test/Support/*.cpp)
    add_library(FleetSupport STATIC ${fleet})
    target_link_libraries(FleetSupport PUBLIC TestSupport)
    sequoiagate_common(FleetSupport)
    file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true unittests/* test/*)
    foreach(folder ${folders})
        get_filename_component(name ${folder} NAME)
        file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
        if(NOT sources OR name STREQUAL "Support")
            continue()
        endif()
        get_filename_component(kind ${folder} DIRECTORY)
        get_filename_component(kind ${kind} NAME)
        set(target ${kind}-${name})
        add_executable(${target} ${sources})
        target_link_libraries(${target} PRIVATE TestSupport)
        if(kind STREQUAL "test")
            target_link_libraries(${target} PRIVATE FleetSupport)
        endif()
        sequoiagate_common(${target})
        sequoiagate_add_tests(${target} ${kind})
        if(kind STREQUAL "test")
            add_dependencies(${target} ${tools})
        endif()
    endforeach()
endfunction()

function(sequoiagate_benches)
    file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true bench/*)
    foreach(folder ${folders})
        get_filename_component(name ${folder} NAME)
        file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
        if(NOT sources)
            continue()
        endif()
        add_executable(bench-${name} ${sources})
        target_include_directories(bench-${name} PRIVATE ${CMAKE_SOURCE_DIR})
        target_link_libraries(bench-${name} PRIVATE TestSupport FleetSupport benchmark::benchmark)
        set_target_properties(bench-${name} PROPERTIES
            RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
        sequoiagate_common(bench-${name})
    endforeach()
endfunction()
