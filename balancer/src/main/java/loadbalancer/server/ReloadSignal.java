package loadbalancer.server;

import java.lang.reflect.Proxy;

/** Installs a handler for SIGHUP, which would end the process by default. */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Installs a handler that runs {@code action} at each SIGHUP, on a thread of the JVM.
     *
     * @return false if SIGHUP was already ignored when the process was started, as under nohup: the
     *     JVM then leaves it ignored
     * @throws ReflectiveOperationException if the JVM has no signal API
     */
    static boolean install(Runnable action) throws ReflectiveOperationException {
        // Reflection avoids the compiler warning about sun.misc, which would fail the build.
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
