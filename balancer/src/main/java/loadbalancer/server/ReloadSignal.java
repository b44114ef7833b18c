package loadbalancer.server;

import java.lang.reflect.Proxy;

/** SIGHUP, which by default would end the program. */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs {@code action} at each SIGHUP, on a thread of its own; throws where the platform has
     * none. False where the signal was ignored when the process began, as under nohup: the virtual
     * machine leaves it so.
     */
    static boolean install(Runnable action) throws ReflectiveOperationException {
        // Named, not imported: the compiler warns of this package, and a warning ends the build.
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        Object handlerProxy =
                Proxy.newProxyInstance(
                        handlerClass.getClassLoader(),
                        new Class<?>[] {handlerClass},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "handle" -> {
                                        action.run();
                                        yield null;
                                    }
                                    case "equals" -> proxy == arguments[0];
                                    case "hashCode" -> System.identityHashCode(proxy);
                                    default -> "SIGHUP";
                                });
        Object previousHandler =
                signalClass
                        .getMethod("handle", signalClass, handlerClass)
                        .invoke(
                                null,
                                signalClass.getConstructor(String.class).newInstance("HUP"),
                                handlerProxy);
        return previousHandler != handlerClass.getField("SIG_IGN").get(null);
    }
}
