package loadbalancer.testbed.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/** Defines what happens to a fleet during the measurement. Runs on the experiment's thread. */
enum FleetCondition {
    /** Only one event happens: an upstream starts to drain at half of the time. */
    QUIET {
        @Override
        void run(CapacityExperiment experiment) {
            drainOneUpstream(experiment);
        }
    },
    /** Like {@link #QUIET}, but a tenth of the datagrams is lost. */
    LOSS10 {
        @Override
        void run(CapacityExperiment experiment) {
            experiment.fleet().setLossRate(0.1);
            drainOneUpstream(experiment);
        }
    },
    /** The balancers and upstreams of a zone are lost at once, and return at half of the time. */
    ZONE {
        @Override
        void run(CapacityExperiment experiment) {
            int[] lostBalancers =
                    IntStream.range(0, experiment.fleetSpec().balancers())
                            .filter(
                                    balancer ->
                                            experiment.fleetSpec().zoneOfBalancer(balancer) == 0)
                            .toArray();
            IntStream.of(lostBalancers).forEach(experiment.fleet()::kill);
            experiment
                    .fleet()
                    .publishListUpdate(
                            () ->
                                    endpointsOfFirstZone(
                                            experiment.fleetSpec(), EndpointStatus.REMOVED, 0));
            experiment.advance(experiment.lengthMicros() / 2);
            long startMicros = experiment.fleet().now();
            experiment
                    .fleet()
                    .publishListUpdate(
                            () ->
                                    endpointsOfFirstZone(
                                            experiment.fleetSpec(),
                                            EndpointStatus.UP,
                                            startMicros));
            IntStream.of(lostBalancers).forEach(experiment.fleet()::start);
            experiment.advance(experiment.lengthMicros() - experiment.lengthMicros() / 2);
        }
    },
    /**
     * A rolling restart: a tenth of the balancers at a time leaves gracefully. It is started again
     * halfway to the time at which the next tenth leaves.
     */
    RESTARTS {
        @Override
        void run(CapacityExperiment experiment) {
            long stepMicros = experiment.lengthMicros() / RESTART_WAVES;
            for (int wave = 0; wave < RESTART_WAVES; wave++) {
                int currentWave = wave;
                int[] restarted =
                        IntStream.range(0, experiment.fleetSpec().balancers())
                                .filter(balancer -> balancer % RESTART_WAVES == currentWave)
                                .toArray();
                IntStream.of(restarted).forEach(experiment.fleet()::leave);
                experiment.advance(stepMicros / 2);
                IntStream.of(restarted).forEach(experiment.fleet()::start);
                experiment.advance(stepMicros - stepMicros / 2);
            }
        }
    },
    /** A partition into halves, which heals at half of the time. */
    HALVES {
        @Override
        void run(CapacityExperiment experiment) {
            int half = experiment.fleetSpec().balancers() / 2;
            experiment.fleet().partition(balancer -> balancer < half);
            long nowMicros = experiment.fleet().now();
            for (int balancer = 0; balancer < experiment.fleetSpec().balancers(); balancer++) {
                boolean inLowerHalf = balancer < half;
                experiment
                        .fleet()
                        .detections()
                        .memberDied(
                                balancer, nowMicros, observer -> observer < half != inLowerHalf);
            }
            experiment.advance(experiment.lengthMicros() / 2);
            experiment.fleet().partition(balancer -> true);
            for (int balancer = 0; balancer < experiment.fleetSpec().balancers(); balancer++) {
                boolean inLowerHalf = balancer < half;
                experiment
                        .fleet()
                        .detections()
                        .memberReturned(
                                balancer,
                                experiment.fleet().now(),
                                0,
                                observer -> observer < half != inLowerHalf);
            }
            experiment.advance(experiment.lengthMicros() - experiment.lengthMicros() / 2);
        }
    };

    private static final int RESTART_WAVES = 10;

    /** Applies the condition for exactly the length of the experiment. */
    abstract void run(CapacityExperiment experiment);

    /** Returns the name on the command line and in keys of metrics. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    private static void drainOneUpstream(CapacityExperiment experiment) {
        experiment.advance(experiment.lengthMicros() / 2);
        experiment
                .fleet()
                .publishListUpdate(
                        () ->
                                List.of(
                                        experiment
                                                .fleetSpec()
                                                .endpoint(0, EndpointStatus.DRAINING, 0)));
        experiment.advance(experiment.lengthMicros() - experiment.lengthMicros() / 2);
    }

    private static List<Endpoint> endpointsOfFirstZone(
            FleetSpec fleetSpec, EndpointStatus status, long startMicros) {
        return IntStream.range(0, fleetSpec.upstreams())
                .filter(upstream -> fleetSpec.zoneOfUpstream(upstream) == 0)
                .mapToObj(upstream -> fleetSpec.endpoint(upstream, status, startMicros))
                .toList();
    }
}
