package maplespread;

import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Test;

public class DeployTest {
    /** The run command must name the class archive that the build creates; otherwise the start loads no archive. */
    @Test
    public void runUsesTheArchiveThatTheBuildCreates() throws Exception {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        String script = Files.readString(Path.of("deploy/archive.sh"));
        assertTrue(deploy, deploy.contains("&& sh deploy/archive.sh\""));
        assertTrue(deploy, deploy.contains("-XX:SharedArchiveFile=target/maplespread.jsa "));
        assertTrue(script, script.contains("-XX:ArchiveClassesAtExit=target/maplespread.jsa "));
        assertTrue(script, script.contains("target/maplespread.jar rehearse"));
    }
}
