package loadbalancer.dispatch;

import java.util.concurrent.Future;
import loadbalancer.upstream.UpstreamRequest;

final class ExchangeAttempt {
    final Exchange exchange;
    final int number;
    final String endpointId;
    long startedAtMicros;
    long timeoutMicros;
    UpstreamRequest upstreamRequest;
    Future<?> timeoutTask;
    boolean ended;

    ExchangeAttempt(Exchange exchange, int number, String endpointId, long startedAtMicros) {
        this.exchange = exchange;
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtMicros = startedAtMicros;
    }
}
