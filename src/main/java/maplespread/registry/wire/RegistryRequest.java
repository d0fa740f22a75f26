package maplespread.registry.wire;

import java.nio.charset.StandardCharsets;

/** One HTTP request to a registry; {@code target}: its path and query. */
public record RegistryRequest(String method, String target, String body) {
    /** The body as it is sent. */
    public byte[] bytes() {
        return body.getBytes(StandardCharsets.UTF_8);
    }
}
