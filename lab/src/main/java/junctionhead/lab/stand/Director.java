package junctionhead.lab.stand;

import junctionhead.lab.model.Way;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;

/** Begins and ends every fault of the plan that is not about processes, at its time. */
final class Director {
    private final World world;
    private final Stage stage;

    Director(World world, Stage stage) {
        this.world = world;
        this.stage = stage;
    }

    void direct() {
        for (Plan.Fault fault : world.plan().faults()) {
            world.at(fault.at(), () -> set(fault, true));
            if (fault.until() >= 0) {
                world.at(fault.until(), () -> set(fault, false));
            }
        }
    }

    /** Begins or ends a fault now; on the loop. */
    void set(Plan.Fault f, boolean on) {
        Scenario.Fault text = f.text();
        switch (f.kind()) {
            case CUT, LOSS, DELAY, REPEAT, REORDER, THIN -> trouble(f, Way.Trouble.of(f), on);
            case REFUSE -> each(f, path -> path.refuse(on));
            case RESET ->
                    each(
                            f,
                            path -> {
                                if (on) {
                                    path.reset();
                                }
                            });
            case CRASH -> servers(f, s -> crash(s, on));
            case VANISH -> servers(f, s -> s.vanish(on));
            case SLOW -> servers(f, s -> s.slower(on ? text.amount() : 1));
            case HANG -> servers(f, s -> s.hang(on));
            case FAIL -> servers(f, s -> s.fail(text.requestClass(), on));
            case REPLACE -> servers(f, s -> replace(s, on));
            case LATE -> agents(f, a -> a.late(Math.round((on ? 1e3 : -1e3) * text.delayMs())));
            case STALE -> agents(f, a -> a.stale(on));
            case SILENT -> agents(f, a -> a.silent(on));
            case DENY -> agents(f, a -> a.deny(on));
            // The fleet's
            case KILL, TERM, PAUSE -> {}
        }
    }

    private void trouble(Plan.Fault f, Way.Trouble trouble, boolean on) {
        int balancers = world.scenario().fleet().balancers();
        for (int i = 0; i < balancers; i++) {
            for (int j = 0; j < balancers; j++) {
                if (f.troublesPeers(i, j)) {
                    stage.mesh().way(i, j).set(trouble, on);
                }
            }
            for (ServerStand server : stage.servers()) {
                int s = server.server().place();
                boolean there = f.troublesThere(i, s);
                boolean back = f.troublesBack(i, s);
                if (there || back) {
                    stage.path(i, server.server().number()).trouble(trouble, there, back, on);
                }
            }
        }
    }

    private void each(Plan.Fault f, java.util.function.Consumer<Path> change) {
        for (int b : f.balancers()) {
            for (ServerStand server : stage.servers()) {
                if (f.toUpstreams().contains(server.server().place())) {
                    change.accept(stage.path(b, server.server().number()));
                }
            }
        }
    }

    private void servers(Plan.Fault f, java.util.function.Consumer<ServerStand> change) {
        f.upstreams().forEach(s -> change.accept(stage.server(s)));
    }

    private void agents(Plan.Fault f, java.util.function.Consumer<Agent> change) {
        f.balancers().forEach(b -> change.accept(stage.agent(b)));
    }

    private void crash(ServerStand server, boolean on) {
        int number = server.server().number();
        if (on) {
            server.crash();
            stage.news(new Listing(number, Listing.GONE, 0));
        } else {
            server.boot();
            stage.news(new Listing(number, Listing.UP, System.currentTimeMillis()));
        }
    }

    private void replace(ServerStand server, boolean on) {
        int number = server.server().number();
        if (on) {
            server.drain();
            stage.news(new Listing(number, Listing.DRAINING, 0));
        } else {
            server.crash();
            stage.news(new Listing(number, Listing.GONE, 0));
            int successor = world.plan().successor(number).number();
            stage.server(successor).boot();
            stage.news(new Listing(successor, Listing.UP, System.currentTimeMillis()));
        }
    }
}
