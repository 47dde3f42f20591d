"""Lets ``python -m fescueyard`` run the command line."""

from fescueyard.management import main

if __name__ == "__main__":
    main.main()
