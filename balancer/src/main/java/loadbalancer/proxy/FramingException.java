package loadbalancer.proxy;

import io.netty.handler.codec.DecoderException;

/**
 * Thrown for a message whose length another party may interpret differently, or that is not HTTP/1.
 * The exception's message names the violated rule. Decoders report it as the cause of the decoder
 * result.
 */
public final class FramingException extends DecoderException {
    private static final long serialVersionUID = 1L;

    FramingException(String violatedRule) {
        super(violatedRule);
    }
}
