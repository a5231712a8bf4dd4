"""Check heartbeats, gossip and proofs that a process has ended."""

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


def heartbeat(draining=False, known=()):
    return messages.Heartbeat(1, draining, 0, [], list(known))


def ack(number, draining=False):
    return messages.HeartbeatAck(number, draining, 0, [], [])


def deliver_heartbeat(members_, host, now, zone='z0', **more):
    members_.on_heartbeat(host, zone, '127.0.0.1', 1, heartbeat(**more), now)


def test_an_unresponsive_host_is_suspected():
    members_ = new_members()
    deliver_heartbeat(members_, A1, 1.0)
    assert members_.members(1.0)[0].alive
    assert not members_.members(1.0 + PACING.suspect_after)[0].alive


def test_an_ack_proves_the_end_of_older_processes_only():
    members_ = new_members()
    deliver_heartbeat(members_, A1, 1.0)
    (sent,) = members_.tick(2.0)
    proof = members_.on_ack(A2, ack(sent.number), 3.0)
    assert (proof.sent_at, proof.ended) == (2.0, [A1])


def test_a_process_known_after_the_heartbeat_isnt_proved_ended():
    members_ = new_members()
    members_.on_listing([entry('a')], 0.0)
    (sent,) = members_.tick(1.0)
    deliver_heartbeat(members_, A1, 2.0)
    assert members_.on_ack(A2, ack(sent.number), 3.0).ended == []


def test_an_ack_counts_once():
    members_ = new_members()
    deliver_heartbeat(members_, A1, 1.0)
    (sent,) = members_.tick(2.0)
    assert members_.on_ack(A1, ack(sent.number), 3.0)
    assert members_.on_ack(A1, ack(sent.number), 4.0) is None


def test_a_new_incarnation_isnt_draining():
    members_ = new_members()
    deliver_heartbeat(members_, A1, 1.0, draining=True)
    deliver_heartbeat(members_, A1, 2.0)
    assert members_.members(2.0)[0].draining
    deliver_heartbeat(members_, A2, 3.0)
    assert not members_.members(3.0)[0].draining


def test_the_host_list_proves_an_end_only_after_its_lag():
    members_ = new_members()
    deliver_heartbeat(members_, A1, 1.0)
    assert members_.on_listing([], 2.0) == []
    assert members_.on_listing([], 1.9 + PACING.list_lag) == []
    ended = members_.on_listing([], 2.0 + PACING.list_lag)
    assert A1 in ended


def test_a_host_with_heartbeats_isnt_ended_by_the_host_list():
    members_ = new_members()
    deliver_heartbeat(members_, A1, 1.0)
    members_.on_listing([], 2.0)
    deliver_heartbeat(members_, A1, 50.0)
    assert members_.on_listing([], 2.0 + PACING.list_lag) == []


def test_absence_of_a_holder_named_only_in_the_log_is_detected():
    members_ = new_members()
    members_.on_named_in_log(A1, 'z0', 1.0)
    members_.on_listing([], 2.0)
    assert A1 in members_.on_listing([], 2.0 + PACING.list_lag)


def test_hosts_known_by_gossip_expire():
    members_ = new_members()
    known = messages.KnownHost('b', '1', 'z9', '127.0.0.1', 2, 5.0)
    deliver_heartbeat(members_, A1, 10.0, known=[known])
    (other,) = [m for m in members_.members(10.0) if m.host.name == 'b']
    assert other.alive
    late = 5.0 + PACING.foreign_suspect_after
    assert not [m for m in members_.members(late) if m.alive]
    members_.on_listing([], late)
    members_.tick(11.0 + PACING.forget_after)
    assert members_.members(200.0) == []


def zones(count, hosts):
    """Return the hosts of all zones by name, with the Members of each."""
    system = {}
    for zone in range(count):
        for number in range(hosts):
            host = places.HostId(f'h{zone}-{number}', '1')
            system[host.name] = (host, new_members(host, f'z{zone}'))
    listing = [entry(name, name[1:].split('-')[0]) for name in system]
    listing = [entry(name, f'z{name[1:].split("-")[0]}') for name in system]
    for _, members_ in system.values():
        members_.on_listing(listing, 0.0)
    return system


def exchange(system, seconds):
    """Deliver heartbeats without delay; return how many were sent."""
    sent = 0
    for step in range(int(seconds * 2)):
        now = step / 2
        for host, members_ in system.values():
            zone = f'z{host.name[1:].split("-")[0]}'
            for each in members_.tick(now):
                sent += 1
                peer, other = system[each.name]
                message = heartbeat(known=each.known_hosts)
                other.on_heartbeat(host, zone, '127.0.0.1', 1, message, now)
                known = other.known_hosts(now)
                reply = messages.HeartbeatAck(each.number, 0, 0, [], known)
                members_.on_ack(peer, reply, now)
    return sent


def test_all_zones_discover_each_other_with_few_heartbeats():
    system = zones(23, 3)
    sent = exchange(system, 30.0)
    for _, members_ in system.values():
        alive = [m for m in members_.members(30.0) if m.alive]
        assert len(alive) == len(system) - 1
    per_host_and_second = sent / len(system) / 30.0
    assert per_host_and_second <= 2 / 0.5 + PACING.foreign_fanout / 1.5


def test_the_number_of_hosts_is_bounded():
    members_ = new_members()
    for number in range(PACING.max_hosts + 10):
        deliver_heartbeat(members_, places.HostId(f'x{number}', '1'), 1.0)
    assert len(members_.members(1.0)) == PACING.max_hosts
