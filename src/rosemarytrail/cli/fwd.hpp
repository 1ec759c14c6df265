#ifndef ROSEMARYTRAIL_CLI_FWD_HPP
#define ROSEMARYTRAIL_CLI_FWD_HPP

#include <cstdint>

namespace rosemarytrail::cli {

enum class exit_code : std::uint8_t;
enum class effect : std::uint8_t;

struct arguments;
struct command;
struct context;
struct call;
struct reply;
struct sample;

class entry_client;
class printer;

} // namespace rosemarytrail::cli

#endif
