package maplespread.registry.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import maplespread.GoldenOutput;
import maplespread.registry.RegistryCall;
import maplespread.registry.RegistryEntry;
import maplespread.registry.Revision;
import org.junit.jupiter.api.Test;

/** Every request to a registry as it goes out, and what is read of its answers. */
class RegistryWireGoldenTest {
    private static final String HEADER = "\"header\":{\"cluster_id\":\"77\",\"revision\":\"42\",\"raft_term\":\"3\"}";
    private static final String WORKER =
            "{\"instanceId\":\"w-1\",\"hostPort\":\"10.0.0.1:80\",\"zone\":\"a\",\"cell\":3,\"startedAtMs\":5}";

    private final StringBuilder seen = new StringBuilder();

    private interface Call {
        Object answer() throws Exception;
    }

    private void request(String name, RegistryRequest request) {
        seen.append("# ").append(name).append('\n').append(request.method()).append(' ');
        seen.append(request.target()).append('\n').append(request.body()).append("\n\n");
    }

    private void answer(String name, Call call) {
        String text;
        try {
            text = String.valueOf(call.answer());
        } catch (Exception e) {
            text = e.getClass() == RegistryProtocolException.class ? "error: " + e.getMessage() : "thrown: " + e;
        }
        // The JVM names a null local variable in its message: no text of this program.
        text = text.replaceAll("because \"\\w+\" is null", "because a variable is null");
        seen.append(name).append(" -> ").append(text).append('\n');
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String item(RegistryEntry item) {
        if (item == null) {
            return "none";
        }
        String text;
        try {
            text = item.isDeleted() ? "deleted" : item.valueHash() + " " + item.value();
        } catch (RuntimeException e) {
            text = "unreadable: " + e.getMessage();
        }
        return item.key() + '@' + item.revision() + ' ' + text;
    }

    private static List<String> items(List<RegistryEntry> items) {
        return items.stream().map(RegistryWireGoldenTest::item).toList();
    }

    private static String history(Revision history) {
        return history.clusterId() + '/' + history.number() + '/' + history.raftTerm();
    }

    @Test
    void requestsToEtcd() throws Exception {
        List<String> prefixes = List.of("/a/", "/b\u00ff", "");
        request("first page", EtcdProtocol.range("/a/", "", 0, 1000));
        request("later page", EtcdProtocol.range("/a/", "/a/w-9", 42, 1));
        List<RegistryCall.HistoryProof> proofs = List.of(
                new RegistryCall.HistoryProof(41, "/a/w"),
                new RegistryCall.HistoryProof(42, null),
                new RegistryCall.HistoryProof(0, "k"));
        request("check", EtcdProtocol.check(prefixes, proofs, null, 0));
        request("check of a deleted key", EtcdProtocol.check(prefixes, proofs, "/a/x", 40));
        request("missed", EtcdProtocol.missed(prefixes, List.of(41L, 42L, 0L)));
        request("get", EtcdProtocol.get("/a/w-1", 0));
        request("get at a revision", EtcdProtocol.get("/a/w-1", 42));
        request("watch", EtcdProtocol.watch(prefixes, List.of(43L, 44L, 0L)));
        request("put", EtcdProtocol.put("/a/w-1", "{\"a\":1}", 0));
        request("put with a lease", EtcdProtocol.put("/a/w-1", "x", 7001));
        request("swap", EtcdProtocol.swap("/a/w-1", "{\"a\":\"\u00e9\"}", 42));
        request("delete", EtcdProtocol.delete("/a/w-1"));
        request("grant", EtcdProtocol.grant(10));
        request("keep alive", EtcdProtocol.keepAlive(7001));
        request("revoke", EtcdProtocol.revoke(7001));
        GoldenOutput.assertMatches("registry/etcd-requests.txt", seen.toString());
    }

    @Test
    void requestsToConsul() throws Exception {
        request("keys", ConsulProtocol.keys("a b/\u00e9", 0, 2000, false));
        request("keys, consistent", ConsulProtocol.keys("a", 0, 2000, true));
        request("keys, blocking", ConsulProtocol.keys("a", 42, 2000, false));
        request("health", ConsulProtocol.health("web+x", 0, 2000, false));
        request("health, blocking and consistent", ConsulProtocol.health("web", 42, 9000, true));
        request("get", ConsulProtocol.get("a/w-1"));
        request("put", ConsulProtocol.put("a/w-1", "x", -1, ""));
        request("put by index", ConsulProtocol.put("a/w-1", "x", 0, "s"));
        request("put by session", ConsulProtocol.put("a/w-1", "x", -1, "s-1"));
        request("delete", ConsulProtocol.delete("a/w-1"));
        request("session", ConsulProtocol.session(10));
        request("renew", ConsulProtocol.renew("s-1"));
        request("destroy", ConsulProtocol.destroy("s-1"));
        request("maintenance", ConsulProtocol.maintenance("w 1", true));
        request("maintenance ends", ConsulProtocol.maintenance("w-1", false));
        request("register", ConsulProtocol.register("web", "w-1", WORKER, 0));
        request("register with a check", ConsulProtocol.register("web", "w-1", "{\"hostPort\":\"[::1]:9\"}", 15));
        request("deregister", ConsulProtocol.deregister("w-1"));
        request("pass", ConsulProtocol.pass("w-1"));
        GoldenOutput.assertMatches("registry/consul-requests.txt", seen.toString());
    }

    private static String kv(String key, int revision, String value) {
        return "{\"key\":\"" + base64(key) + "\",\"mod_revision\":\"" + revision + "\""
                + (value == null ? "" : ",\"value\":\"" + value + "\"") + "}";
    }

    private static String ranged(String count, String... kvs) {
        return "{\"response_range\":{" + (count.isEmpty() ? "" : "\"count\":\"" + count + "\",") + "\"kvs\":["
                + String.join(",", kvs) + "]}}";
    }

    private void page(String body) {
        answer("page", () -> {
            EtcdProtocol.RangeResponse page = EtcdProtocol.page(body);
            return history(page.revision()) + ' ' + items(page.entries()) + ' ' + page.more();
        });
    }

    private void notice(String line) {
        answer("notice", () -> {
            EtcdProtocol.WatchResponse n = EtcdProtocol.notice(line);
            return history(n.revision()) + ' ' + n.watchId() + ' ' + n.created() + ' ' + n.canceled() + ' '
                    + n.compactRevision() + " '" + n.cancelReason() + "' " + n.fragment() + ' ' + items(n.entries());
        });
    }

    @Test
    void answersOfEtcd() throws Exception {
        page("{" + HEADER + "}");
        page("{" + HEADER + ",\"more\":true,\"kvs\":[" + kv("/a/1", 7, base64("x")) + "," + kv("/a/2", 8, null) + ","
                + kv("/a/3", 9, "%%") + "]}");
        page("{}");
        page("[");
        List<RegistryCall.HistoryProof> proofs = List.of(
                new RegistryCall.HistoryProof(41, "/a/1"),
                new RegistryCall.HistoryProof(42, null),
                new RegistryCall.HistoryProof(43, "/c"));
        String responses = ranged("2") + "," + ranged("", kv("/a/1", 7, base64("x"))) + "," + ranged("") + ","
                + ranged("1") + "," + ranged("") + "," + ranged("", kv("/gone", 5, null));
        for (boolean gone : new boolean[] {false, true}) {
            answer("checked", () -> {
                EtcdProtocol.HistoryResponse c =
                        EtcdProtocol.checked("{" + HEADER + ",\"responses\":[" + responses + "]}", proofs, gone);
                return history(c.revision()) + ' ' + c.counts() + ' ' + items(c.found()) + ' ' + c.deletedKeyFound();
            });
        }
        answer("checked", () -> EtcdProtocol.checked("{" + HEADER + ",\"responses\":[]}", proofs, true));
        answer("missed", () -> {
            EtcdProtocol.MissedChangesResponse m = EtcdProtocol.missed("{" + HEADER + ",\"responses\":[" + ranged("3")
                    + "," + ranged("", kv("/a/1", 9, base64("y"))) + "," + ranged("0") + "," + ranged("") + "]}");
            return history(m.revision())
                    + ' '
                    + m.counts()
                    + ' '
                    + m.changed().stream().map(RegistryWireGoldenTest::items).toList();
        });
        answer("missed", () -> EtcdProtocol.missed("{" + HEADER + "}"));
        notice("{\"result\":{" + HEADER + ",\"created\":true,\"watch_id\":\"1\"}}");
        notice("{\"result\":{" + HEADER + ",\"watch_id\":\"2\",\"canceled\":true,\"compact_revision\":\"30\","
                + "\"cancel_reason\":\"compacted\"}}");
        notice("{\"result\":{" + HEADER + ",\"fragment\":true,\"events\":[{\"kv\":" + kv("/a/1", 9, base64("z"))
                + "},{\"type\":\"DELETE\",\"kv\":" + kv("/a/2", 10, null) + "}]}}");
        notice("{\"error\":{}}");
        String[] faults = {
            "{\"message\":\"etcdserver: mvcc: required revision has been compacted\"}",
            "{\"error\":\"etcdserver: mvcc: required revision is a future revision\"}",
            "{\"message\":\"etcdserver: permission denied\"}",
            "{\"message\":\"etcdserver: invalid auth token\"}",
            "{\"message\":\"etcdserver: user name is empty\"}",
            "{\"message\":\"else\"}",
            "no JSON"
        };
        for (String body : faults) {
            answer("fault", () -> EtcdProtocol.fault(400, body) + " " + EtcdProtocol.fault(403, body));
        }
        answer("lease", () -> EtcdProtocol.lease("{\"ID\":\"7001\"}") + " " + EtcdProtocol.lease("{}"));
        answer("lease", () -> EtcdProtocol.lease("x"));
        answer(
                "left",
                () -> EtcdProtocol.left("{\"result\":{\"TTL\":\"9\"}}") + " " + EtcdProtocol.left("{\"result\":{}}"));
        answer("left", () -> EtcdProtocol.left("{}"));
        answer("swapped", () -> EtcdProtocol.swapped("{\"succeeded\":true}") + " " + EtcdProtocol.swapped("{}"));
        answer("swapped", () -> EtcdProtocol.swapped("[]"));
        GoldenOutput.assertMatches("registry/etcd-answers.txt", seen.toString());
    }

    private static String instance(String service, String... statuses) {
        String checks = String.join(
                ",",
                Arrays.stream(statuses)
                        .map(s -> "{\"Status\":\"" + s + "\",\"ModifyIndex\":12}")
                        .toList());
        return "[{\"Node\":{\"Node\":\"n1\",\"Address\":\"10.0.0.9\",\"ModifyIndex\":5},\"Service\":" + service
                + ",\"Checks\":[" + checks + "]}]";
    }

    @Test
    void answersOfConsul() throws Exception {
        String[] keys = {
            "",
            "[]",
            "[{\"Key\":\"a/1\",\"ModifyIndex\":7,\"Flags\":0,\"Value\":\"" + base64("x") + "\"},"
                    + "{\"Key\":\"a/2\",\"ModifyIndex\":8,\"Value\":null},{\"Key\":\"a/3\",\"ModifyIndex\":9,"
                    + "\"Value\":\"%\"}]",
            "[{\"Key\":\"a/1\"}]",
            "{}"
        };
        for (String body : keys) {
            answer("keys", () -> items(ConsulProtocol.keys(body)));
        }
        String bare = "{\"ID\":\"w-1\",\"Service\":\"web\",\"Port\":80,\"ModifyIndex\":10}";
        String full = "{\"ID\":\"w-2\",\"Service\":\"web\",\"Address\":\"10.0.0.1\",\"Port\":81,\"ModifyIndex\":20,"
                + "\"Weights\":{\"Passing\":3},\"Meta\":{\"zone\":\"a\",\"cell\":\"4\",\"machineType\":\"m\","
                + "\"startedAtMs\":\"5\",\"other\":\"x\"}}";
        answer("health", () -> items(ConsulProtocol.health("")));
        answer("health", () -> items(ConsulProtocol.health(instance(bare))));
        answer("health", () -> items(ConsulProtocol.health(instance(full, "passing", "warning"))));
        answer("health", () -> items(ConsulProtocol.health(instance(full, "passing", "critical"))));
        answer("health", () -> items(ConsulProtocol.health(instance("{}"))));
        answer("health", () -> items(ConsulProtocol.health("[1]")));
        answer("session", () -> ConsulProtocol.session("{\"ID\":\"s-1\"}"));
        answer("session", () -> ConsulProtocol.session("{}"));
        GoldenOutput.assertMatches("registry/consul-answers.txt", seen.toString());
    }
}
