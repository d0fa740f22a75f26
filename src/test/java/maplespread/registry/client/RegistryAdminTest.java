package maplespread.registry.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.List;
import maplespread.lab.registry.StandInRegistry;
import maplespread.lab.registry.Store;
import maplespread.registry.RegistrySettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RegistryAdminTest {
    /** A leave that was taken back drains nobody any more, however late, nor does one of another run. */
    @ParameterizedTest
    @EnumSource(names = {"ETCD", "CONSUL_KV"})
    void aLeaveTakenBackDrainsNobody(RegistrySettings.Dialect dialect) throws Exception {
        try (StandInRegistry registry = new StandInRegistry(new Store(), 1);
                RegistryAdmin admin = new RegistryAdmin(
                        RegistrySettings.withDefaults(dialect, List.of(registry.address()), List.of("w/")))) {
            admin.put(
                    "w-1",
                    JsonParser.parseString("{\"instanceId\":\"w-1\",\"hostPort\":\"127.0.0.1:1\","
                                    + "\"lifecycle\":\"SERVING\",\"startedAtMs\":5}")
                            .getAsJsonObject(),
                    "",
                    0);
            long[][] calls = {
                {0, 5, 3}, {1, 5, 3}, {0, 5, 3}, {0, 6, 4}, {1, 6, 4}, {0, 5, 4}, {1, 5, 2}, {0, 5, 3}, {0, 5, 4}
            }; // 1: recall; run; leave
            String done = "DRAINING true,SERVING true,SERVING false,SERVING false,SERVING false,"
                    + "DRAINING true,SERVING true,SERVING false,DRAINING true,";
            StringBuilder was = new StringBuilder();
            for (long[] c : calls) {
                boolean yes = c[0] == 1 ? admin.cancelDrain("w-1", c[1], c[2]) : admin.drain("w-1", c[1], c[2]);
                was.append(JsonParser.parseString(admin.entries().get(0).value())
                                .getAsJsonObject()
                                .get("lifecycle")
                                .getAsString())
                        .append(' ')
                        .append(yes)
                        .append(',');
            }
            assertEquals(done, was.toString());
        }
    }
}
