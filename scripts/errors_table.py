#!/usr/bin/env python3
"""Writes docs/ERRORS.md from the table in result_code.cpp."""
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
CORE = ROOT / "src/rosemarytrail/core"
HEAD = """# Result codes

Each refusal, retry and drop has one of these numbers. The number stands in
answers over HTTP (`code`), in log lines and in counters. This page is written
by `scripts/errors_table.py`; a test checks it against the code.

| number | name | HTTP status | meaning |
| --- | --- | --- | --- |
"""


def main():
    numbers = dict(
        re.findall(r"^    (\w+) = (\d+)", (CORE / "result_code.hpp").read_text(), re.M)
    )
    source = (CORE / "result_code.cpp").read_text()
    rows = re.findall(
        r'result_code_row\{\s*result_code::(\w+),\s*"(\w+)",\s*(\d+),\s*((?:"[^"]*"\s*)+)\}',
        source,
    )
    lines = []
    for code, name, status, meaning in rows:
        text = "".join(re.findall(r'"([^"]*)"', meaning))
        lines.append(f"| {numbers[code]} | `{name}` | {status} | {text} |")
    (ROOT / "docs/ERRORS.md").write_text(HEAD + "\n".join(lines) + "\n")


main()
