package maplespread.net;

import java.util.ArrayList;
import java.util.List;
import maplespread.GoldenOutput;
import maplespread.http.HttpHead;
import org.junit.jupiter.api.Test;

/** What clients and operators read of one dispatcher on loopback: rejections, admin answers, metric names. */
class ClientSideGoldenTest {
    private static final String[] FIELDS = {"Content-Type", "Connection", "Allow", "Retry-After", "Content-Length"};
    private final StringBuilder seen = new StringBuilder();

    private void answer(String name, Loopback.Call answer) {
        HttpHead head = answer.head;
        seen.append("# ").append(name).append('\n').append(head.status());
        for (String field : FIELDS) {
            if (head.get(field) != null) {
                seen.append(' ').append(field).append('=').append(head.get(field));
            }
        }
        seen.append('\n').append(answer.body.strip()).append('\n');
    }

    private static String job() {
        return Loopback.job("page", "id-1", 1000);
    }

    @Test
    void rejectionsOfRequests() throws Exception {
        String keyed = Loopback.withKey(Loopback.job("stock", "id-1", 1000), "k");
        List<String[]> rows = new ArrayList<>(List.of(
                new String[] {"GET /ready HTTP/1.1\r\nHost: t\r\n\r\n", "readiness"},
                new String[] {"POST /ready HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n", "readiness by POST"},
                new String[] {job().replace("/page/", "/none/"), "unknown path"},
                new String[] {job().replace("/x?y=1", "/" + "x".repeat(2100)), "long target"},
                new String[] {job().replace("POST", "PUT"), "other method"},
                new String[] {job().replace("X-Lane: page", "X-Lane: none"), "unknown class"},
                new String[] {job().replace("X-Lane: page", "X-Lane: order"), "class beside its path"},
                new String[] {job().replace("X-Lane: page\r\n", ""), "no class"},
                new String[] {job().replace("X-Lane: page", "X-Lane: page\r\nX-Lane: page"), "class twice"},
                new String[] {job().replace("X-Txn: id-1\r\n", ""), "no id"},
                new String[] {job().replace("id-1", "a b"), "malformed id"},
                new String[] {job().replace("X-Org: acme\r\n", ""), "no tenant"},
                new String[] {job().replace("acme", "none"), "unknown tenant"},
                new String[] {job().replace("X-Remaining-Ms: 1000\r\n", ""), "no time"},
                new String[] {job().replace(": 1000", ": 0"), "no time left"},
                new String[] {job().replace(": 1000", ": 1.5"), "time no whole number"},
                new String[] {job().replace("50000", "-1"), "estimate below 0"},
                new String[] {job().replace("X-Estimate", "X-Labels: slots\r\nX-Estimate"), "malformed labels"},
                new String[] {job().replace("X-Estimate", "X-Labels: slots=x\r\nX-Estimate"), "label no number"},
                new String[] {job().replace("X-Estimate", "X-Entity: " + "e".repeat(300) + "\r\nX-Estimate"), "entity"},
                new String[] {Loopback.job("stock", "id-1", 1000), "no key"},
                new String[] {keyed.replace(": k", ": k k"), "malformed key"},
                new String[] {job().replace("Host: t\r\n", ""), "no host"},
                new String[] {job().replace("HTTP/1.1", "HTTP/2"), "protocol version"},
                new String[] {job().replace("POST /", "POST  /"), "request line"},
                new String[] {job().replace("X-Org: acme", "X Org: acme"), "field name"},
                new String[] {job().replace("Content-Length: 4", "Content-Length: x"), "length"},
                new String[] {job().replace("Content-Length: 4", "Transfer-Encoding: gzip"), "coding"},
                new String[] {job().replace("Content-Length: 4", "Content-Length: 99999999"), "large body"},
                new String[] {job().replace("X-Org", "X-Pad: " + "p".repeat(70_000) + "\r\nX-Org"), "large head"},
                new String[] {job(), "no worker"}));
        try (Loopback here = new Loopback()) {
            for (String[] row : rows) {
                try (Loopback.Client client = here.new Client()) {
                    answer(row[1], client.send(row[0]).answerOrError());
                }
            }
            try (Loopback.Client client = here.new Client()) {
                answer("two at once", client.send(job() + job()).answerOrError());
            }
        }
        GoldenOutput.assertMatches("client/rejections.txt", seen.toString());
    }

    @Test
    void adminAnswers() throws Exception {
        String[] calls = {
            "GET /admin/health",
            "GET /admin/stats",
            "POST /admin/stats",
            "POST /admin/quiesce",
            "GET /admin/health",
            "POST /admin/quiesce",
            "POST /admin/resume",
            "POST /admin/resume",
            "GET /admin/quiesce",
            "GET /admin/none",
            "GET  /admin/health"
        };
        try (Loopback here = new Loopback(Loopback::console)) {
            for (String call : calls) {
                answer(call, here.callOrError(call));
            }
        }
        GoldenOutput.assertMatches("client/admin.txt", seen.toString());
    }
}
