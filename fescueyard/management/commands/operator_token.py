"""``fescueyard operator_token``: makes an operator's token."""

from fescueyard.core import operators


def run(name):
    """Print a new token and its line for the operators file.

    :param name: the operator's name.
    """
    token = operators.new_token()
    print(f"token: {token}")
    print(f"operators file line: {operators.token_line(name, token)}")
