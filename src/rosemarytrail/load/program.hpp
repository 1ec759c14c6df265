#ifndef ROSEMARYTRAIL_LOAD_PROGRAM_HPP
#define ROSEMARYTRAIL_LOAD_PROGRAM_HPP

namespace rosemarytrail::load {

/**
 * @brief Runs the load tool: reads an experiment, sends, writes results.
 * @param argc Number of arguments.
 * @param argv Arguments; `--help` lists them.
 * @return Exit code: 0 if the experiment ran, 1 if not.
 */
[[nodiscard]] int run_program(int argc, char** argv);

} // namespace rosemarytrail::load

#endif
