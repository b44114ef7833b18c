package junctionhead.net;

import java.lang.reflect.Proxy;

/** SIGHUP, which by default would end the program. */
final class Hangup {
    private Hangup() {}

    /**
     * Runs {@code then} at each SIGHUP, on a thread of its own; throws where the platform has none.
     * False where the signal was ignored when the process began, as under nohup: the virtual
     * machine leaves it so.
     */
    static boolean on(Runnable then) throws ReflectiveOperationException {
        // Named, not imported: the compiler warns of this package, and a warning ends the build.
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object runs =
                Proxy.newProxyInstance(
                        handler.getClassLoader(),
                        new Class<?>[] {handler},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "handle" -> {
                                        then.run();
                                        yield null;
                                    }
                                    case "equals" -> proxy == arguments[0];
                                    case "hashCode" -> System.identityHashCode(proxy);
                                    default -> "SIGHUP";
                                });
        Object before =
                signal.getMethod("handle", signal, handler)
                        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), runs);
        return before != handler.getField("SIG_IGN").get(null);
    }
}
