package maplespread.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import maplespread.GoldenOutput;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line as operators and their scripts meet it: help, completion, checks, statuses, errors. */
class CommandsGoldenTest {
    private static String run(String... args) {
        StringWriter out = new StringWriter();
        CommandLine line = Cli.line();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(out, true));
        int status = line.execute(args);
        return "$ " + String.join(" ", args) + "\n" + out + "status " + status + "\n\n";
    }

    private static void help(String path, CommandLine line, StringBuilder seen) {
        seen.append("# ").append(path).append('\n').append(line.getUsageMessage(CommandLine.Help.Ansi.OFF));
        new TreeMap<>(line.getSubcommands()).forEach((name, sub) -> help(path + ' ' + name, sub, seen));
    }

    @Test
    void helpOfEveryCommand() throws Exception {
        StringBuilder seen = new StringBuilder();
        help("maplespread", Cli.line(), seen);
        GoldenOutput.assertMatches("cli/help.txt", seen.toString());
    }

    @Test
    void completion() throws Exception {
        GoldenOutput.assertMatches("cli/completion.txt", run("generate-completion"));
    }

    @Test
    void checksAndWrongCalls(@TempDir Path dir) throws Exception {
        String bad = Files.writeString(dir.resolve("o.json"), "{\"registry\":{\"dialect\":\"zk\"}}")
                .toString();
        String wrong =
                Files.writeString(dir.resolve("c.json"), "{\"settings\":{}}").toString();
        String config = "example/config.json";
        String[][] calls = {
            {"check", "--config", config},
            {"check", "--config", config, "--operator", "deploy/operator.json"},
            {"check", "--config", config, "--operator", "deploy/operator-order.json"},
            {"check", "--operator", bad},
            {"check", "--operator", "no/such/file"},
            {"check", "--config", wrong},
            {"check", "--config", "no/such/file"},
            {"check"},
            {},
            {"nothing"},
            {"registry"},
            {"registry", "ls"},
            {"registry", "ls", "--dialect", "zk", "--endpoint", "127.0.0.1:1", "--follow", "a"},
            {"registry", "ls", "--dialect", "etcd", "--endpoint", "localhost:1", "--follow", "a"},
            {"registry", "put", "--dialect", "etcd", "--endpoint", "127.0.0.1:1", "--follow", "a"},
            {"measure"},
            {"measure", "nothing"},
            {"lab"}
        };
        StringBuilder seen = new StringBuilder();
        for (String[] call : calls) {
            seen.append(run(call).replace(dir.toString(), "DIR"));
        }
        GoldenOutput.assertMatches("cli/calls.txt", seen.toString());
    }

    private interface Reading {
        Object read() throws ConfigException;
    }

    private static void read(StringBuilder seen, String row, Reading reading) {
        String text;
        try {
            reading.read();
            text = "accepted";
        } catch (ConfigException e) {
            text = e.getMessage();
        }
        seen.append(row).append("\n    ").append(text).append('\n');
    }

    /** Rows: what is replaced in the example, and by what. */
    @Test
    void errorsOfThePlatformsFile() throws Exception {
        String example = Files.readString(Path.of("example/config.json"));
        String[][] rows = {
            {"\"aimMs\": 300", "\"aimMs\": -1"},
            {"\"deadlineMs\": 5000", "\"deadlineMs\": \"soon\""},
            {"\"deadlineMs\": 5000,", ""},
            {"non_idempotent", "mostly_safe"},
            {"\"effect\": \"read_like\",", ""},
            {"\"worth\": 2", "\"worth\": -2"},
            {"\"coldFrom\": 0.12", "\"coldFrom\": 0"},
            {"\"tryLimit\": 5", "\"tryLimit\": 0"},
            {"\"name\": \"marfim\", ", ""},
            {"\"name\": \"marfim\"", "\"name\": {}"},
            {"127.0.0.1:7070", "localhost:7070"},
            {"\"listen\": \"127.0.0.1:7070\",", ""},
            {"127.0.0.1:8500", "127.0.0.1"},
            {"127.0.0.1:8500", "127.0.0.1:x"},
            {"127.0.0.1:8500", "127.0.0.1:70000"},
            {"127.0.0.1:8500", "1.2.3.4.5:1"},
            {"\"2a\"", "\"zz\""},
            {"\"2a\"", "{}"},
            {"[\"here\"]", "[{}]"},
            {"[\"here\"]", "3"},
            {"\"sockets\": 1024", "\"sockets\": 20"},
            {"\"sockets\": 1024", "\"sockets\": \"x\""},
            {"\"memory_mb\": 192", "\"memory_mb\": {}"},
            {"\"instances\": []", "\"instances\": 3"},
            {"\"instances\": []", "\"instances\": [{}]"},
            {"\"instances\": []", "\"instances\": [{\"hostPort\":\"127.0.0.1:1\",\"lifecycle\":\"AWAY\"}]"},
            {"\"instances\": []", "\"instances\": [{\"hostPort\":\"w:1\",\"lifecycle\":\"SERVING\"}]"},
            {"\"generation\": 0", "\"generation\": \"x\""},
            {"\"settings\"", "\"sittings\""},
            {"\"classes\"", "\"klasses\""},
            {"\"known\": {", "\"console\": \"here\", \"known\": {"},
            {"{", "["}
        };
        StringBuilder seen = new StringBuilder();
        for (String[] row : rows) {
            String text = example.replace(row[0], row[1]);
            read(seen, row[0] + " -> " + row[1], () -> ConfigReader.read(text, Map.of()));
        }
        read(seen, "no file is named", () -> ConfigReader.fromEnvironment(Map.of()));
        GoldenOutput.assertMatches("config/platform-errors.txt", seen.toString());
    }

    /** Rows: the file, with other quotation marks. */
    @Test
    void errorsOfTheOperatorsFile() throws Exception {
        String registry = "{'registry':{'dialect':'etcd','endpoints':['127.0.0.1:2379'],'follow':['/a/']";
        String group = "{'group':{'listen':'127.0.0.1:7946','electors':['n0'],'key_files':['deploy/group.key']";
        String[] rows = {
            "{}",
            "[]",
            "{'log':3}",
            "{'log':{'form':'xml'}}",
            "{'log':{'from':'text'}}",
            "{'lgo':{}}",
            "{'zebra':{}}",
            "{'registry':{}}",
            "{'registry':{'dialect':'zk'}}",
            "{'registry':{'dialect':'etcd'}}",
            "{'registry':{'dialect':'etcd','endpoints':['a:1'],'follow':['/a/']}}",
            "{'registry':{'dialect':'etcd','endpoints':['1.0.0.1:1',''],'follow':['/a/']}}",
            "{'registry':{'dialect':'etcd','endpoints':['1.0.0.1:1'],'follow':['/a/','/a/b']}}",
            "{'registry':{'dialect':'etcd','endpoints':['1.0.0.1:1'],'follow':['/a/','/a/']}}",
            registry + ",'page':0}}",
            registry + ",'page':'x'}}",
            registry + ",'pgae':3}}",
            registry + ",'token_file':3}}",
            registry + ",'silence_ms':6000}}",
            registry + ",'answer_ms':1300}}",
            registry + ",'dial_ms':4000}}",
            registry + ",'requests_per_s':1,'answer_ms':500}}",
            registry + ",'not_ready_after_ms':5000}}",
            registry.replace("'etcd'", "'consul-kv','wait_ms':60000") + "}}",
            registry.replace("'etcd'", "'consul-kv','answer_ms':700") + "}}",
            registry.replace("['/a/']", "['/a/','/b/','/c/','/d/','/e/','/f/','/g/','/h/','/i/','/j/']")
                    + ",'answer_ms':50}}",
            "{'subset':{'sharers':0}}",
            "{'subset':{'least':0.5}}",
            "{'shares':{'beyond':'all'}}",
            "{'starvation':{'matters':2}}",
            "{'starvation':{'verdicts':'loud'}}",
            "{'starvation':{'relief':{'most':9}}}",
            "{'starvation':{'relief':{'step':1,'most':1.5}}}",
            "{'starvation':{'relief':{'total':0.5}}}",
            "{'release':{}}",
            "{'partition':{'table':{}}}",
            "{'group':{}}",
            "{'group':{'listen':'here:1'}}",
            "{'group':{'listen':'0.0.0.0:1'}}",
            "{'group':{'listen':'127.0.0.1:1','seeds':['x']}}",
            group + "}}",
            group + ",'ack_ms':2000}}",
            group + ",'version':'a b'}}",
            group.replace("['n0']", "['a','b','c','d','e','f','g','h','i','j']") + "}}",
            group.replace("deploy/group.key", "no/such/key") + "}}",
            group.replace("deploy/group.key", "deploy/operator.json") + "}}",
            group + "},'release':{'workers_out':1.5}}",
            group + "},'release':{'least_capacity':2}}",
            group + "},'partition':{}}",
            group + "},'partition':{'table':3}}",
            group + "},'partition':{'table':{},'address':'x'}}",
            group + "},'partition':{'table':{},'lease_ms':10}}",
            group + "},'partition':{'table':{}},'subset':{}}"
        };
        StringBuilder seen = new StringBuilder();
        for (String row : rows) {
            read(seen, row, () -> OperatorReader.text(row.replace('\'', '"')));
        }
        GoldenOutput.assertMatches("config/operator-errors.txt", seen.toString());
    }
}
