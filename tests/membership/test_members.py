"""Check heartbeats, hearsay and proofs that a process has ended."""

import random

from hibiscusslip.membership import members
from hibiscusslip.membership import pacing
from hibiscusslip.model import places
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform

PACING = pacing.Pacing()
ME = places.HostId('me', '1')
A1 = places.HostId('a', '1')
A2 = places.HostId('a', '2')


def new_members(me=ME, zone='z0'):
    return members.Members(me, zone, PACING, random.Random(1), 0.0)


def entry(name, zone='z0', state=places.EndpointState.LIVE):
    return platform.EntryHostInfo(name, zone, '127.0.0.1', 1, state)


def beat(draining=False, known=()):
    return messages.Heartbeat(1, draining, 0, [], list(known))


def ack(number, draining=False):
    return messages.HeartbeatAck(number, draining, 0, [], [])


def hear(book, host, now, zone='z0', **more):
    book.on_heartbeat(host, zone, '127.0.0.1', 1, beat(**more), now)


def test_a_silent_host_is_suspected():
    book = new_members()
    hear(book, A1, 1.0)
    assert book.members(1.0)[0].alive
    assert not book.members(1.0 + PACING.suspect_after)[0].alive


def test_an_answer_proves_the_end_of_older_processes_only():
    book = new_members()
    hear(book, A1, 1.0)
    (sent,) = book.tick(2.0)
    answered = book.on_ack(A2, ack(sent.number), 3.0)
    assert (answered.asked_at, answered.ended) == (2.0, [A1])


def test_a_process_known_after_the_question_isnt_proved_ended():
    book = new_members()
    book.on_listing([entry('a')], 0.0)
    (sent,) = book.tick(1.0)
    hear(book, A1, 2.0)
    assert book.on_ack(A2, ack(sent.number), 3.0).ended == []


def test_an_answer_counts_once():
    book = new_members()
    hear(book, A1, 1.0)
    (sent,) = book.tick(2.0)
    assert book.on_ack(A1, ack(sent.number), 3.0)
    assert book.on_ack(A1, ack(sent.number), 4.0) is None


def test_draining_ends_with_the_incarnation():
    book = new_members()
    hear(book, A1, 1.0, draining=True)
    hear(book, A1, 2.0)
    assert book.members(2.0)[0].draining
    hear(book, A2, 3.0)
    assert not book.members(3.0)[0].draining


def test_the_list_proves_an_end_only_after_its_lag():
    book = new_members()
    hear(book, A1, 1.0)
    assert book.on_listing([], 2.0) == []
    assert book.on_listing([], 1.9 + PACING.list_lag) == []
    ended = book.on_listing([], 2.0 + PACING.list_lag)
    assert A1 in ended


def test_a_host_that_is_heard_isnt_ended_by_the_list():
    book = new_members()
    hear(book, A1, 1.0)
    book.on_listing([], 2.0)
    hear(book, A1, 50.0)
    assert book.on_listing([], 2.0 + PACING.list_lag) == []


def test_the_holder_that_only_the_log_names_is_looked_for_on_the_list():
    book = new_members()
    book.on_named_in_log(A1, 'z0', 1.0)
    book.on_listing([], 2.0)
    assert A1 in book.on_listing([], 2.0 + PACING.list_lag)


def test_hearsay_ages_and_is_forgotten():
    book = new_members()
    known = messages.KnownHost('b', '1', 'z9', '127.0.0.1', 2, 5.0)
    hear(book, A1, 10.0, known=[known])
    (other,) = [m for m in book.members(10.0) if m.host.name == 'b']
    assert other.alive
    late = 5.0 + PACING.foreign_suspect_after
    assert not [m for m in book.members(late) if m.alive]
    book.on_listing([], late)
    book.tick(11.0 + PACING.forget_after)
    assert book.members(200.0) == []


def zones(count, hosts):
    """Return all members of a system after they exchanged heartbeats."""
    every = {}
    for zone in range(count):
        for number in range(hosts):
            host = places.HostId(f'h{zone}-{number}', '1')
            every[host.name] = (host, new_members(host, f'z{zone}'))
    listing = [entry(name, name[1:].split('-')[0]) for name in every]
    listing = [entry(name, f'z{name[1:].split("-")[0]}') for name in every]
    for _, book in every.values():
        book.on_listing(listing, 0.0)
    return every


def exchange(every, seconds):
    """Deliver all heartbeats at once and return how many there were."""
    sent = 0
    for step in range(int(seconds * 2)):
        now = step / 2
        for host, book in every.values():
            zone = f'z{host.name[1:].split("-")[0]}'
            for each in book.tick(now):
                sent += 1
                peer, other = every[each.name]
                message = beat(known=each.known_hosts)
                other.on_heartbeat(host, zone, '127.0.0.1', 1, message, now)
                known = other.known_hosts(now)
                reply = messages.HeartbeatAck(each.number, 0, 0, [], known)
                book.on_ack(peer, reply, now)
    return sent


def test_all_zones_learn_of_each_other_with_few_heartbeats():
    every = zones(23, 3)
    sent = exchange(every, 30.0)
    for _, book in every.values():
        alive = [m for m in book.members(30.0) if m.alive]
        assert len(alive) == len(every) - 1
    a_host_and_second = sent / len(every) / 30.0
    assert a_host_and_second <= 2 / 0.5 + PACING.foreign_fanout / 1.5


def test_the_number_of_hosts_is_bounded():
    book = new_members()
    for number in range(PACING.max_hosts + 10):
        hear(book, places.HostId(f'x{number}', '1'), 1.0)
    assert len(book.members(1.0)) == PACING.max_hosts
