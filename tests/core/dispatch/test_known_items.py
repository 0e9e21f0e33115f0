"""What an instance lacks of the known items."""

from __future__ import annotations

from basilwick.core.dispatch.known_items import ItemVersion, KnownItems


def make_items(**revisions):
    items = KnownItems()
    for key, revision in revisions.items():
        items.record(ItemVersion(key, b"v", revision))
    items.record_listing(revisions, max(revisions.values()))
    return items


def list_keys(missing):
    return {item.key for item in missing.items}


def test_an_older_version_never_replaces_a_newer_one():
    items = make_items(a=5)
    assert not items.record(ItemVersion("a", b"old", 4))
    assert not items.record(ItemVersion("a", b"again", 5))
    assert items.find("a").value == b"v"


def test_changes_after_a_revision_are_listed():
    items = make_items(a=3, b=5)
    items.record(ItemVersion("a", b"new", 7))
    missing = items.list_missing(5)
    assert not missing.complete
    assert list_keys(missing) == {"a"}


def test_an_instance_that_knows_nothing_gets_all_existing_items():
    items = make_items(a=3, b=5)
    items.record(ItemVersion("b", None, 6))
    missing = items.list_missing(-1)
    assert missing.complete
    assert list_keys(missing) == {"a"}


def test_a_removal_is_among_the_missing_changes():
    """An instance went on using a server that had left while it was not linked."""
    items = make_items(a=3, b=5)
    items.record(ItemVersion("b", None, 6))
    (removed,) = items.list_missing(5).items
    assert removed == ItemVersion("b", None, 6)


def test_an_item_missing_from_a_listing_counts_as_removed():
    items = make_items(a=3, b=5)
    items.record_listing({"a"}, 9)
    assert items.find("b").value is None
    assert list_keys(items.list_missing(5)) == {"b"}


def test_an_item_newer_than_a_listing_is_kept():
    items = make_items(a=3)
    items.record(ItemVersion("b", b"v", 8))
    items.record_listing({"a"}, 7)
    assert items.find("b").value == b"v"


def test_forgotten_removals_are_made_up_for_by_a_complete_list():
    items = make_items(a=1)
    for number in range(3000):
        items.record(ItemVersion(f"s{number}", b"v", 2 + 2 * number))
        items.record(ItemVersion(f"s{number}", None, 3 + 2 * number))
    assert items.list_missing(1).complete
    missing = items.list_missing(4000)
    assert not missing.complete
    assert len(missing.items) < 2001


def test_instances_of_an_earlier_era_get_all_items():
    """What a restored service lacks was taken for removed by its operators."""
    items = make_items(a=3, b=5)
    items.begin_era(109)
    items.record(ItemVersion("a", b"v", 103))
    items.record_listing({"a"}, 109)
    missing = items.list_missing(5)
    assert missing.complete
    assert list_keys(missing) == {"a"}
    assert not items.list_missing(109).complete
