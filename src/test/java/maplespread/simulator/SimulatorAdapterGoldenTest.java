package maplespread.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The bytes on the simulator's wire, as recorded: a small exchange as text, a long one by its hash, and the errors. */
class SimulatorAdapterGoldenTest {
    private static final String START = "mark tMs=1000\n"
            + "enlist node=3 initSeed=51 balancers=4 index=1 zone=0 discovery=ask valueBy=work tickMs=2 "
            + "classes.count=3 classes.0.aimMs=200.0 classes.0.deadlineMs=1500.0 classes.0.effect=read_like "
            + "classes.1.aimMs=300 classes.1.deadlineMs=2500 classes.1.effect=idempotency_key "
            + "classes.1.dedupScope=zone classes.1.repeatWindowMs=900 classes.1.worth=2 classes.1.lateShare=0.25 "
            + "classes.2.aimMs=300 classes.2.deadlineMs=2000 classes.2.effect=non_idempotent classes.2.streaming=1 "
            + "domain.classStretch=2.0,,1.5 domain.classKind=-1,0,-1 domain.tellsStart=1 domain.progressMs=50 "
            + "domain.queueOrder=fifo permissions.tryLimit=4 permissions.probing=true permissions.cancel=true "
            + "permissions.retryAfter=true permissions.maxRetryAfterMs=1000 permissions.connIdleMs=4000 "
            + "rules.coldFrom=0.2 rules.warmWithinMs=3000 rules.fallMultiple=4 rules.fallMs=1500 "
            + "penalties.crossZone=0.02 customers.count=1 customers.0.allowancePerS=50 overShareWorth=0.1 "
            + "reporting.fields=active,waiting,cpu,avg_ms,x0,x1,other\n"
            + "sheet setId=0 items=3\n"
            + "row executor=a:1 health=active rating=1 type=0 pack=0 site=0 upSinceMs=0\n"
            + "row executor=b:1 health=active type=1 pack=1 site=1\n"
            + "row executor=c:1 health=leaving type=0 pack=2 site=0\n"
            + "directory_update node=3 scope=C epoch=1 setId=0\nyour_turn\n";

    private static final String SMALL = START
            + "mark tMs=1002.5\n"
            + "arrival node=3 call=77 priority=0 tenant=0 dropDeadMs=2500 workHintMs=50 coresNeeded=1 ramUnits=0\n"
            + "arrival node=3 call=78 priority=1 dropDeadMs=3500 workHintMs=20 targetKey=orders/7\n"
            + "arrival node=3 call=79 priority=2 dropDeadMs=3000\n"
            + "your_turn\n"
            + "mark tMs=1010\n"
            + "note node=3 call=77 roundNo=0 executor=a:1 topic=1\n"
            + "note node=3 call=77 roundNo=0 executor=a:1 topic=2 value=0.5\n"
            + "note node=3 call=77 roundNo=0 executor=a:1 topic=9\n"
            + "note_from node=3 other=4\n"
            + "opened node=3 call=79 roundNo=0 executor=a:1\n"
            + "finished node=3 call=77 roundNo=0 executor=a:1 verdict=5 lagMs=7 terminal=0 usage=1,0,0.5,40,2,1,8\n"
            + "finished node=3 call=78 roundNo=0 executor=b:1 verdict=111 lagMs=1\n"
            + "your_turn\n"
            + "mark tMs=1020\n"
            + "health node=3 executor=b:1 verdict=111 lagMs=1\n"
            + "directory_update node=3 scope=X\n"
            + "timer node=3 label=1\n"
            + "lapsed node=3 call=77\n"
            + "your_turn\n"
            + "mark tMs=3000\n"
            + "sheet setId=1 items=1\nrow executor=a:1 health=left\n"
            + "directory_update node=3 scope=D epoch=2 setId=1\n"
            + "arrival node=3 call=80 priority=0 dropDeadMs=3001\n"
            + "timer node=3 label=1\n"
            + "arrival node=3 call=81 priority=2 dropDeadMs=3300\n"
            + "your_turn\n"
            + "mark tMs=3250\n"
            + "timer node=3 label=1\n"
            + "your_turn\n"
            + "mark tMs=3260\nretire node=3\nyour_turn\n";

    @Test
    void aSmallExchangeIsAsRecorded() throws IOException {
        assertEquals(recorded("small.txt"), SimulatorAdapter.exchange(SMALL));
    }

    @Test
    void aLongExchangeIsAsRecorded() throws IOException, NoSuchAlgorithmException {
        String out = SimulatorAdapter.exchange(longInput(4));
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(out.getBytes(StandardCharsets.UTF_8));
        assertEquals(
                recorded("long.txt"),
                "lines=" + out.lines().count() + " sha256=" + HexFormat.of().formatHex(hash) + "\n");
    }

    @Test
    void errorsAreAsRecorded() throws IOException {
        String[] bad = {
            "hello\n",
            "\n",
            "mark\n",
            "mark tMs=abc\n",
            "mark tMs=1\n",
            "mark tMs=1\nnonsense node=1\nyour_turn\n",
            "mark tMs=1\nenlist node=1 initSeed=x\nyour_turn\n",
            "mark tMs=1\nenlist node=1 initSeed=2 classes.count=0\nyour_turn\n",
            "mark tMs=1\nenlist node=1 initSeed=2 =3\nyour_turn\n",
            "mark tMs=1\nenlist node=1 initSeed=2 classes.count=1 classes.0.aimMs=0\nyour_turn\n",
            "mark tMs=1\nenlist node=1 initSeed=2 classes.count=1 classes.0.aimMs=z\nyour_turn\n",
            START + "mark tMs=1001\narrival node=3 priority=0\nyour_turn\n",
            START + "mark tMs=1001\narrival node=3 call=1 priority=9 dropDeadMs=2000\nyour_turn\n",
            START + "mark tMs=1001\narrival node=3 call=1 priority=1.5 dropDeadMs=2000\nyour_turn\n",
            START + "mark tMs=1001\narrival node=8 call=1 priority=0 dropDeadMs=2\nyour_turn\n",
            START + "mark tMs=1001\nsheet setId=0 items=2\nyour_turn\n",
            START + "mark tMs=1001\nsheet setId=0 items=-1\nyour_turn\n",
            START + "mark tMs=1001\nsheet setId=0 items=1\nrow executor=a health=odd\nyour_turn\n",
            START + "mark tMs=1001\ndirectory_update node=3 scope=Q epoch=1 setId=0\nyour_turn\n",
            START + "mark tMs=1001\ndirectory_update node=3 scope=F epoch=1 setId=9\nyour_turn\n",
            START + "mark tMs=1001\nhealth node=3 executor=a:1 verdict=42 lagMs=1\nyour_turn\n",
            START + "mark tMs=1001\nfinished node=3 call=1 roundNo=0 executor=a:1 verdict=0 lagMs=1 terminal=2\n",
            START + "mark tMs=900\nlapsed node=3 call=1\nyour_turn\n",
        };
        StringBuilder actual = new StringBuilder();
        for (String in : bad) {
            actual.append(assertThrows(SimulatorAdapter.Malformed.class, () -> SimulatorAdapter.exchange(in), in)
                            .getMessage())
                    .append('\n');
        }
        assertEquals(recorded("errors.txt"), actual.toString());
    }

    /** Calls and their ends, drawn beforehand: the node's answers move nothing here. */
    private static String longInput(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int[] verdicts = {0, 0, 0, 0, 0, 0, 5, 11, 110, 111, 104, 125, 114};
        StringBuilder in = new StringBuilder(START);
        double nowMs = 1001;
        for (int id = 1; id <= 3000; id++) {
            nowMs += 8 * random.nextDouble();
            String worker = random.nextInt(3) == 0 ? "b:1" : "a:1";
            in.append("mark tMs=").append(nowMs).append('\n');
            in.append("arrival node=3 call=").append(id);
            in.append(" priority=").append(random.nextInt(3));
            in.append(" dropDeadMs=").append(nowMs + 1500);
            in.append(" workHintMs=").append(1 + 40 * random.nextDouble());
            in.append(random.nextInt(2) == 0 ? " targetKey=k" + random.nextInt(9) : "")
                    .append('\n');
            if (id > 4) {
                in.append("note node=3 call=").append(id - 3).append(" roundNo=0 executor=a:1 topic=1\n");
                in.append("finished node=3 call=")
                        .append(id - 4)
                        .append(" roundNo=")
                        .append(random.nextInt(2));
                in.append(" executor=").append(worker);
                in.append(" verdict=").append(verdicts[random.nextInt(verdicts.length)]);
                in.append(" lagMs=").append(5 + 60 * random.nextDouble());
                in.append(" terminal=").append(random.nextInt(2));
                in.append(" usage=")
                        .append(random.nextInt(4))
                        .append(",0,0.5,30,")
                        .append(random.nextInt(3));
                in.append('\n');
            }
            if (id % 5 == 0) {
                in.append("timer node=3 label=").append(id % 2 == 0 ? 1 : id).append('\n');
                in.append("health node=3 executor=").append(worker).append(" verdict=0 lagMs=1 usage=1,0\n");
            }
            if (id % 20 == 0) {
                in.append("lapsed node=3 call=").append(id - 10).append('\n');
                in.append("directory_update node=3 scope=").append(id % 400 == 0 ? "X" : "F");
                in.append(" epoch=").append(id).append(" setId=0\n");
            }
            in.append("your_turn\n");
        }
        return in.toString();
    }

    private static String recorded(String name) throws IOException {
        try (InputStream in = SimulatorAdapterGoldenTest.class.getResourceAsStream("/golden/simulator/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
