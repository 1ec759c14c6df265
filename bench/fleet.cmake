rosemarytrail_program(bench_fleet_load fleet_load.cpp rosemarytrail_fleet)
target_sources(bench_fleet_load PRIVATE ${PROJECT_SOURCE_DIR}/test/lib/worker_fleet.cpp)
