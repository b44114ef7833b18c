package loadbalancer.testbed.capacity;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;
import loadbalancer.membership.MembershipTiming;
import loadbalancer.membership.MembershipView;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;

/**
 * A balancer without a data path: the module, membership and duties as balancers run them, with no
 * sockets of clients or upstreams. One process of it; a restarted one is a new object. Used by one
 * thread.
 */
final class HollowBalancer implements RoutingActions {
    // µs until an asked list comes
    private static final long LIST_FETCH_MICROS = 5_000;
    private static final long HEALTH_CHECK_MICROS = 2_000;

    private final BalancerHost host;
    private final FleetSpec fleetSpec;
    private final int rank;
    private final CostCounters counters;
    // Null: none of it
    private final RoutingPolicy routingPolicy;
    private final RequestGenerator requestGenerator;
    // Likewise
    private final Membership membership;
    private final LeaseManager leaseManager;
    private final DeadlineTimer membershipTimer;
    private final DeadlineTimer leaseTimer;
    private final Queue<OutgoingDatagram> outbox = new ArrayDeque<>();
    private boolean stopped;

    private record OutgoingDatagram(int peer, byte[] data) {}

    /** {@code incarnation}: the wall clock in ms at its start; {@code counters} has its costs. */
    HollowBalancer(
            BalancerHost host,
            FleetSpec fleetSpec,
            int rank,
            long incarnation,
            long seed,
            CostCounters counters) {
        this.host = host;
        this.fleetSpec = fleetSpec;
        this.rank = rank;
        this.counters = counters;
        int fleetSize = fleetSpec.balancers();
        routingPolicy =
                fleetSpec.components().contains(BalancerComponent.ROUTING)
                        ? new RoutingEngine(fleetSpec.settings(rank), seed)
                        : null;
        requestGenerator =
                routingPolicy == null || fleetSpec.requestsPerSecond() <= 0
                        ? null
                        : new RequestGenerator(
                                routingPolicy,
                                this,
                                host,
                                fleetSpec,
                                rank,
                                new SplittableRandom(seed));
        membership =
                fleetSpec.components().contains(BalancerComponent.MEMBERSHIP)
                        ? new Membership(
                                rank, fleetSize, MembershipTiming.DEFAULT, incarnation, host.now())
                        : null;
        leaseManager =
                fleetSpec.components().contains(BalancerComponent.LEASES)
                        ? new LeaseManager(
                                rank,
                                fleetSize,
                                LeaseTiming.DEFAULT,
                                List.of(),
                                false,
                                incarnation,
                                incarnation << 14 ^ seed ^ rank,
                                host.now())
                        : null;
        membershipTimer =
                new DeadlineTimer(
                        host,
                        () ->
                                runCharged(
                                        CostCategory.MEMBERSHIP,
                                        () -> applyMembershipActions(membership.tick(host.now()))));
        leaseTimer =
                new DeadlineTimer(
                        host,
                        () ->
                                runCharged(
                                        CostCategory.LEASES,
                                        () -> applyLeaseActions(leaseManager.tick(host.now()))));
    }

    /** Begins: takes the list that it has and asks who is there. */
    void start() {
        if (routingPolicy != null) {
            List<Endpoint> servers = fleetSpec.servers();
            runCharged(
                    CostCategory.ENDPOINT_LIST,
                    () ->
                            routingPolicy.onEndpointList(
                                    host.now(), EndpointListKind.CACHED, servers, this));
        }
        if (membership != null) {
            membershipTimer.schedule(membership.nextTickMicros());
        }
        if (leaseManager != null) {
            runCharged(
                    CostCategory.LEASES,
                    () -> {
                        leaseManager.onReachable(host.now());
                        applyLeaseActions(leaseManager.tick(host.now()));
                    });
        }
        if (requestGenerator != null) {
            requestGenerator.start();
        }
    }

    /** Ends without a word. */
    void kill() {
        stopped = true;
    }

    /** Says that it leaves, and ends. */
    void leave() {
        if (leaseManager != null) {
            runCharged(
                    CostCategory.LEASES, () -> applyLeaseActions(leaseManager.leave(host.now())));
        }
        if (membership != null) {
            runCharged(
                    CostCategory.MEMBERSHIP,
                    () -> applyMembershipActions(membership.leave(host.now())));
        }
        stopped = true;
    }

    boolean isRunning() {
        return !stopped;
    }

    CostCounters counters() {
        return counters;
    }

    /** Requests a second that the others get, as the module knows; NaN where it doesn't. */
    double remoteRate() {
        return routingPolicy == null || stopped
                ? Double.NaN
                : routingPolicy.remoteRequestsPerSecond();
    }

    /** A datagram has come. */
    void onDatagram(int sender, byte[] data) {
        if (stopped) {
            return;
        }
        CostCategory category = CostCategory.ofDatagram(data);
        counters.received(category, data.length);
        runCharged(
                category,
                () -> {
                    if (category == CostCategory.MEMBERSHIP && membership != null) {
                        applyMembershipActions(
                                membership.onPeerMessage(
                                        host.now(),
                                        sender,
                                        MembershipMessage.decode(data).orElseThrow()));
                    } else if (category == CostCategory.LEASES && leaseManager != null) {
                        applyLeaseActions(
                                leaseManager.onPeerMessage(
                                        host.now(),
                                        sender,
                                        LeaseMessage.decode(data).orElseThrow()));
                    } else if (routingPolicy != null) {
                        routingPolicy.onPeerMessage(host.now(), sender, data, this);
                    }
                });
    }

    /** News of the list has come. */
    void onListUpdate(List<Endpoint> changes) {
        if (routingPolicy != null) {
            runCharged(
                    CostCategory.ENDPOINT_LIST,
                    () ->
                            routingPolicy.onEndpointList(
                                    host.now(), EndpointListKind.DELTA, changes, this));
        }
    }

    /**
     * Does some of the balancer's work, unless it has ended: its time counts, that of sending
     * doesn't.
     */
    private void runCharged(CostCategory category, Runnable work) {
        if (stopped) {
            return;
        }
        long startNanos = System.nanoTime();
        work.run();
        counters.addElapsed(category, System.nanoTime() - startNanos);
        for (OutgoingDatagram datagram = outbox.poll();
                datagram != null;
                datagram = outbox.poll()) {
            counters.sent(
                    CostCategory.ofDatagram(datagram.data),
                    datagram.data.length,
                    datagram.peer < 0 ? fleetSpec.balancers() - 1 : 1);
            host.send(datagram.peer, datagram.data);
        }
    }

    /** Work of the module, from its requests. */
    void runRouting(Runnable work) {
        runCharged(CostCategory.ROUTING, work);
    }

    void countRequest(boolean served) {
        counters.countRequest();
        if (!served) {
            counters.unservedRequests();
        }
    }

    private void applyMembershipActions(List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Send send) {
                outbox.add(new OutgoingDatagram(send.to(), send.message().encode()));
            } else if (action instanceof Membership.ViewChanged changed) {
                host.onMemberUpdate(changed.update());
                updatePresence(changed.view());
            }
        }
        membershipTimer.schedule(membership.nextTickMicros());
    }

    private void updatePresence(MembershipView view) {
        if (leaseManager != null) {
            applyLeaseActions(leaseManager.onMembershipChanged(host.now(), view::isPresent));
        }
    }

    private void applyLeaseActions(List<LeaseManager.Action> actions) {
        for (LeaseManager.Action action : actions) {
            if (action instanceof LeaseManager.Send send) {
                outbox.add(new OutgoingDatagram(send.to(), send.message().encode()));
            } else if (action instanceof LeaseManager.Persist) {
                throw new IllegalStateException("nothing is kept here: n" + rank);
            }
        }
        leaseTimer.schedule(leaseManager.nextTickMicros());
    }

    // ------------------------------------------------------------ what the module asks for

    @Override
    public void sendToPeer(int peer, byte[] data) {
        outbox.add(new OutgoingDatagram(peer, data));
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        host.after(
                Math.max(1, delayMicros),
                () ->
                        runCharged(
                                CostCategory.ROUTING,
                                () -> routingPolicy.onTimer(host.now(), this)));
    }

    @Override
    public void fetchEndpointList() {
        host.after(
                LIST_FETCH_MICROS,
                () -> {
                    List<Endpoint> servers = fleetSpec.servers();
                    runCharged(
                            CostCategory.ENDPOINT_LIST,
                            () ->
                                    routingPolicy.onEndpointList(
                                            host.now(), EndpointListKind.COMPLETE, servers, this));
                });
    }

    @Override
    public void checkHealth(String endpointId) {
        host.after(
                HEALTH_CHECK_MICROS,
                () ->
                        runCharged(
                                CostCategory.ROUTING,
                                () ->
                                        routingPolicy.onHealthCheckResult(
                                                host.now(),
                                                endpointId,
                                                AttemptOutcome.OK,
                                                HEALTH_CHECK_MICROS,
                                                null,
                                                this)));
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        requestGenerator.startAttempt(requestId);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        requestGenerator.rejectRequest(requestId);
    }

    @Override
    public void fail(String requestId) {
        requestGenerator.rejectRequest(requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        requestGenerator.cancelAttempt(requestId, attempt);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        // Lists are pushed here.
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        // No connection is open here.
    }

    @Override
    public void log(String line) {
        // Nobody reads them: what they tell of is counted.
    }
}
