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
 * Runs the routing policies of many simulated balancers over the simulator's wire protocol. It
 * reads batches of events and writes the policies' actions, and makes no decisions of its own. Not
 * thread-safe: one thread calls {@link #run()}.
 */
public final class SimulatorAdapter {
    private static final String CLOCK = "Clock";
    private static final String INSTANCE = "Balancer";
    private static final String SEED = "InitSeed";
    private static final int FIRST_SETTING_POSITION = 2;
    // Not a valid instance name: names in the protocol have at least one character.
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

    /**
     * Creates an adapter without instances. The caller must close {@code input} and {@code output}.
     *
     * @param factory creates the routing policy of each instance that is started
     */
    public SimulatorAdapter(PolicyFactory factory, BufferedReader input, OutputStream output) {
        this.factory = factory;
        this.frames = new FrameReader(input);
        this.output = output;
    }

    /**
     * Answers batches until the input ends or a policy fails.
     *
     * @throws WireFormatException if the input is malformed; the batch with the fault is not
     *     answered
     * @throws IOException if input or output fails
     */
    public void run() throws IOException {
        boolean noPolicyFailed = true;
        while (noPolicyFailed && frames.advance()) {
            WireFrame frame = frames.current();
            if (!frame.name().equals("TICK")) {
                throw frame.malformed("TICK", "a batch must begin with TICK");
            }
            noPolicyFailed = answerBatch(frame);
        }
    }

    // Returns whether no policy failed.
    private boolean answerBatch(WireFrame tickFrame) throws IOException {
        ReplyWriter reply = new ReplyWriter();
        boolean noPolicyFailed = true;
        try {
            processBatch(tickFrame.withFields(CLOCK).integer(CLOCK), reply);
        } catch (WireFormatException e) {
            throw e;
        } catch (RuntimeException e) {
            noPolicyFailed = false;
            reply.appendFailure(e);
        }
        reply.finish(output);
        return noPolicyFailed;
    }

    private void processBatch(long nowMicros, ReplyWriter reply) throws IOException {
        // Set by an AT line.
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
