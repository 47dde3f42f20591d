"""``fescueyard operator_token``: creates the token of an operator."""

from fescueyard.core import operators


def run(name):
    """Print a new token and its line for the operators file.

    :param name: name of the operator.
    """
    token = operators.new_token()
    print(f"token: {token}")
    print(f"operators file line: {operators.token_line(name, token)}")
