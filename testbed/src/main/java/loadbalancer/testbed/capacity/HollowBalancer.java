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
 * Runs one process of a hollow balancer: the same routing policy, membership and leases as in a
 * real balancer, without a data path. Each restart creates a new object. Confined to the thread of
 * its host.
 */
final class HollowBalancer implements RoutingActions {
    // Simulated durations of fetching an endpoint list and of a health check
    private static final long LIST_FETCH_MICROS = 5_000;
    private static final long HEALTH_CHECK_MICROS = 2_000;

    private final BalancerHost host;
    private final FleetSpec fleetSpec;
    private final int rank;
    private final CostCounters counters;
    // The components and the request generator; each is null if the balancer does not have it.
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
     * @param rank the number of the balancer, from 0
     * @param incarnation the wall-clock time at the start, ms
     * @param seed the seed of the random numbers of the policy and of the requests
     * @param counters the counters for the costs of all processes of this balancer
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
                                runMeasured(
                                        CostCategory.MEMBERSHIP,
                                        () -> applyMembershipActions(membership.tick(host.now()))));
        leaseTimer =
                new DeadlineTimer(
                        host,
                        () ->
                                runMeasured(
                                        CostCategory.LEASES,
                                        () -> applyLeaseActions(leaseManager.tick(host.now()))));
    }

    /** Starts the process with a cached endpoint list, and joins membership and leases. */
    void start() {
        if (routingPolicy != null) {
            List<Endpoint> endpoints = fleetSpec.endpoints();
            runMeasured(
                    CostCategory.ENDPOINT_LIST,
                    () ->
                            routingPolicy.onEndpointList(
                                    host.now(), EndpointListKind.CACHED, endpoints, this));
        }
        if (membership != null) {
            membershipTimer.schedule(membership.nextTickMicros());
        }
        if (leaseManager != null) {
            runMeasured(
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

    /** Ends the process without notifying the others. */
    void kill() {
        stopped = true;
    }

    /** Notifies the others that this balancer leaves, and ends the process. */
    void leave() {
        if (leaseManager != null) {
            runMeasured(
                    CostCategory.LEASES, () -> applyLeaseActions(leaseManager.leave(host.now())));
        }
        if (membership != null) {
            runMeasured(
                    CostCategory.MEMBERSHIP,
                    () -> applyMembershipActions(membership.leave(host.now())));
        }
        stopped = true;
    }

    /** Returns whether the process has not ended. */
    boolean isRunning() {
        return !stopped;
    }

    /** Returns the counters for the costs of all processes of this balancer. */
    CostCounters counters() {
        return counters;
    }

    /**
     * Returns the total requests per second of the other balancers, as the routing policy estimates
     * it; NaN if the process has ended or has no routing policy.
     */
    double remoteRate() {
        return routingPolicy == null || stopped
                ? Double.NaN
                : routingPolicy.remoteRequestsPerSecond();
    }

    /** Handles a received datagram. */
    void onDatagram(int sender, byte[] data) {
        if (stopped) {
            return;
        }
        CostCategory category = CostCategory.ofDatagram(data);
        counters.countReceived(category, data.length);
        runMeasured(
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

    /** Handles an update of the endpoint list. */
    void onListUpdate(List<Endpoint> changes) {
        if (routingPolicy != null) {
            runMeasured(
                    CostCategory.ENDPOINT_LIST,
                    () ->
                            routingPolicy.onEndpointList(
                                    host.now(), EndpointListKind.DELTA, changes, this));
        }
    }

    /**
     * Runs work of this balancer unless the process has ended, and then sends the datagrams that
     * the work has produced. The elapsed time of the work is counted; the time of sending is not.
     */
    private void runMeasured(CostCategory category, Runnable work) {
        if (stopped) {
            return;
        }
        long startNanos = System.nanoTime();
        work.run();
        counters.addElapsed(category, System.nanoTime() - startNanos);
        for (OutgoingDatagram datagram = outbox.poll();
                datagram != null;
                datagram = outbox.poll()) {
            counters.countSent(
                    CostCategory.ofDatagram(datagram.data),
                    datagram.data.length,
                    datagram.peer < 0 ? fleetSpec.balancers() - 1 : 1);
            host.send(datagram.peer, datagram.data);
        }
    }

    /** Runs work of the routing policy for a request. */
    void runRoutingWork(Runnable work) {
        runMeasured(CostCategory.ROUTING, work);
    }

    /**
     * Counts a request that has ended; {@code served} is false if it was rejected or has failed.
     */
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
                updateLeaseMembers(changed.view());
            }
        }
        membershipTimer.schedule(membership.nextTickMicros());
    }

    private void updateLeaseMembers(MembershipView view) {
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
        host.runAfter(
                Math.max(1, delayMicros),
                () ->
                        runMeasured(
                                CostCategory.ROUTING,
                                () -> routingPolicy.onTimer(host.now(), this)));
    }

    @Override
    public void fetchEndpointList() {
        host.runAfter(
                LIST_FETCH_MICROS,
                () -> {
                    List<Endpoint> endpoints = fleetSpec.endpoints();
                    runMeasured(
                            CostCategory.ENDPOINT_LIST,
                            () ->
                                    routingPolicy.onEndpointList(
                                            host.now(),
                                            EndpointListKind.COMPLETE,
                                            endpoints,
                                            this));
                });
    }

    @Override
    public void checkHealth(String endpointId) {
        host.runAfter(
                HEALTH_CHECK_MICROS,
                () ->
                        runMeasured(
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
        // The fleet always delivers updates.
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        // A hollow balancer has no connections.
    }

    @Override
    public void log(String line) {
        // Log lines are discarded; the experiment reports metrics instead.
    }
}
