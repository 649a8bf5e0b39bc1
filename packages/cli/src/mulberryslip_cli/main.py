"""Entry point of the `mulberryslip` command."""

import json
import sys
from collections.abc import Sequence
from datetime import timedelta

from absl import flags

from .clients import OperatorClient
from .commands import COMMANDS, Command, Options
from .exceptions import CommandError, UsageError

DEFAULT_ENTRIES = "127.0.0.1:7003"

SHOWN_FLAGS = (
    "entries", "json", "if_revision", "timeout_s", "against", "strict", "adapter", "store", "help",
)  # fmt: skip

EXAMPLES = """\
examples:
  mulberryslip data-centre out concord
  mulberryslip template set reconciliation class=batch account=granite-hollow cpu_millis=1000
  mulberryslip --if_revision=7 template set reconciliation max_attempts=2
  mulberryslip explain job reconciliation-2026-12-04
  mulberryslip config check next.json --against current --strict
  mulberryslip config check - --adapter=MODULE < pools.json

exit codes: 0 success, 1 rejected, 2 invalid usage, 3 conflict with a concurrent change (the message
says what changed), 4 no entry could serve the command (nothing was changed), 5 outcome unknown;
config check: 0 valid, 1 warnings with --strict, 2 errors or invalid usage"""


def run() -> None:
    """Run the command given on the process's command line and exit with its exit code."""
    sys.exit(main(sys.argv))


def define_flags() -> flags.FlagValues:
    """Return the flags of the command line, not yet parsed."""
    values = flags.FlagValues()
    # Flags may follow the command, as in `config check FILE --strict`.
    values.set_gnu_getopt(True)
    flags.DEFINE_list(
        "entries",
        DEFAULT_ENTRIES,
        "Operator addresses of the entries, IP:PORT, tried in order.",
        flag_values=values,
    )
    flags.DEFINE_boolean("json", False, "Print JSON instead of tables.", flag_values=values)
    flags.DEFINE_integer(
        "if_revision",
        None,
        "Reject the change unless the configuration is at this revision. Defaults to the revision"
        " that the command has just read.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s", 5.0, "Timeout for each entry, in seconds.", 0.1, flag_values=values
    )
    flags.DEFINE_enum(
        "against",
        None,
        ["current"],
        "Compare a checked document with the configuration in force.",
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "strict", False, "Let warnings of a check fail the command.", flag_values=values
    )
    flags.DEFINE_string(
        "adapter",
        "",
        "Check the document for pools, which this module of the platform's adapter decodes.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "store",
        "",
        "http://IP:PORT of the store with the document for pools in force.",
        flag_values=values,
    )
    flags.DEFINE_boolean("help", False, "Print this help.", flag_values=values)
    return values


def main(argv: Sequence[str]) -> int:
    """Run one command.

    :param argv: program name, flags, command words and arguments.
    :returns: the exit code.
    """
    values = define_flags()
    try:
        words = values(argv)[1:]
        if values.help or not words:
            print(format_help(values))
            return 0 if values.help else UsageError.exit_code
        command, args = find_command(words)
        client = OperatorClient(values.entries, values.timeout_s)
        options = Options(
            if_revision=values.if_revision,
            against=values.against,
            strict=values.strict,
            adapter=values.adapter,
            store=values.store,
            timeout=timedelta(seconds=values.timeout_s),
        )
        output = command.run(client, args, options)
    except flags.Error as exc:
        print(f"mulberryslip: {exc}", file=sys.stderr)
        return UsageError.exit_code
    except CommandError as exc:
        print(f"mulberryslip: {exc}", file=sys.stderr)
        return exc.exit_code
    print(json.dumps(output.document, indent=2) if values.json else output.text)
    return output.exit_code


def find_command(words: Sequence[str]) -> tuple[Command, Sequence[str]]:
    """Find a command by its leading words.

    :param words: command words followed by the arguments.
    :returns: the command and its arguments.
    :raises UsageError: if there is no such command; the message lists the commands with the same
        first word.
    """
    for command in COMMANDS:
        count = len(command.words)
        if tuple(words[:count]) == command.words:
            return command, words[count:]
    same_group = [" ".join(c.words) for c in COMMANDS if c.words[0] == words[0]]
    suggestions = same_group or sorted({c.words[0] for c in COMMANDS})
    raise UsageError(
        f"unknown command {' '.join(words[:2])!r}; available commands: {', '.join(suggestions)}"
    )


def format_help(values: flags.FlagValues) -> str:
    """Return the help text."""
    width = max(len(" ".join((*c.words, c.arguments))) for c in COMMANDS) + 2
    lines = ["usage: mulberryslip [flags] COMMAND [arguments]", "", "commands:"]
    for command in COMMANDS:
        synopsis = " ".join((*command.words, command.arguments))
        lines.append(f"  {synopsis:<{width}}{command.summary}")
    lines += ["", "flags:"]
    for name in SHOWN_FLAGS:
        lines.append(f"  --{name}: {values[name].help} (default: {values[name].default})")
    return "\n".join([*lines, "", EXAMPLES])
