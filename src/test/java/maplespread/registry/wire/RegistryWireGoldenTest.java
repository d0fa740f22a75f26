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
        request("first page", EtcdRequests.range("/a/", "", 0, 1000));
        request("later page", EtcdRequests.range("/a/", "/a/w-9", 42, 1));
        List<RegistryCall.HistoryProof> proofs = List.of(
                new RegistryCall.HistoryProof(41, "/a/w"),
                new RegistryCall.HistoryProof(42, null),
                new RegistryCall.HistoryProof(0, "k"));
        request("check", EtcdRequests.verifyHistory(prefixes, proofs, null, 0));
        request("check of a deleted key", EtcdRequests.verifyHistory(prefixes, proofs, "/a/x", 40));
        request("missed", EtcdRequests.missedChanges(prefixes, List.of(41L, 42L, 0L)));
        request("get", EtcdRequests.key("/a/w-1", 0));
        request("get at a revision", EtcdRequests.key("/a/w-1", 42));
        request("watch", EtcdRequests.watch(prefixes, List.of(43L, 44L, 0L)));
        request("put", EtcdRequests.put("/a/w-1", "{\"a\":1}", 0));
        request("put with a lease", EtcdRequests.put("/a/w-1", "x", 7001));
        request("swap", EtcdRequests.compareAndSwap("/a/w-1", "{\"a\":\"\u00e9\"}", 42));
        request("delete", EtcdRequests.delete("/a/w-1"));
        request("grant", EtcdRequests.grantLease(10));
        request("keep alive", EtcdRequests.keepLeaseAlive(7001));
        request("revoke", EtcdRequests.revokeLease(7001));
        GoldenOutput.assertMatches("registry/etcd-requests.txt", seen.toString());
    }

    @Test
    void requestsToConsul() throws Exception {
        request("keys", ConsulRequests.keys("a b/\u00e9", 0, 2000, false));
        request("keys, consistent", ConsulRequests.keys("a", 0, 2000, true));
        request("keys, blocking", ConsulRequests.keys("a", 42, 2000, false));
        request("health", ConsulRequests.health("web+x", 0, 2000, false));
        request("health, blocking and consistent", ConsulRequests.health("web", 42, 9000, true));
        request("get", ConsulRequests.key("a/w-1"));
        request("put", ConsulRequests.put("a/w-1", "x", ""));
        request("put by index", ConsulRequests.compareAndSwap("a/w-1", "x", 0));
        request("put by session", ConsulRequests.put("a/w-1", "x", "s-1"));
        request("delete", ConsulRequests.delete("a/w-1"));
        request("session", ConsulRequests.createSession(10));
        request("renew", ConsulRequests.renewSession("s-1"));
        request("destroy", ConsulRequests.destroySession("s-1"));
        request("maintenance", ConsulRequests.maintenance("w 1", true));
        request("maintenance ends", ConsulRequests.maintenance("w-1", false));
        request("register", ConsulRequests.register("web", "w-1", WORKER, 0));
        request("register with a check", ConsulRequests.register("web", "w-1", "{\"hostPort\":\"[::1]:9\"}", 15));
        request("deregister", ConsulRequests.deregister("w-1"));
        request("pass", ConsulRequests.passCheck("w-1"));
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
            EtcdResponses.RangeResponse page = EtcdResponses.range(body);
            return history(page.revision()) + ' ' + items(page.entries()) + ' ' + page.more();
        });
    }

    private void notice(String line) {
        answer("notice", () -> {
            EtcdResponses.WatchResponse n = EtcdResponses.watchLine(line);
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
                EtcdResponses.HistoryResponse c =
                        EtcdResponses.history("{" + HEADER + ",\"responses\":[" + responses + "]}", proofs, gone);
                return history(c.revision()) + ' ' + c.counts() + ' ' + items(c.found()) + ' ' + c.deletedKeyFound();
            });
        }
        answer("checked", () -> EtcdResponses.history("{" + HEADER + ",\"responses\":[]}", proofs, true));
        answer("missed", () -> {
            EtcdResponses.MissedChangesResponse m =
                    EtcdResponses.missedChanges("{" + HEADER + ",\"responses\":[" + ranged("3") + ","
                            + ranged("", kv("/a/1", 9, base64("y"))) + "," + ranged("0") + "," + ranged("") + "]}");
            return history(m.revision())
                    + ' '
                    + m.counts()
                    + ' '
                    + m.changed().stream().map(RegistryWireGoldenTest::items).toList();
        });
        answer("missed", () -> EtcdResponses.missedChanges("{" + HEADER + "}"));
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
            answer("fault", () -> EtcdResponses.errorKind(400, body) + " " + EtcdResponses.errorKind(403, body));
        }
        answer("lease", () -> EtcdResponses.lease("{\"ID\":\"7001\"}") + " " + EtcdResponses.lease("{}"));
        answer("lease", () -> EtcdResponses.lease("x"));
        answer(
                "left",
                () -> EtcdResponses.remainingLeaseSeconds("{\"result\":{\"TTL\":\"9\"}}") + " "
                        + EtcdResponses.remainingLeaseSeconds("{\"result\":{}}"));
        answer("left", () -> EtcdResponses.remainingLeaseSeconds("{}"));
        answer("swapped", () -> EtcdResponses.swapped("{\"succeeded\":true}") + " " + EtcdResponses.swapped("{}"));
        answer("swapped", () -> EtcdResponses.swapped("[]"));
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
            answer("keys", () -> items(ConsulResponses.keys(body)));
        }
        String bare = "{\"ID\":\"w-1\",\"Service\":\"web\",\"Port\":80,\"ModifyIndex\":10}";
        String full = "{\"ID\":\"w-2\",\"Service\":\"web\",\"Address\":\"10.0.0.1\",\"Port\":81,\"ModifyIndex\":20,"
                + "\"Weights\":{\"Passing\":3},\"Meta\":{\"zone\":\"a\",\"cell\":\"4\",\"machineType\":\"m\","
                + "\"startedAtMs\":\"5\",\"other\":\"x\"}}";
        answer("health", () -> items(ConsulResponses.health("")));
        answer("health", () -> items(ConsulResponses.health(instance(bare))));
        answer("health", () -> items(ConsulResponses.health(instance(full, "passing", "warning"))));
        answer("health", () -> items(ConsulResponses.health(instance(full, "passing", "critical"))));
        answer("health", () -> items(ConsulResponses.health(instance("{}"))));
        answer("health", () -> items(ConsulResponses.health("[1]")));
        answer("session", () -> ConsulResponses.session("{\"ID\":\"s-1\"}"));
        answer("session", () -> ConsulResponses.session("{}"));
        GoldenOutput.assertMatches("registry/consul-answers.txt", seen.toString());
    }
}
