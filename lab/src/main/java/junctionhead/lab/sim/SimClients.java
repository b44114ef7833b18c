package junctionhead.lab.sim;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import junctionhead.lab.measure.Windows;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.rules.Call;
import junctionhead.lab.rules.Order;
import junctionhead.lab.rules.RuleBook;
import junctionhead.lab.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients and fronts in simulated time: who gets which request, who comes again, and when one gives
 * up.
 */
final class SimClients {
    // µs past its time that an answer still counts
    private static final long LATE_SLACK = 70_000;
    // µs a further try must have
    private static final long TIME_LEAST = 20_000;

    private final Timeline time;
    private final Scenario scenario;
    private final RuleBook rules;
    private final Windows windows;
    private final List<SimBalancer> balancers;
    // Whom the front sends clients to
    private final boolean[] in;
    private final long[] refusedSince;
    private final UniformRandomProvider ids;
    private int turn;

    SimClients(
            Timeline time,
            Plan plan,
            RuleBook rules,
            Windows windows,
            List<SimBalancer> balancers) {
        this.time = time;
        this.scenario = plan.scenario();
        this.rules = rules;
        this.windows = windows;
        this.balancers = balancers;
        in = new boolean[scenario.fleet().balancers()];
        refusedSince = new long[in.length];
        Arrays.fill(in, true);
        Arrays.fill(refusedSince, -1);
        ids = Seeds.stream(plan.seed(), "clients");
    }

    /** The front finds that balancer ready. */
    void ready(int balancer) {
        in[balancer] = true;
        refusedSince[balancer] = -1;
    }

    void attempt(Order order) {
        order.another();
        Call call =
                new Call(
                        HexFormat.of()
                                .formatHex(
                                        ByteBuffer.allocate(Long.BYTES)
                                                .putLong(ids.nextLong())
                                                .array()),
                        order,
                        timeLeft(order));
        int b = choose(order.arrival().zone());
        if (b < 0 || !balancers.get(b).alive()) {
            unreachable(b);
            again(call, Order.End.FAILED, 0);
            return;
        }
        rules.taken(call, b, time.now());
        balancers.get(b).take(call);
        boolean hasty = order.arrival().hasty();
        time.after(
                call.deadline() + (hasty ? 0 : LATE_SLACK),
                () -> {
                    if (!call.ended()) {
                        ended(order, Order.End.FAILED);
                        giveUp(call, b, hasty);
                    }
                });
    }

    private void giveUp(Call call, int balancer, boolean hasty) {
        if (hasty) {
            rules.left(call, time.now());
            balancers.get(balancer).gone(call);
            return;
        }
        time.after(
                RuleBook.LOST_AFTER - LATE_SLACK,
                () -> {
                    rules.overdue(call, time.now());
                    balancers.get(balancer).gone(call);
                });
    }

    private long timeLeft(Order order) {
        Scenario.RequestClass kind = scenario.classes().get(order.arrival().requestClass());
        long whole = Math.round(kind.deadlineMs() * 1e3) / (order.arrival().hasty() ? 2 : 1);
        return order.arrival().at() + whole - time.now();
    }

    // The next of its zone, one of another where it has none, or -1.
    private int choose(int zone) {
        int other = -1;
        for (int i = 1; i <= in.length; i++) {
            int b = (turn + i) % in.length;
            if (in[b] && scenario.zoneOfBalancer(b) == zone) {
                turn = b;
                return b;
            }
            other = in[b] && other < 0 ? b : other;
        }
        return other;
    }

    private void unreachable(int b) {
        if (b < 0) {
            return;
        }
        refusedSince[b] = refusedSince[b] < 0 ? time.now() : refusedSince[b];
        if (time.now() - refusedSince[b] >= scenario.load().frontNoticeMs() * 1e3) {
            in[b] = false;
        }
    }

    void answered(Call call, int status, long retryAfter) {
        if (call.ended()) {
            // Its client has left, and hears nothing
            return;
        }
        rules.answered(call, status, true, time.now());
        if (status == 200) {
            ended(call.order(), Order.End.SERVED);
        } else if (status == 503) {
            again(call, Order.End.REFUSED, retryAfter);
        } else {
            ended(call.order(), Order.End.FAILED);
        }
    }

    /** Its connection ended, with the process of its balancer. */
    void broken(Call call) {
        rules.closed(call, false, time.now());
        again(call, Order.End.FAILED, 0);
    }

    private void again(Call call, Order.End how, long wait) {
        Order order = call.order();
        long pause = Math.max(wait, Math.round(scenario.load().retryWaitMs() * 1e3));
        if (order.end() == null
                && order.tries() <= scenario.load().retries()
                && timeLeft(order) - pause > TIME_LEAST) {
            time.after(pause, () -> attempt(order));
        } else {
            ended(order, how);
        }
    }

    private void ended(Order order, Order.End how) {
        if (order.end() == null) {
            order.end(how, time.now());
            windows.ended(order);
        }
    }
}
