rosemarytrail_program(bench_request_faults request_faults.cpp
    rosemarytrail_proxy rosemarytrail_standin absl::flags absl::flags_parse)
target_sources(bench_request_faults PRIVATE request/callers.cpp)
