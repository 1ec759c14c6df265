# Helpers that keep the CMakeLists.txt of each module to one line or two.

# Adds the library rosemarytrail_<name> from the sources beside the caller.
function(rosemarytrail_library name)
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
        ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cpp
        ${CMAKE_CURRENT_SOURCE_DIR}/generated/*.c++)
    add_library(rosemarytrail_${name} STATIC ${sources})
    set_target_properties(rosemarytrail_${name} PROPERTIES LINKER_LANGUAGE CXX)
    target_include_directories(rosemarytrail_${name} PUBLIC
        ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(rosemarytrail_${name} PUBLIC ${ARGN})
    target_link_libraries(rosemarytrail_${name} PRIVATE rosemarytrail_warnings)
endfunction()

# Adds the program <name> from <source> linked to the libraries that follow.
function(rosemarytrail_program name source)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE ${ARGN} rosemarytrail_warnings)
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Adds the Catch2 program test_<name> from the sources beside the caller.
function(rosemarytrail_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${name} ${sources})
    target_link_libraries(test_${name} PRIVATE
        rosemarytrail_test_lib ${ARGN} rosemarytrail_warnings)
    add_test(NAME ${name} COMMAND test_${name} --rng-seed 1)
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=1"
        WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
endfunction()
