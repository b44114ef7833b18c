package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;

/**
 * Runs the routing policies of many simulated balancers on the simulator's wire: batches of events
 * come in, the policies' actions go out. It translates and decides nothing. Not thread-safe: one
 * thread calls {@link #run()}.
 */
public final class SimulatorAdapter {
    private static final String CLOCK = "Clock";
    private static final String INSTANCE = "Balancer";
    private static final String SEED = "InitSeed";
    private static final int FIRST_SETTING_POSITION = 2;
    // No instance can have this name: a name on the wire has at least one character.
    private static final String NO_INSTANCE = "";

    /** Creates the routing policy of a new instance. */
    public interface PolicyFactory {
        RoutingPolicy create(RoutingSettings settings, long seed);
    }

    private final PolicyFactory factory;
    private final FrameReader frames;
    private final OutputStream output;
    private final Map<String, PolicyInstance> instances = new HashMap<>();
    private final EndpointListBuffers lists = new EndpointListBuffers();

    /** {@code input} and {@code output} stay their caller's to close. */
    public SimulatorAdapter(PolicyFactory factory, BufferedReader input, OutputStream output) {
        this.factory = factory;
        this.frames = new FrameReader(input);
        this.output = output;
    }

    /**
     * Answers batch after batch until the input ends, or a policy has failed.
     *
     * @throws WireFormatException if the input breaks the wire's format; the batch gets no answer
     * @throws IOException if input or output fails
     */
    public void run() throws IOException {
        boolean policiesWork = true;
        while (policiesWork && frames.advance()) {
            WireFrame frame = frames.current();
            if (!frame.name().equals("TICK")) {
                throw frame.malformed("TICK", "a batch begins with it");
            }
            policiesWork = answerBatch(frame);
        }
    }

    // Whether no policy failed.
    private boolean answerBatch(WireFrame tickFrame) throws IOException {
        ReplyWriter reply = new ReplyWriter();
        boolean policiesWork = true;
        try {
            processBatch(tickFrame.withFields(CLOCK).integer(CLOCK), reply);
        } catch (WireFormatException e) {
            throw e;
        } catch (RuntimeException e) {
            policiesWork = false;
            reply.appendFailure(e);
        }
        reply.finish(output);
        return policiesWork;
    }

    private void processBatch(long nowMicros, ReplyWriter reply) throws IOException {
        // Until an AT line names one
        String instanceName = NO_INSTANCE;
        while (frames.advance()) {
            WireFrame frame = frames.current();
            switch (frame.name()) {
                case "GO" -> {
                    frame.withFields();
                    return;
                }
                case "AT" -> instanceName = frame.withFields(INSTANCE).text(INSTANCE);
                case "LIST" -> lists.read(frame, frames);
                case "ENLIST" -> startInstance(frame, instanceName, reply);
                case "EXIT" -> {
                    frame.withFields();
                    instances.remove(requireInstanceName(frame, instanceName));
                }
                default -> {
                    PolicyInstance instance = findInstance(frame, instanceName);
                    reply.selectInstance(instance.name());
                    instance.deliver(frame, nowMicros, lists, reply);
                }
            }
        }
        throw frames.malformed("GO", "GO", "the input ends within a batch");
    }

    private void startInstance(WireFrame frame, String instanceName, ReplyWriter reply) {
        long seed = frame.withLeadingFields(SEED).integer(SEED);
        BootSettings bootSettings = WireSettingsParser.read(frame, FIRST_SETTING_POSITION);
        String name = requireInstanceName(frame, instanceName);
        reply.selectInstance(name);
        RoutingPolicy policy = factory.create(bootSettings.settings(), seed);
        instances.put(name, new PolicyInstance(name, policy, bootSettings));
    }

    private PolicyInstance findInstance(WireFrame frame, String instanceName) {
        PolicyInstance instance = instances.get(requireInstanceName(frame, instanceName));
        if (instance == null) {
            throw frame.malformed(INSTANCE, "no such instance is running: '" + instanceName + "'");
        }
        return instance;
    }

    private static String requireInstanceName(WireFrame frame, String instanceName) {
        if (instanceName.equals(NO_INSTANCE)) {
            throw frame.malformed(INSTANCE, "no AT line names the instance");
        }
        return instanceName;
    }
}
