"""The free list against a plain set, under any order of changes."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.routing import free_list


class Item:
    def __init__(self):
        self.position = free_list.ABSENT


def check_positions(free, items, expected):
    assert set(free) == expected and len(free) == len(expected)
    for item in items:
        assert (item.position >= 0) == (item in expected)
        assert item.position < 0 or free[item.position] is item


@seed(7)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5)), max_size=40))
def test_a_free_list_holds_what_a_set_would_and_positions_stay_true(steps):
    items = [Item() for _ in range(6)]
    free, expected = [], set()
    for is_free, number in steps:
        if is_free:
            free_list.add(free, items[number])
            expected.add(items[number])
        else:
            free_list.discard(free, items[number])
            expected.discard(items[number])
        check_positions(free, items, expected)


def test_build_keeps_the_order_and_sets_the_positions():
    items = [Item() for _ in range(4)]
    free = free_list.build(items[::-1])
    assert free == items[::-1]
    check_positions(free, items, set(items))


def test_discard_puts_the_last_item_in_the_place_that_is_left():
    items = [Item() for _ in range(4)]
    free = free_list.build(items)
    free_list.discard(free, items[1])
    assert free == [items[0], items[3], items[2]]
