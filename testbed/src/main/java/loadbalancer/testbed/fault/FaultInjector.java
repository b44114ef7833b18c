package loadbalancer.testbed.fault;

import java.util.function.Consumer;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RunClock;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * Starts and ends the faults of a plan in an environment. Confined to the thread that executes the
 * run.
 *
 * @param <U> the type of the environment's upstreams
 */
public final class FaultInjector<U extends FaultableUpstream> {
    private final WorkloadPlan plan;
    private final FaultableEnvironment<U> environment;

    /** Creates an injector that applies no faults before {@link #scheduleFaults} is called. */
    public FaultInjector(WorkloadPlan plan, FaultableEnvironment<U> environment) {
        this.plan = plan;
        this.environment = environment;
    }

    /** Schedules the start and the end of each fault of the plan. */
    public void scheduleFaults(RunClock clock) {
        for (WorkloadPlan.Fault fault : plan.faults()) {
            clock.schedule(fault.startMicros(), () -> applyFault(fault, true));
            if (fault.endMicros() >= 0) {
                clock.schedule(fault.endMicros(), () -> applyFault(fault, false));
            }
        }
    }

    /** Starts the fault now if {@code active}, otherwise ends it. */
    public void applyFault(WorkloadPlan.Fault fault, boolean active) {
        Scenario.FaultSpec spec = fault.spec();
        switch (fault.kind()) {
            case KILL, TERM -> environment.setProcessesDown(fault, active);
            case PAUSE -> environment.setProcessesPaused(fault, active);
            case CUT, LOSS, DELAY, REPEAT, REORDER, THIN ->
                    environment.applyLinkFault(fault, active);
            case REFUSE -> environment.setRefusing(fault, active);
            case RESET -> {
                if (active) {
                    environment.resetConnections(fault);
                }
            }
            case CRASH -> forEachUpstream(fault, upstream -> setCrashed(upstream, active));
            case VANISH -> forEachUpstream(fault, upstream -> upstream.setVanished(active));
            case SLOW -> {
                double factor = active ? spec.amount() : 1;
                forEachUpstream(fault, upstream -> upstream.service().setSlowdownFactor(factor));
            }
            case HANG -> forEachUpstream(fault, upstream -> upstream.service().setHanging(active));
            case FAIL ->
                    forEachUpstream(
                            fault,
                            upstream -> upstream.service().setFailing(spec.requestClass(), active));
            case REPLACE -> forEachUpstream(fault, upstream -> replace(upstream, active));
            case LATE -> {
                long deltaMicros = Math.round((active ? 1e3 : -1e3) * spec.delayMs());
                forEachDiscoveryAgent(fault, agent -> agent.addExtraDelayMicros(deltaMicros));
            }
            case STALE -> forEachDiscoveryAgent(fault, agent -> agent.setStale(active));
            case SILENT -> forEachDiscoveryAgent(fault, agent -> agent.setSilent(active));
            case DENY -> forEachDiscoveryAgent(fault, agent -> agent.setRefusing(active));
        }
    }

    private void forEachUpstream(WorkloadPlan.Fault fault, Consumer<U> change) {
        fault.upstreams().forEach(number -> change.accept(environment.upstream(number)));
    }

    private void forEachDiscoveryAgent(
            WorkloadPlan.Fault fault, Consumer<FaultableDiscoveryAgent> change) {
        fault.balancers().forEach(balancer -> change.accept(environment.discoveryAgent(balancer)));
    }

    private void setCrashed(U upstream, boolean crashed) {
        if (crashed) {
            environment.crash(upstream);
            environment.publish(upstream, EndpointStatus.REMOVED);
        } else {
            upstream.start();
            environment.publish(upstream, EndpointStatus.UP);
        }
    }

    private void replace(U upstream, boolean draining) {
        if (draining) {
            upstream.service().startDraining();
            environment.publish(upstream, EndpointStatus.DRAINING);
            return;
        }
        environment.crash(upstream);
        environment.publish(upstream, EndpointStatus.REMOVED);
        U successor = environment.upstream(plan.successor(upstream.spec().number()).number());
        successor.start();
        environment.publish(successor, EndpointStatus.UP);
    }
}
