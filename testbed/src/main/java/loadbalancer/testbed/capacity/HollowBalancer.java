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
 * One process of a hollow balancer: the routing policy, membership and leases as real balancers run
 * them, without a data path. A restarted balancer is a new object. Confined to the thread of its
 * host.
 */
final class HollowBalancer implements RoutingActions {
    // Time until a requested endpoint list or health check is complete
    private static final long LIST_FETCH_MICROS = 5_000;
    private static final long HEALTH_CHECK_MICROS = 2_000;

    private final BalancerHost host;
    private final FleetSpec fleetSpec;
    private final int rank;
    private final CostCounters counters;
    // Each is null if the balancer does not have that component.
    private final RoutingPolicy routingPolicy;
    private final RequestGenerator requestGenerator;
    private final Membership membership;
    private final LeaseManager leaseManager;
    private final DeadlineTimer membershipTimer;
    private final DeadlineTimer leaseTimer;
    private final Queue<OutgoingDatagram> outbox = new ArrayDeque<>();
    private boolean stopped;

    private record OutgoingDatagram(int peer, byte[] data) {}

    /**
     * Creates a process that is not started.
     *
     * @param rank the number of the balancer
     * @param incarnation the wall clock at the start, ms
     * @param seed the seed of the policy's random numbers
     * @param counters count the costs of all processes of this balancer
     */
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

    /** Starts with a cached endpoint list, and joins membership and leases. */
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

    /** Ends without notice to the others. */
    void kill() {
        stopped = true;
    }

    /** Tells the others that it leaves, and ends. */
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

    /** Whether the process has not ended. */
    boolean isRunning() {
        return !stopped;
    }

    /** The costs of all processes of this balancer. */
    CostCounters counters() {
        return counters;
    }

    /** Requests a second of the other balancers as the routing policy knows them, or NaN. */
    double remoteRate() {
        return routingPolicy == null || stopped
                ? Double.NaN
                : routingPolicy.remoteRequestsPerSecond();
    }

    /** Called when a datagram has arrived. */
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

    /** Called when an update of the endpoint list has arrived. */
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
     * Runs some work of this balancer, unless it has ended, then sends the datagrams that the work
     * has produced. The elapsed time of the work is counted, that of sending is not.
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

    /** Runs work of the routing policy that its requests cause. */
    void runRouting(Runnable work) {
        runCharged(CostCategory.ROUTING, work);
    }

    /** Counts a request that has ended. */
    void countRequest(boolean served) {
        counters.countRequest();
        if (!served) {
            counters.countUnservedRequest();
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
                throw new IllegalStateException(
                        "a hollow balancer can't persist promises: n" + rank);
            }
        }
        leaseTimer.schedule(leaseManager.nextTickMicros());
    }

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
        // Updates are always delivered.
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        // A hollow balancer has no connections.
    }

    @Override
    public void log(String line) {
        // Metrics take the place of log lines.
    }
}
