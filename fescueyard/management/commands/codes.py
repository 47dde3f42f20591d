"""``fescueyard codes``: prints the table of result codes."""

from fescueyard.core import codes


def run():
    """Print the table of result codes in Markdown."""
    print(render(), end="")


def render():
    """Render the table of result codes.

    :returns: Markdown text.
    """
    lines = [
        "# Result codes",
        "",
        "Made by `fescueyard codes`.",
        "",
        "| code | name | HTTP status | outcome | retry | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for code in codes.all_codes():
        retry = "yes" if code.retryable else "no"
        lines.append(
            f"| {code.number} | {code.name} | {code.http_status} "
            f"| {code.outcome.value} | {retry} | {code.title} |"
        )
    return "\n".join(lines) + "\n"
