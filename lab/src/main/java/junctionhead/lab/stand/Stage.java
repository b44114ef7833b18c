package junctionhead.lab.stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * All that balancers talk to, and what lies between: built before the run, then changed on the
 * world's loop.
 */
public final class Stage implements AutoCloseable {
    private final World world;
    private final Addresses addresses = new Addresses();
    private final InetSocketAddress[] balancers;
    // By server, by balancer
    private final List<List<Path>> paths = new ArrayList<>();
    private final List<ServerStand> servers = new ArrayList<>();
    private final List<Agent> agents = new ArrayList<>();
    private final Mesh mesh;
    private final Front front;
    private final Clients clients;

    /** Opens every address; nothing happens yet. */
    public Stage(World world) throws IOException {
        this.world = world;
        Scenario scenario = world.scenario();
        int count = scenario.fleet().balancers();
        UniformRandomProvider random = Seeds.stream(world.plan().seed(), "paths");
        balancers = new InetSocketAddress[count];
        for (int b = 0; b < count; b++) {
            balancers[b] = addresses.free(addresses.own(b));
        }
        for (Plan.Server server : world.plan().servers()) {
            List<Path> mine = new ArrayList<>();
            int number = server.number();
            for (int b = 0; b < count; b++) {
                mine.add(
                        new Path(
                                random,
                                delay(scenario, server.zone(), scenario.zoneOfBalancer(b), random),
                                () -> servers.get(number).look()));
            }
            paths.add(mine);
            servers.add(new ServerStand(world, server, mine));
        }
        for (ServerStand server : servers) {
            server.open(addresses);
        }
        List<Listing> first =
                world.plan().servers().stream()
                        .filter(s -> s.replaces() < 0)
                        .map(s -> new Listing(s.number(), Listing.UP, 0))
                        .toList();
        for (int b = 0; b < count; b++) {
            int of = b;
            Agent agent =
                    new Agent(
                            world,
                            b,
                            Seeds.stream(world.plan().seed(), "news " + b),
                            first,
                            listing -> entry(listing, of));
            agent.open(addresses);
            agents.add(agent);
        }
        mesh = new Mesh(world, addresses, Seeds.stream(world.plan().seed(), "mesh"));
        mesh.open();
        front = new Front(world, balancers);
        clients = new Clients(world, front);
    }

    private static long delay(
            Scenario scenario, int zone, int other, UniformRandomProvider random) {
        List<Double> range = scenario.network().zoneDelayMs();
        double drawn = range.get(0) + random.nextDouble() * (range.get(1) - range.get(0));
        return zone == other ? 0 : Math.round(1e3 * drawn);
    }

    private Map<String, Object> entry(Listing listing, int balancer) {
        Plan.Server s = world.plan().servers().get(listing.server());
        return Map.of(
                "uid",
                s.uid(),
                "endpoint",
                Addresses.text(servers.get(s.number()).address(balancer)),
                "az",
                world.scenario().fleet().zones().get(s.zone()),
                "model",
                world.scenario().upstreams().kinds().get(s.kind()).name(),
                "pod_group",
                s.number(),
                "state",
                listing.state(),
                "capacity_hint",
                1.0,
                "boot_ms",
                listing.bootMs());
    }

    /** The configuration of a balancer that starts now; on the loop. */
    public Map<String, Object> configuration(int balancer, long seed) {
        Scenario s = world.scenario();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "n" + balancer);
        all.put("listen", Addresses.text(balancers[balancer]));
        all.put("discovery", Addresses.text(agents.get(balancer).address()));
        all.put("seed", java.util.HexFormat.of().toHexDigits(seed));
        all.put(
                "limits",
                Map.of(
                        "cores",
                        1.0,
                        "memory_mb",
                        s.fleet().memoryMb(),
                        "sockets",
                        s.fleet().sockets()));
        if (s.fleet().balancers() > 1) {
            all.put("peer_listen", Addresses.text(mesh.home(balancer)));
            all.put("peers", mesh.peers(balancer));
            all.put("peers_all", mesh.everyone(balancer));
        }
        all.put("known", agents.get(balancer).known());
        all.put("settings", Told.settings(s, balancer));
        return all;
    }

    /** The front begins to ask balancers whether they are ready. */
    public void look() {
        world.loop().execute(front::begin);
    }

    /**
     * Clients begin at the run's time 0; {@code done} follows the end of the last request, on the
     * loop.
     */
    public void play(Runnable done) {
        world.at(0, () -> clients.begin(done));
        new Director(world, this).direct();
    }

    /** Whether the front sends clients to that balancer; on the loop. */
    public boolean has(int balancer) {
        return front.has(balancer);
    }

    Path path(int balancer, int server) {
        return paths.get(server).get(balancer);
    }

    ServerStand server(int number) {
        return servers.get(number);
    }

    Agent agent(int balancer) {
        return agents.get(balancer);
    }

    /** Every agent hears of it, each in its time. */
    void news(Listing listing) {
        agents.forEach(agent -> agent.news(listing));
    }

    public List<ServerStand> servers() {
        return servers;
    }

    public List<Agent> agents() {
        return agents;
    }

    public Mesh mesh() {
        return mesh;
    }

    public Clients clients() {
        return clients;
    }

    @Override
    public void close() {
        world.loop()
                .submit(
                        () -> {
                            servers.forEach(ServerStand::close);
                            agents.forEach(Agent::close);
                        })
                .awaitUninterruptibly(2_000);
    }
}
