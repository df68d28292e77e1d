"""Options of the tests that play random events."""


def pytest_addoption(parser):
    parser.addoption("--walks", type=int, default=400, help="random walks through the decision module")
    parser.addoption("--walk-seed", type=int, default=1, help="seed of the first of these walks")
