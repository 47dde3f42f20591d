"""Builds ``dist/fescueyard``: one file that runs without the source tree.

shiv packs the program and its libraries into an archive that unpacks itself
once, into the folder that the environment variable ``SHIV_ROOT`` names, and
then runs in the same process.
"""

import pathlib
import subprocess
import sys

OUTPUT = pathlib.Path("dist/fescueyard")


def main():
    """Build the file and check that it starts."""
    OUTPUT.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv.cli",
            "--entry-point",
            "fescueyard.__main__:main",
            "--output-file",
            str(OUTPUT),
            "--python",
            "/usr/bin/env python3",
            "--quiet",
            ".",
        ],
        check=True,
    )
    subprocess.run([str(OUTPUT), "codes"], check=True, capture_output=True)
    size_mb = OUTPUT.stat().st_size / 1e6
    print(f"{OUTPUT}: {size_mb:.1f} MB")


if __name__ == "__main__":
    main()
