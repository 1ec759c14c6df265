#!/usr/bin/env python3
"""Builds the tree the way deploy/system.toml says, in a clean copy."""
import pathlib
import re
import shutil
import subprocess
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
    # Only the one line is needed, so no TOML library is.
    text = (ROOT / "deploy/system.toml").read_text()
    build = re.search(r'^build = "(.*)"$', text, re.M).group(1)
    run = re.search(r'^run = "(\S+).*"$', text, re.M).group(1)
    with tempfile.TemporaryDirectory() as folder:
        # Tracked files as they stand in the work tree.
        names = subprocess.run(
            ["git", "ls-files", "-z"], cwd=ROOT, check=True,
            capture_output=True).stdout.decode().split("\0")
        for name in filter(None, names):
            target = pathlib.Path(folder) / name
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, target)
        subprocess.run(build, shell=True, cwd=folder, check=True,
                       stdout=subprocess.DEVNULL)
        if not (pathlib.Path(folder) / run).is_file():
            raise SystemExit(f"the build made no {run}")
    print("deploy build: done")


if __name__ == "__main__":
    main()
