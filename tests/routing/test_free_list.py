"""The free list, compared with a plain set under arbitrary sequences of changes."""

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
def test_free_list_holds_the_same_items_as_a_set_with_correct_positions(steps):
    items = [Item() for _ in range(6)]
    free, expected = [], set()
    for is_added, index in steps:
        if is_added:
            free_list.add(free, items[index])
            expected.add(items[index])
        else:
            free_list.discard(free, items[index])
            expected.discard(items[index])
        check_positions(free, items, expected)


def test_build_keeps_the_order_and_sets_positions():
    items = [Item() for _ in range(4)]
    free = free_list.build(items[::-1])
    assert free == items[::-1]
    check_positions(free, items, set(items))


def test_discard_moves_the_last_item_to_the_free_position():
    items = [Item() for _ in range(4)]
    free = free_list.build(items)
    free_list.discard(free, items[1])
    assert free == [items[0], items[3], items[2]]
