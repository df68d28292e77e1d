"""The priority queue by route, with lazy deletion. Its order: tests/policy/test_pending_queue.py."""

from apigateway.routing.priority_queue import MAX_EXTRA_DONE_ENTRIES, PriorityQueue


class Item:
    def __init__(self, name):
        self.name = name
        self.done = False


def filled(*entries):
    queue, items = PriorityQueue(), []
    for route, is_preferred, value in entries:
        items.append(Item(f"{route}{len(items)}"))
        queue.insert(route, is_preferred, value, items[-1])
    return queue, items


def test_the_first_of_a_route_is_preferred_then_most_valuable_then_latest():
    queue, items = filled(("a", True, 1.0), ("a", False, 9.0), ("a", True, 2.0), ("a", True, 2.0))
    taken = []
    while queue.head("a"):
        taken.append(queue.first("a"))
        queue.pop("a")
    assert taken == [items[3], items[2], items[0], items[1]]
    assert queue.waiting_count == queue.entry_count == 0 and not queue.queues_by_route


def test_heads_order_routes_and_end_with_the_route():
    queue, _ = filled(("a", True, 1.0), ("b", True, 2.0), ("c", False, 9.0))
    heads = sorted(queue.head(route) for route in "abc")
    assert [head[-1] for head in heads] == ["b", "a", "c"]


def test_the_head_passes_over_what_is_done():
    queue, items = filled(("a", True, 1.0), ("a", True, 2.0))
    items[1].done = True
    queue.on_item_done()
    assert queue.head("a") and queue.first("a") is items[0]
    assert queue.waiting_count == queue.entry_count == 1


def test_a_route_whose_items_are_all_done_is_gone():
    queue, items = filled(("a", True, 1.0))
    items[0].done = True
    queue.on_item_done()
    assert queue.head("a") is None and not queue.queues_by_route


def test_discarded_entries_do_not_pile_up():
    queue, items = filled(*[("a", True, float(number)) for number in range(100)])
    for item in items[:99]:
        item.done = True
        queue.on_item_done()
        assert queue.entry_count <= 2 * queue.waiting_count + MAX_EXTRA_DONE_ENTRIES
    assert queue.lowest_priority() is items[99]


def test_the_lowest_priority_of_all_routes_stays_until_it_is_done():
    queue, items = filled(("a", True, 2.0), ("b", True, 1.0), ("b", True, 1.0), ("c", False, 5.0))
    assert queue.lowest_priority() is items[3] is queue.lowest_priority()
    items[3].done = True
    queue.on_item_done()
    assert queue.lowest_priority() is items[1]
    assert PriorityQueue().lowest_priority() is None


def test_drain_when_a_route_is_stuck_then_serves_the_others():
    queue, items = filled(
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
