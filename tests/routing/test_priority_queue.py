"""The priority queue by route with lazy deletion. tests/policy/test_pending_queue.py tests its order."""

from apigateway.routing.priority_queue import MAX_EXTRA_DONE_ENTRIES, PriorityQueue


class Item:
    def __init__(self, name):
        self.name = name
        self.done = False


def make_queue(*entries):
    queue, items = PriorityQueue(), []
    for route, is_preferred, value in entries:
        items.append(Item(f"{route}{len(items)}"))
        queue.insert(route, is_preferred, value, items[-1])
    return queue, items


def test_items_of_a_route_are_ordered_by_preference_then_value_then_latest():
    queue, items = make_queue(("a", True, 1.0), ("a", False, 9.0), ("a", True, 2.0), ("a", True, 2.0))
    popped = []
    while queue.head_sort_key("a"):
        popped.append(queue.first("a"))
        queue.pop("a")
    assert popped == [items[3], items[2], items[0], items[1]]
    assert queue.waiting_count == queue.entry_count == 0 and not queue.queues_by_route


def test_head_sort_keys_order_the_routes_and_end_with_the_route():
    queue, _ = make_queue(("a", True, 1.0), ("b", True, 2.0), ("c", False, 9.0))
    sort_keys = sorted(queue.head_sort_key(route) for route in "abc")
    assert [sort_key[-1] for sort_key in sort_keys] == ["b", "a", "c"]


def test_head_skips_done_items():
    queue, items = make_queue(("a", True, 1.0), ("a", True, 2.0))
    items[1].done = True
    queue.on_item_done()
    assert queue.head_sort_key("a") and queue.first("a") is items[0]
    assert queue.waiting_count == queue.entry_count == 1


def test_route_is_removed_when_all_its_items_are_done():
    queue, items = make_queue(("a", True, 1.0))
    items[0].done = True
    queue.on_item_done()
    assert queue.head_sort_key("a") is None and not queue.queues_by_route


def test_done_entries_do_not_accumulate():
    queue, items = make_queue(*[("a", True, float(number)) for number in range(100)])
    for item in items[:99]:
        item.done = True
        queue.on_item_done()
        assert queue.entry_count <= 2 * queue.waiting_count + MAX_EXTRA_DONE_ENTRIES
    assert queue.lowest_priority() is items[99]


def test_item_of_lowest_priority_stays_in_the_queue_until_it_is_done():
    queue, items = make_queue(("a", True, 2.0), ("b", True, 1.0), ("b", True, 1.0), ("c", False, 5.0))
    assert queue.lowest_priority() is items[3] is queue.lowest_priority()
    items[3].done = True
    queue.on_item_done()
    assert queue.lowest_priority() is items[1]
    assert PriorityQueue().lowest_priority() is None


def test_drain_serves_other_routes_when_one_is_blocked():
    queue, items = make_queue(
        ("a", True, 1.0), ("a", True, 3.0), ("b", True, 2.0), ("b", True, 4.0), ("c", True, 5.0)
    )
    served = []

    def serve(item):
        if item is items[2]:
            return False
        served.append(item)
        return True

    queue.drain(serve)
    assert served == [items[4], items[3], items[1], items[0]]
    assert queue.waiting_count == 1 and queue.first("b") is items[2]
