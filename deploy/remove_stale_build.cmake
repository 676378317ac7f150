# Removes what an earlier build left in target/ if the next one can't use it:
# a cache of another folder, generator or kind of machine, or a program that
# doesn't run here. Without this, such a program is kept as up to date.
cmake_minimum_required(VERSION 3.25)

get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}/.." REALPATH)
set(folder "${root}/target")
set(cache "${folder}/CMakeCache.txt")
set(stamp "${folder}/machine.txt")
cmake_host_system_information(RESULT machine QUERY OS_PLATFORM)

# remove_build REASON: removes the build, but nothing else that is in target/.
function(remove_build reason)
  message(STATUS "removing an earlier build from target/: ${reason}")
  file(REMOVE "${cache}" "${stamp}" "${folder}/build.ninja"
       "${folder}/.ninja_deps" "${folder}/.ninja_log"
       "${folder}/libpollenring_lib.a" "${folder}/pollenringd")
  file(REMOVE_RECURSE "${folder}/CMakeFiles")
endfunction()

if(EXISTS "${cache}")
  load_cache("${folder}" READ_WITH_PREFIX had_ CMAKE_HOME_DIRECTORY
             CMAKE_GENERATOR)
  set(had_machine "${machine}")
  if(EXISTS "${stamp}")
    file(READ "${stamp}" had_machine)
  endif()
  if(NOT had_CMAKE_HOME_DIRECTORY STREQUAL root)
    remove_build("it is of the folder ${had_CMAKE_HOME_DIRECTORY}")
  elseif(NOT had_CMAKE_GENERATOR STREQUAL "Ninja")
    remove_build("it uses the generator ${had_CMAKE_GENERATOR}")
  elseif(NOT had_machine STREQUAL machine)
    remove_build("it is of a machine of the kind ${had_machine}")
  endif()
endif()

if(EXISTS "${folder}/pollenringd")
  execute_process(COMMAND "${folder}/pollenringd" --help RESULT_VARIABLE failed
                  OUTPUT_QUIET ERROR_QUIET)
  if(failed)
    remove_build("its program doesn't run here (${failed})")
  endif()
endif()

file(WRITE "${stamp}" "${machine}")
