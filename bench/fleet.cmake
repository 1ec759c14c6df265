rosemarytrail_program(bench_fleet_load fleet_load.cpp rosemarytrail_fleet)
target_sources(bench_fleet_load PRIVATE ${PROJECT_SOURCE_DIR}/test/lib/worker_fleet.cpp)
rosemarytrail_program(bench_work_order work_order.cpp rosemarytrail_fleet)
target_sources(bench_work_order PRIVATE
    ${PROJECT_SOURCE_DIR}/test/lib/overload_replay.cpp
    ${PROJECT_SOURCE_DIR}/test/lib/worker_fleet.cpp)
