package maplespread.registry.wire;

import java.nio.charset.StandardCharsets;

/** One request to a registry. */
public record RegistryRequest(String method, String target, String body) {
    public byte[] bytes() {
        return body.getBytes(StandardCharsets.UTF_8);
    }
}
