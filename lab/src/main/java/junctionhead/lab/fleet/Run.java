package junctionhead.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import junctionhead.lab.measure.Figures;
import junctionhead.lab.measure.Result;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.rules.ActsInOrder;
import junctionhead.lab.rules.Breach;
import junctionhead.lab.rules.Call;
import junctionhead.lab.rules.MembersAgree;
import junctionhead.lab.rules.NeverTwo;
import junctionhead.lab.rules.Property;
import junctionhead.lab.rules.RuleBook;
import junctionhead.lab.rules.ZoneLeft;
import junctionhead.lab.scenario.FaultKind;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.stand.ServerStand;
import junctionhead.lab.stand.Stage;
import junctionhead.lab.stand.World;

/** One run of a scenario with real processes, from the first start to the written result. */
public final class Run {
    private static final long READY_S = 30;
    // µs between readiness and the first client
    private static final long LEAD = 300_000;
    // Past its length a run is ended by force
    private static final long TAIL_S = 90;
    // µs, 99th percentile of the lab's own lateness
    private static final double LATE_MOST = 25e3;
    private static final int STORIES_MOST = 3;

    private final Plan plan;
    private final Launch launch;
    private final Path out;
    private final Consumer<String> say;
    private final List<Breach> told = new ArrayList<>();

    /** {@code out}: a folder for logs and the result; {@code say} hears of progress. */
    public Run(Plan plan, Launch launch, Path out, Consumer<String> say) {
        this.plan = plan;
        this.launch = launch;
        this.out = out;
        this.say = say;
    }

    /** Plays it; ends by itself, whatever happens, and leaves no process. */
    public Result play() throws IOException, InterruptedException {
        Files.createDirectories(out);
        RuleBook rules = new RuleBook(plan.scenario(), this::heard);
        List<Property> properties = properties();
        try (World world = new World(plan, rules);
                Stage stage = new Stage(world);
                Fleet fleet = new Fleet(world, stage, launch, out, properties)) {
            long asked = System.nanoTime();
            say.accept(
                    plan.scenario().name()
                            + ": seed "
                            + plan.seed()
                            + ", plan "
                            + plan.digest()
                            + ", "
                            + plan.arrivals().size()
                            + " requests; starting "
                            + fleet.balancers().size()
                            + " balancers");
            fleet.startAll();
            stage.look();
            boolean ready = ready(world, stage);
            say.accept(
                    String.format(
                            Locale.ROOT,
                            "%s after %.1f s",
                            ready ? "all ready" : "not all ready",
                            (System.nanoTime() - asked) / 1e9));
            if (ready) {
                CountDownLatch done = new CountDownLatch(1);
                world.beginsIn(LEAD);
                stage.play(done::countDown);
                fleet.play();
                progress(world, done);
            } else {
                rules.breach(
                        "a start",
                        world.now(),
                        null,
                        "not every balancer was ready within "
                                + READY_S
                                + " s; nothing was played");
            }
            world.loop().submit(() -> rules.close(world.now())).syncUninterruptibly();
            SortedMap<String, Double> measured = new TreeMap<>();
            world.loop()
                    .submit(() -> properties.forEach(p -> p.end(world.now(), rules, measured)))
                    .syncUninterruptibly();
            fleet.stopAll();
            Result result = world.loop().submit(() -> result(world, stage, fleet, measured)).get();
            result.write(out);
            stories(rules, fleet);
            return result;
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }

    private void heard(Breach breach) {
        synchronized (told) {
            told.add(breach);
            if (told.size() <= STORIES_MOST) {
                say.accept(breach.toString());
            }
        }
    }

    private boolean ready(World world, Stage stage) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S);
        while (System.nanoTime() < until && world.rules().broken() == 0) {
            TimeUnit.MILLISECONDS.sleep(50);
            try {
                if (world.loop()
                        .submit(
                                () ->
                                        IntStream.range(0, plan.scenario().fleet().balancers())
                                                .allMatch(stage::has))
                        .get()) {
                    return true;
                }
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IOException(e.getCause());
            }
        }
        return false;
    }

    private void progress(World world, CountDownLatch done) throws InterruptedException {
        long steps = Math.round(plan.scenario().lengthS()) + TAIL_S;
        for (int i = 0; i < steps && !done.await(1, TimeUnit.SECONDS); i++) {
            long now = world.now();
            if (i % 5 == 4 && now < plan.scenario().length()) {
                say.accept(
                        String.format(
                                Locale.ROOT,
                                "%4.0f of %.0f s, served %.3f of the last 5 s, %d rules broken",
                                now / 1e6,
                                plan.scenario().lengthS(),
                                world.windows().servedShare(now - 6_000_000, now - 1_000_000),
                                world.rules().broken()));
            }
        }
        if (done.getCount() > 0) {
            world.rules().breach("lab", world.now(), null, "the run did not end by itself");
        }
    }

    private List<Property> properties() {
        Scenario s = plan.scenario();
        List<Property> all = new ArrayList<>();
        Double notice = s.expect().membersNoticeWithinS();
        if (notice != null) {
            all.add(
                    new MembersAgree(
                            s.fleet().balancers(),
                            Math.round(notice * 1e6),
                            plan.faults().stream().noneMatch(f -> f.kind().path())));
        }
        if (s.expect().dutiesRestS() != null) {
            all.add(new ActsInOrder(s.expect().dutiesRestS()));
        }
        Double left = s.expect().zoneLeftWithinS();
        if (left != null) {
            Plan.Fault lost =
                    plan.faults().stream()
                            .filter(
                                    f ->
                                            f.kind() == FaultKind.CRASH
                                                    || f.kind() == FaultKind.VANISH)
                            .findFirst()
                            .orElseThrow();
            all.add(
                    new ZoneLeft(
                            s.fleet().balancers(),
                            s.zoneOfUpstream(lost.upstreams().first()),
                            lost.at(),
                            Math.round(left * 1e6)));
        }
        s.expect()
                .neverTwo()
                .forEach(
                        one ->
                                all.add(
                                        new NeverTwo(
                                                one.what(),
                                                Pattern.compile(one.takes()),
                                                Pattern.compile(one.leaves()))));
        return all;
    }

    private Result result(
            World world, Stage stage, Fleet fleet, SortedMap<String, Double> figures) {
        figures.put(
                "cold_worst",
                stage.servers().stream().mapToDouble(ServerStand::coldWorst).max().orElse(0));
        figures.put(
                "connects",
                (double) stage.servers().stream().mapToLong(ServerStand::connects).sum());
        figures.put("cpu_s", fleet.balancers().stream().mapToLong(Balancer::cpuMs).sum() / 1e3);
        double late =
                Math.max(
                        world.lag().getValueAtPercentile(99),
                        stage.clients().lateness().getValueAtPercentile(99));
        figures.put("lab_late_ms", late / 1e3);
        String doubt =
                late <= LATE_MOST
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                "the lab itself was late by %.0f ms (99th percentile), %.0f are allowed",
                                late / 1e3,
                                LATE_MOST / 1e3);
        return Figures.of(
                plan,
                world.windows(),
                world.rules(),
                figures,
                fleet.balancers().stream().map(b -> process(b, world, stage)).toList(),
                doubt);
    }

    private Result.Process process(Balancer b, World world, Stage stage) {
        int n = b.number();
        return new Result.Process(
                n,
                plan.scenario().fleet().zones().get(plan.scenario().zoneOfBalancer(n)),
                b.lives().stream()
                        .map(l -> new double[] {l.from() / 1e6, l.to() < 0 ? -1 : l.to() / 1e6})
                        .toList(),
                b.cpuMs() / 1e3,
                b.residentKb() / 1024.0,
                b.descriptors(),
                stage.mesh().sent(n),
                stage.mesh().bytes(n),
                stage.agents().get(n).calls());
    }

    // Of the first breaches that are about a request: all that its parties saw and all that
    // balancers logged.
    private void stories(RuleBook rules, Fleet fleet) throws IOException {
        List<String> ids =
                rules.breaches().stream()
                        .map(Breach::request)
                        .filter(id -> id != null)
                        .distinct()
                        .limit(STORIES_MOST)
                        .toList();
        for (String id : ids) {
            List<Line> story = new ArrayList<>();
            Call call = rules.call(id);
            if (call != null) {
                call.notes()
                        .forEach(n -> story.add(new Line(n.at() / 1e6, n.who() + ": " + n.what())));
            }
            for (Balancer b : fleet.balancers()) {
                if (Files.exists(b.log())) {
                    try (Stream<String> lines = Files.lines(b.log())) {
                        lines.filter(line -> line.contains(id))
                                .forEach(
                                        line ->
                                                story.add(
                                                        new Line(
                                                                Double.parseDouble(
                                                                        line.substring(
                                                                                0,
                                                                                line.indexOf(' '))),
                                                                line.substring(
                                                                        line.indexOf(' ') + 1))));
                    }
                }
            }
            story.sort(Comparator.comparingDouble(Line::at));
            say.accept("the story of " + id + ":");
            story.forEach(
                    line ->
                            say.accept(
                                    String.format(Locale.ROOT, "  %11.6f %s", line.at, line.text)));
        }
    }

    private record Line(double at, String text) {}
}
