package maplespread.feature;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeSet;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.config.GroupSettings;
import maplespread.config.OperatorReader;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.metrics.Metrics;
import maplespread.release.GoldenFile;
import org.junit.jupiter.api.Test;

/** The admin calls about the group, before this dispatcher is in it and after; figures that vary are masked. */
class GroupFeatureGoldenTest {
    private static FeatureContext host(Config config) {
        Map<Class<?>, Object> results = Map.of(Config.class, config, Metrics.class, new Metrics(), boolean.class, true);
        return (FeatureContext) Proxy.newProxyInstance(
                FeatureContext.class.getClassLoader(),
                new Class<?>[] {FeatureContext.class},
                (proxy, method, arguments) -> {
                    return results.get(method.getReturnType());
                });
    }

    private static String answer(GroupFeature feature, String call, Map<String, String> query) {
        AdminResponse reply = feature.adminRoutes().get(call).answer(new AdminRequest(query, ""));
        return call + query + " -> " + reply.status() + ' ' + reply.text() + '\n';
    }

    @Test
    void groupCallsAreAnsweredTheSame() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        String address;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        GroupSettings settings = OperatorReader.text("{\"group\":{\"listen\":\"" + address
                        + "\",\"electors\":[\"toy\"],\"version\":\"1.5\",\"key_files\":[\"deploy/group.key\"]}}")
                .group();
        GroupFeature feature = new GroupFeature(settings, config, host(config));
        StringBuilder found =
                new StringBuilder(new TreeSet<>(feature.adminRoutes().keySet()) + "\n");
        found.append(answer(feature, "GET /admin/group", Map.of()));
        found.append(answer(feature, "POST /admin/group/found", Map.of()));
        found.append(answer(feature, "POST /admin/group/found", Map.of("why", "all restarted")));
        try {
            feature.start();
            while (feature.joined() == null
                    || feature.joined().register().change(Mutation.READ, 1000).outcome() != ChangeResult.Outcome.DECIDED
                    || feature.joined().statuses().find("toy").isEmpty()) {
                Thread.yield(); // the address was taken, its time was over, or the first round is not
            }
            found.append(answer(feature, "GET /admin/group", Map.of()).replaceAll("[0-9]+(?=[,\\n])", "N"));
            found.append(answer(feature, "POST /admin/group/found", Map.of("why", "all restarted"))
                    .replaceAll("as [0-9]+", "as N"));
        } finally {
            feature.close();
        }
        GoldenFile.assertMatches("feature/group.txt", found.toString().replace(address, "ADDRESS"));
        assertEquals(true, found.indexOf("deploy/group.key") < 0, "no key is shown");
    }
}
