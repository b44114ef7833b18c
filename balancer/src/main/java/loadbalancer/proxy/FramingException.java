package loadbalancer.proxy;

import io.netty.handler.codec.DecoderException;

/**
 * A message whose length another party may read differently, or that is not HTTP/1. The text names
 * the rule that it breaks; decoders report it as the cause of the message's decoder result.
 */
public final class FramingException extends DecoderException {
    private static final long serialVersionUID = 1L;

    FramingException(String brokenRule) {
        super(brokenRule);
    }
}
