package junctionhead.lab.capacity;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import junctionhead.Balance;
import junctionhead.Policy;
import junctionhead.duties.Duties;
import junctionhead.duties.Terms;
import junctionhead.duties.Word;
import junctionhead.membership.Membership;
import junctionhead.membership.Message;
import junctionhead.membership.Timing;
import junctionhead.membership.View;

/**
 * A balancer without a data path: the module, membership and duties as balancers run them, with no
 * sockets of clients or upstreams. One process of it; a restarted one is a new object. Used by one
 * thread.
 */
final class HollowBalancer implements Policy.Actions {
    // µs until an asked list comes
    private static final long LIST_AFTER = 5_000;
    private static final long PROBE_TAKES = 2_000;

    private final Host host;
    private final Site site;
    private final int rank;
    private final Ledger ledger;
    // Null: none of it
    private final Policy module;
    private final Requests requests;
    // Likewise
    private final Membership members;
    private final Duties duties;
    private final Alarm membersAlarm;
    private final Alarm dutiesAlarm;
    private final Queue<Letter> outbox = new ArrayDeque<>();
    private boolean ended;

    private record Letter(int peer, byte[] data) {}

    /** {@code incarnation}: the wall clock in ms at its start; {@code ledger} has its costs. */
    HollowBalancer(Host host, Site site, int rank, long incarnation, long seed, Ledger ledger) {
        this.host = host;
        this.site = site;
        this.rank = rank;
        this.ledger = ledger;
        int size = site.balancers();
        module = site.parts().contains(Part.MODULE) ? new Balance(site.settings(rank), seed) : null;
        requests =
                module == null || site.rate() <= 0
                        ? null
                        : new Requests(module, this, host, site, rank, new SplittableRandom(seed));
        members =
                site.parts().contains(Part.MEMBERSHIP)
                        ? new Membership(rank, size, Timing.USUAL, incarnation, host.now())
                        : null;
        duties =
                site.parts().contains(Part.DUTIES)
                        ? new Duties(
                                rank,
                                size,
                                Terms.USUAL,
                                null,
                                false,
                                incarnation,
                                incarnation << 14 ^ seed ^ rank,
                                host.now())
                        : null;
        membersAlarm =
                new Alarm(host, () -> charge(Kind.MEMBERSHIP, () -> act(members.tick(host.now()))));
        dutiesAlarm =
                new Alarm(host, () -> charge(Kind.DUTIES, () -> work(duties.tick(host.now()))));
    }

    /** Begins: takes the list that it has and asks who is there. */
    void start() {
        if (module != null) {
            List<Policy.Server> list = site.servers();
            charge(
                    Kind.LIST,
                    () -> module.servers(host.now(), Policy.ListKind.PERSISTED, list, this));
        }
        if (members != null) {
            membersAlarm.set(members.next());
        }
        if (duties != null) {
            charge(
                    Kind.DUTIES,
                    () -> {
                        duties.opened(host.now());
                        work(duties.tick(host.now()));
                    });
        }
        if (requests != null) {
            requests.begin();
        }
    }

    /** Ends without a word. */
    void kill() {
        ended = true;
    }

    /** Says that it leaves, and ends. */
    void leave() {
        if (duties != null) {
            charge(Kind.DUTIES, () -> work(duties.leave(host.now())));
        }
        if (members != null) {
            charge(Kind.MEMBERSHIP, () -> act(members.leave(host.now())));
        }
        ended = true;
    }

    boolean runs() {
        return !ended;
    }

    Ledger ledger() {
        return ledger;
    }

    /** Requests a second that the others get, as the module knows; NaN where it doesn't. */
    double othersRate() {
        return module == null || ended ? Double.NaN : module.othersRate();
    }

    /** A datagram has come. */
    void heard(int from, byte[] data) {
        if (ended) {
            return;
        }
        Kind kind = Kind.of(data);
        ledger.received(kind, data.length);
        charge(
                kind,
                () -> {
                    if (kind == Kind.MEMBERSHIP && members != null) {
                        act(members.heard(host.now(), from, Message.decode(data)));
                    } else if (kind == Kind.DUTIES && duties != null) {
                        work(duties.heard(host.now(), from, Word.decode(data)));
                    } else if (module != null) {
                        module.peerMessage(host.now(), from, data, this);
                    }
                });
    }

    /** News of the list has come. */
    void listed(List<Policy.Server> changes) {
        if (module != null) {
            charge(
                    Kind.LIST,
                    () -> module.servers(host.now(), Policy.ListKind.PARTIAL, changes, this));
        }
    }

    /**
     * Does some of the balancer's work, unless it has ended: its time counts, that of sending
     * doesn't.
     */
    private void charge(Kind kind, Runnable work) {
        if (ended) {
            return;
        }
        long from = System.nanoTime();
        work.run();
        ledger.spent(kind, System.nanoTime() - from);
        for (Letter letter = outbox.poll(); letter != null; letter = outbox.poll()) {
            ledger.sent(
                    Kind.of(letter.data),
                    letter.data.length,
                    letter.peer < 0 ? site.balancers() - 1 : 1);
            host.tell(letter.peer, letter.data);
        }
    }

    /** Work of the module, from its requests. */
    void moduleWork(Runnable work) {
        charge(Kind.MODULE, work);
    }

    void counted(boolean served) {
        ledger.request();
        if (!served) {
            ledger.unserved();
        }
    }

    private void act(List<Membership.Act> acts) {
        for (Membership.Act act : acts) {
            if (act instanceof Membership.Send send) {
                outbox.add(new Letter(send.to(), send.message().encode()));
            } else if (act instanceof Membership.Changed changed) {
                host.seen(changed.news());
                present(changed.view());
            }
        }
        membersAlarm.set(members.next());
    }

    private void present(View view) {
        if (duties != null) {
            work(duties.present(host.now(), view::isPresent));
        }
    }

    private void work(List<Duties.Act> acts) {
        for (Duties.Act act : acts) {
            if (act instanceof Duties.Send send) {
                outbox.add(new Letter(send.to(), send.word().encode()));
            } else if (act instanceof Duties.Keep) {
                throw new IllegalStateException("nothing is kept here: n" + rank);
            }
        }
        dutiesAlarm.set(duties.next());
    }

    // ------------------------------------------------------------ what the module asks for

    @Override
    public void tell(int peer, byte[] data) {
        outbox.add(new Letter(peer, data));
    }

    @Override
    public void wakeAfter(long delay) {
        host.after(
                Math.max(1, delay), () -> charge(Kind.MODULE, () -> module.wake(host.now(), this)));
    }

    @Override
    public void fetchList() {
        host.after(
                LIST_AFTER,
                () -> {
                    List<Policy.Server> list = site.servers();
                    charge(
                            Kind.LIST,
                            () -> module.servers(host.now(), Policy.ListKind.COMPLETE, list, this));
                });
    }

    @Override
    public void probe(String server) {
        host.after(
                PROBE_TAKES,
                () ->
                        charge(
                                Kind.MODULE,
                                () ->
                                        module.probed(
                                                host.now(),
                                                server,
                                                Policy.Outcome.OK,
                                                PROBE_TAKES,
                                                null,
                                                this)));
    }

    @Override
    public void send(String request, String server, long timeout) {
        requests.send(request);
    }

    @Override
    public void refuse(String request, long retryAfter) {
        requests.unserved(request);
    }

    @Override
    public void fail(String request) {
        requests.unserved(request);
    }

    @Override
    public void cancel(String request, int attempt) {
        requests.cancel(request, attempt);
    }

    @Override
    public void watch(boolean on) {
        // Lists are pushed here.
    }

    @Override
    public void closeIdle(String server) {
        // No connection is open here.
    }

    @Override
    public void remark(String line) {
        // Nobody reads them: what they tell of is counted.
    }
}
