#include <rosemarytrail/load/program.hpp>

int main(int argc, char** argv)
{
    return rosemarytrail::load::run_program(argc, argv);
}
