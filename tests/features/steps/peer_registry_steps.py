import itertools

from behave import then

from egretcart.direct.connection.messages import EntryHello
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.peer_registry import PeerRegistry


class FakeLink:
    def __init__(self, dialled_by):
        self.dialled_by = dialled_by
        self.is_closed = False

    def close(self):
        self.is_closed = True


def hello_of(entry_id, incarnation=1):
    address = PeerAddress(host=f"10.0.0.{entry_id[-1]}", port=7720)
    return EntryHello(
        entry_id=entry_id, incarnation=incarnation, address=address
    )


def adopt(registry, peer_id, dialled_by, incarnation=1):
    link = FakeLink(dialled_by)
    registry.adopt(hello_of(peer_id, incarnation), link, dialled_by=dialled_by)
    return link


@then("both keep the one that the lower id has opened, whatever the order")
def check_both(context):
    diallers = ("entry-1", "entry-2")
    for first, second in itertools.product(
        itertools.permutations(diallers), repeat=2
    ):
        lower = PeerRegistry(entry_id="entry-1")
        higher = PeerRegistry(entry_id="entry-2")
        links = [adopt(lower, "entry-2", by) for by in first]
        links += [adopt(higher, "entry-1", by) for by in second]
        for registry, peer_id in ((lower, "entry-2"), (higher, "entry-1")):
            assert registry.links[peer_id].dialled_by == "entry-1"
            assert not registry.links[peer_id].is_closed
        closed = [link.dialled_by for link in links if link.is_closed]
        assert closed == ["entry-2"] * 2, closed


@then("a newer link of the same entry replaces its former one")
def check_newer(context):
    registry = PeerRegistry(entry_id="entry-2")
    former = adopt(registry, "entry-1", "entry-1")
    newer = adopt(registry, "entry-1", "entry-1")
    assert former.is_closed
    assert registry.links["entry-1"] is newer
    assert not registry.discard("entry-1", former)


@then("a link of a new incarnation replaces the former one")
def check_incarnation(context):
    registry = PeerRegistry(entry_id="entry-1")
    former = adopt(registry, "entry-2", "entry-1")
    newer = adopt(registry, "entry-2", "entry-2", incarnation=2)
    assert former.is_closed
    assert registry.links["entry-2"] is newer


@then("it is not dialled again before that link has ended")
def check_wanted(context):
    registry = PeerRegistry(entry_id="entry-1")
    endpoint = hello_of("entry-2").address.endpoint
    assert not registry.is_wanted(endpoint)
    registry.known[endpoint] = ""
    assert registry.is_wanted(endpoint)
    link = adopt(registry, "entry-2", "entry-2")
    assert not registry.is_wanted(endpoint)
    assert registry.discard("entry-2", link)
    assert registry.is_wanted(endpoint)
    adopt(registry, "entry-2", "entry-1")
    assert registry.is_wanted(endpoint)
    registry.close("entry-2")
    assert not registry.links


@then("an entry that was unreachable for long is forgotten")
def check_forgotten(context):
    registry = PeerRegistry(entry_id="entry-1")
    registry.known["10.0.0.2", 7720] = "domain"
    registry.mark_unreachable(("10.0.0.2", 7720))
    assert registry.is_wanted(("10.0.0.2", 7720))
    registry.remove(("10.0.0.2", 7720))
    assert not registry.is_wanted(("10.0.0.2", 7720))
