"""The data plane process on every backend server VM."""
