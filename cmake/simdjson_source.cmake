# simdjson selects its implementation by the compiler's target. On x86-64 it falls back to a slow one
# without SSE 4.2, which every server processor since 2010 supports; on arm64 NEON is always there.
set(simdjson_options "")
if(CMAKE_SYSTEM_PROCESSOR MATCHES "^(x86_64|AMD64|amd64)$")
  set(simdjson_options "-msse4.2;-mpclmul")
endif()

# simdjson_source(FILE ...)
#
# Compiles source files of the calling directory that include simdjson for its fast implementation.
function(simdjson_source)
  set_source_files_properties(${ARGN} PROPERTIES COMPILE_OPTIONS "${simdjson_options}")
endfunction()
