package loadbalancer.server;

import java.lang.reflect.Proxy;

/** The handler of SIGHUP, which reloads the configuration and by default would end the process. */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs {@code action} at each SIGHUP, on a thread of the virtual machine's own.
     *
     * @return false where SIGHUP was ignored when the process was started, as under nohup: the
     *     virtual machine leaves it ignored
     * @throws ReflectiveOperationException if the platform has no such signal
     */
    static boolean install(Runnable action) throws ReflectiveOperationException {
        // By reflection: the compiler warns of this package, and warnings fail the build.
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        Object handlerProxy = newHandler(handlerClass, action);
        Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
        Object previousHandler =
                signalClass
                        .getMethod("handle", signalClass, handlerClass)
                        .invoke(null, signal, handlerProxy);
        return previousHandler != handlerClass.getField("SIG_IGN").get(null);
    }

    private static Object newHandler(Class<?> handlerClass, Runnable action) {
        return Proxy.newProxyInstance(
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
    }
}
