package maplespread.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import maplespread.registry.RegistrySettings;
import maplespread.release.Limits;
import maplespread.starvation.PriorityBoost;
import maplespread.subset.SubsetAssignment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorReaderTest {
    private static final String GOOD = "{'log':{'form':'json'},'registry':{'dialect':'etcd',"
            + "'endpoints':['127.0.0.1:2379'],'follow':['/a/']}}";

    private static final String GROUP = "{'group':{'listen':'127.0.0.1:7946','electors':['n0'],"
            + "'key_files':['deploy/group.key']},'release':{}}";

    private static OperatorConfig read(String text) throws ConfigException {
        return OperatorReader.text(text.replace('\'', '"'));
    }

    @Test
    void defaultsAreThoseOfTheToolsAndAnEmptyFileTurnsNothingOn() throws Exception {
        OperatorConfig o = read(GOOD);
        assertTrue(o.jsonLog());
        assertEquals(
                RegistrySettings.withDefaults(RegistrySettings.Dialect.ETCD, List.of("127.0.0.1:2379"), List.of("/a/")),
                o.registry());
        assertNull(read("{}").registry());
        assertNull(read("{}").subset());
        assertTrue(read("{'shares':{'beyond':'give_way'}}").fair()
                && !read("{'shares':{}}").fair());
        assertEquals(
                new SubsetAssignment.SubsetSettings(10, 20),
                read("{'subset':{}}").subset());
        assertEquals(
                new StarvationSettings(1000, 10, 0.1, true, false, 200_000, null),
                read("{'starvation':{}}").starvation());
        assertNull(read("{'starvation':{'verdicts':'off'}}").starvation());
        assertEquals(
                new PriorityBoost.Limits(2, 0.1, 4, true),
                read("{'starvation':{'relief':{}}}").starvation().relief());
        assertEquals(OperatorConfig.NONE, OperatorReader.file(null));
    }

    /** Each fault is named by its key, and a mistyped key by the one that was meant. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'etcd'                    | 'ectd'               | registry.dialect: must be one of",
                "'endpoints'               | 'endpoint'           | registry.endpoints: must be a list",
                "['127.0.0.1:2379']        | []                   | registry.endpoints: must be a list",
                "127.0.0.1:2379            | localhost:2379       | registry.endpoints: not a numeric address",
                "['/a/']                   | ['/a/','/a/b/']      | registry.follow: /a/b/ lies within /a/",
                "['/a/']                   | ['/a/','/a/']        | registry.follow: /a/ stands twice",
                "['/a/']                   | ['']                 | registry.follow: each entry",
                "'follow':['/a/']          | 'follow':['/a/'],'pgae':3 | registry.pgae: is not known; did you mean",
                "'follow':['/a/']          | 'follow':['/a/'],'page':0 | registry.page: must be a whole number from",
                "'follow':['/a/']          | 'follow':['/a/'],'page':1.5 | registry.page: must be a whole number",
                "'follow':['/a/']          | 'follow':['/a/'],'wait_ms':'x' | registry.wait_ms: not a number",
                "'follow':['/a/']          | 'follow':['/a/'],'silence_ms':6000 | registry.silence_ms: after a sil",
                "'follow':['/a/']          | 'follow':['/a/'],'answer_ms':1300 | registry.answer_ms: after a silen",
                "'follow':['/a/']          | 'follow':['/a/'],'dial_ms':900,'answer_ms':1000 | registry.dial_ms: a",
                "'follow':['/a/']          | 'follow':['/a/'],'dial_ms':4000 | registry.dial_ms: after a silence",
                "etcd'                     | consul-kv','answer_ms':700 | registry.answer_ms: after a silence the",
                "['127.0.0.1:2379']        | ['1.0.0.1:1','1.0.0.2:1','1.0.0.3:1','1.0.0.4:1','1.0.0.5:1',"
                        + "'1.0.0.6:1','1.0.0.7:1','1.0.0.8:1','1.0.0.9:1','1.0.0.10:1','1.0.0.11:1','1.0.0.12:1']"
                        + "| registry.endpoints: after a silence",
                "etcd','endpoints':['127.0.0.1:2379'] | consul-kv','wait_ms':20000,'endpoints':['1.0.0.1:1',"
                        + "'1.0.0.2:1','1.0.0.3:1','1.0.0.4:1','1.0.0.5:1'] | registry.wait_ms: after a silence",
                "'follow':['/a/']          | 'follow':['/a/'],'requests_per_s':1,'answer_ms':500 | registry.requests",
                "etcd'                     | consul-kv','wait_ms':60000 | registry.not_ready_after_ms: must be 0 o",
                "'follow':['/a/']          | 'follow':['/a/'],'not_ready_after_ms':5000 | registry.not_ready_after",
                "{'form':'json'}           | {'form':'json'},'subset':{'sharers':0} | subset.sharers: must be",
                "{'form':'json'}           | {'form':'json'},'subset':{'leats':5} | subset.leats: is not known; did",
                "{'form':'json'}           | {'form':'json'},'shares':{'beyond':'all'} | shares.beyond: must be one",
                "{'form':'json'}           | {'form':'json'},'starvation':{'matters':2} | starvation.matters: must",
                "{'form':'json'}           | {'form':'json'},'starvation':{'relief':{'most':9}} "
                        + "| starvation.relief.most: must",
                "{'form':'json'}           | {'form':'json'},'starvation':{'relief':{'step':1,'most':1.5}} "
                        + "| starvation.relief.step: must be at most 0.5",
                "{'form':'json'}           | {'form':'json'},'starvation':{'relief':{'total':0.5}} "
                        + "| starvation.relief.total: must be at least 1.0",
                "{'form':'json'}           | {'form':'json'},'starvation':{'window':2} | starvation.window: is not",
                "{'form':'json'}           | {'form':'xml'}       | log.form: must be one of",
                "{'form':'json'}           | 3                    | log: must be an object",
                "'log'                     | 'logs'               | logs: is not known; did you mean log?"
            })
    void faultsAreNamed(String part, String instead, String message) {
        String text = GOOD.replace(part.strip(), instead.strip());
        ConfigException e = assertThrows(ConfigException.class, () -> read(text));
        assertTrue(e.getMessage().startsWith(message.strip()), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'listen':'127.0.0.1:7946'| 'address':'127.0.0.1:7946' | group.listen: is missing",
                "127.0.0.1:7946           | n0:7946              | group.listen: not a numeric address",
                "127.0.0.1:7946           | 0.0.0.0:7946         | group.address: nobody can be reached",
                "['n0']                   | []                   | group.electors: must be a list",
                "['n0']                   | ['a','b','c','d','e','f','g','h','i','j'] | group.electors: at most 9",
                "['n0']                   | ['n0'],'seeds':['x'] | group.seeds: not a numeric address",
                "['n0']                   | ['n0'],'ack_ms':1000 | group.ack_ms: must be less than period_ms",
                "['n0']                   | ['n0'],'version':'a b' | group.version: must be at most 64 printable",
                "['n0']                   | ['n0'],'sead':[]     | group.sead: is not known; did you mean seeds?",
                "deploy/group.key         | /nowhere/at.all      | group.key_files: cannot read /nowhere/at.all",
                "deploy/group.key         | README.md            | group.key_files: README.md must hold a number",
                "['deploy/group.key']     | ['deploy/group.key','./deploy/group.key'] | group.key_files: ./deploy/",
                "{}                       | {'workers_out':1.5}  | release.workers_out: must be a share below 1",
                "{}                       | {'workers_out':-1}   | release.workers_out: must be a number from 0.0",
                "{}                       | {'least_capacity':2} | release.least_capacity: must be a number from",
                "{}                       | {'back_ms':0}        | release.back_ms: must be a whole number from",
                "{}                       | {},'partition':{}    | partition.table: is missing",
                "{}                       | {},'partition':{'table':3} | partition.table: must be an object",
                "{}                       | {},'partition':{'table':{},'ask_ms':151} | partition.ask_ms: must be",
                "{}                       | {},'partition':{'table':{},'gone_ms':324} | partition.gone_ms: must be a",
                "{}                       | {},'partition':{'table':{},'slots':257} | partition.slots: must be a wh",
                "{}                       | {},'partition':{'table':{},'address':'n:1'} | partition.address: not a n",
                "{}                       | {},'partition':{'table':{},'laese_ms':1} | partition.laese_ms: is not kn",
                "{}                       | {},'subset':{},'partition':{'table':{}} | partition: cannot go with",
                "'release':{}             | 'partition':{'table':{}},'gruop':3 | gruop: is not known",
                "'group'                  | 'gruop'              | release: needs a group"
            })
    void faultsOfAGroupAreNamed(String part, String instead, String message) throws ConfigException {
        assertEquals(Limits.DEFAULT, read(GROUP).release());
        ConfigException e =
                assertThrows(ConfigException.class, () -> read(GROUP.replace(part.strip(), instead.strip())));
        assertTrue(e.getMessage().startsWith(message.strip()), e.getMessage());
    }

    /** Several keys are good at once, the first one seals; no text shows a secret. */
    @Test
    void keysAreReadFromFilesInOrder(@TempDir Path dir) throws Exception {
        String secret = "ab".repeat(16);
        Files.writeString(dir.resolve("short"), "1 abcd");
        Files.writeString(dir.resolve("k7"), "7 " + secret + "\n");
        OperatorConfig o = read(GROUP.replace("['deploy", "['" + dir.resolve("k7") + "','deploy"));
        assertEquals(List.of(7, 1), List.copyOf(o.group().keys().byId().keySet()));
        assertEquals(16, o.group().keys().byId().get(7).length);
        assertTrue(o.toString().contains("keys [7, 1]") && !o.toString().contains(secret));
        assertTrue(assertThrows(
                        ConfigException.class,
                        () -> read(GROUP.replace(
                                "deploy/group.key", dir.resolve("short").toString())))
                .getMessage()
                .contains("16 bytes or more"));
        GroupSettings g = o.group();
        assertEquals(
                List.of(),
                g.needingRestart(read(GROUP.replace("'n0'", "'n0','n1'")).group()),
                "keys and electors are taken up while it runs");
        assertEquals(
                List.of("group.listen", "group.address"),
                g.needingRestart(read(GROUP.replace(":7946", ":7947")).group()));
    }

    @Test
    void whatIsNoFileOrNoObjectIsSaid() {
        assertTrue(assertThrows(ConfigException.class, () -> OperatorReader.file("/nowhere/at.all"))
                .getMessage()
                .startsWith("operator: cannot read"));
        assertTrue(assertThrows(ConfigException.class, () -> read("[]"))
                .getMessage()
                .contains("not a JSON object"));
    }

    /** The example and the operators' page may neither miss a key nor name one that is none. */
    @Test
    void theExampleAndThePageHaveEveryKey() throws Exception {
        String example = Files.readString(Path.of("deploy/operator.json"));
        OperatorConfig o = OperatorReader.text(example);
        JsonObject registry = JsonParser.parseString(example).getAsJsonObject().getAsJsonObject("registry");
        assertEquals(RegistrySettings.class.getRecordComponents().length, registry.size());
        String page = Files.readString(Path.of("docs/operators/registry.md"));
        for (String key : registry.keySet()) {
            assertTrue(page.contains("| `" + key + "` |"), key);
        }
        String fleet = Files.readString(Path.of("docs/operators/fleet.md"));
        JsonObject all = JsonParser.parseString(example).getAsJsonObject();
        String release = Files.readString(Path.of("docs/operators/release.md"));
        for (String key : all.getAsJsonObject("release").keySet()) {
            assertTrue(release.contains("| `" + key + "` |"), key);
        }
        for (String part : List.of("subset", "shares", "group")) {
            for (String key : all.getAsJsonObject(part).keySet()) {
                assertTrue(fleet.contains("| `" + part + "." + key + "` |"), key);
            }
        }
        assertEquals(OperatorReader.text("{\"subset\":{}}").subset(), o.subset(), "it shows the defaults");
        assertEquals(Limits.DEFAULT, o.release(), "it shows the defaults");
        RegistrySettings r = o.registry();
        assertEquals(
                RegistrySettings.withDefaults(r.dialect(), r.endpoints(), r.follow())
                        .toString(),
                r.toString().replace(r.tokenFile(), ""),
                "it shows the defaults");
    }
}
