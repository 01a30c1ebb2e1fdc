"""Measures local clusters of real processes; each subcommand prints Markdown."""

import argparse
import importlib
import sys

COMMANDS = {
    "routing": "routing through gates compared with direct dispatch, on the same load and seeds",
    "outage": "time until keys are served again after processes are killed, compared with the bound of 1 s",
    "control": "control traffic, processor time and memory per instance at several sizes",
    "instance": "requests per second and core of one instance",
}


def main():
    parser = argparse.ArgumentParser(prog="tools/measure", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in COMMANDS.items():
        module = importlib.import_module("measure_" + name)
        module.add_options(commands.add_parser(name, help=text, description=module.__doc__))
    options = parser.parse_args()
    return importlib.import_module("measure_" + options.command).run(options)


if __name__ == "__main__":
    sys.exit(main())
