"""Settings of all tests, and options of those that play random events."""

import os

# Tests start gateways while grpcio's threads are at work. Its handlers of fork() are of no use there, since
# the child runs another program at once. Set before grpcio is imported.
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")


def pytest_addoption(parser):
    parser.addoption("--walks", type=int, default=400, help="random walks through the decision module")
    parser.addoption("--walk-seed", type=int, default=1, help="seed of the first of these walks")
