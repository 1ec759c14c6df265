#include "matrix.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>

using rosemarytrail::test::all_faults;
using rosemarytrail::test::fault;
using rosemarytrail::test::fault_step;
using rosemarytrail::test::fault_steps;
using rosemarytrail::test::not_applicable;
using rosemarytrail::test::run_cell;

namespace {

constexpr std::string_view page = "docs/FAULTS.md";
constexpr std::string_view begin_mark = "<!-- matrix: begin -->\n";
constexpr std::string_view end_mark = "<!-- matrix: end -->\n";

struct tally
{
    std::size_t green{};
    std::size_t red{};
    std::size_t not_applicable{};
};

[[nodiscard]] std::string cell_text(const fault_step& step, const fault& it,
                                    tally& counts, std::string& notes)
{
    const fault* one = &it;
    const auto broken = run_cell(step, {&one, 1});
    for (const auto& line : broken) {
        notes += "- " + std::string{step.name} + ", " + std::string{it.name} +
                 ": " + line + "\n";
    }
    if (!broken.empty()) {
        ++counts.red;
        return "red";
    }
    if (const auto why = not_applicable(step, it); !why.empty()) {
        ++counts.not_applicable;
        return "n/a (" + std::string{why} + ")";
    }
    ++counts.green;
    return "green";
}

[[nodiscard]] std::string heading()
{
    std::string out;
    std::string first = "| Step |";
    std::string rule = "|---|";
    std::size_t n = 0;
    for (const auto& it : all_faults()) {
        const auto number = "F" + std::to_string(n++);
        out += "- " + number + ": " + std::string{it.name} + "\n";
        first += " " + number + " |";
        rule += "---|";
    }
    return out + "\n" + first + "\n" + rule + "\n";
}

[[nodiscard]] std::string matrix_text()
{
    tally counts;
    std::string notes;
    auto out = heading();
    for (const auto& step : fault_steps()) {
        out += "| " + std::string{step.name} + " |";
        for (const auto& it : all_faults()) {
            out += " " + cell_text(step, it, counts, notes) + " |";
        }
        out += "\n";
    }
    std::ostringstream sum;
    sum << "\nGreen: " << counts.green << "; red: " << counts.red
        << "; not applicable: " << counts.not_applicable << ".\n";
    return out + sum.str() + notes;
}

} // namespace

TEST_CASE("The page of the fault matrix is written from a run", "[.page]")
{
    std::ifstream in{std::string{page}};
    std::string text{std::istreambuf_iterator<char>{in}, {}};
    const auto begin = text.find(begin_mark);
    const auto end = text.find(end_mark);
    REQUIRE(begin != std::string::npos);
    REQUIRE(end != std::string::npos);
    const auto from = begin + begin_mark.size();
    text.replace(from, end - from, matrix_text());
    std::ofstream{std::string{page}} << text;
}
