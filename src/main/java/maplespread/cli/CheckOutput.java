package maplespread.cli;

import maplespread.config.Config;
import maplespread.discovery.WatchTimeouts;

/** The lines in which {@code check} shows limits and times: the operators' names, which stay whatever the code's are. */
final class CheckOutput {
    private CheckOutput() {}

    static String limits(Config.Limits limits) {
        return "Sizes[transactions=" + limits.requestsInFlight()
                + ", legs=" + limits.clientConnections()
                + ", kept=" + limits.servedClientConnections()
                + ", links=" + limits.workerConnections()
                + ", idleLinks=" + limits.idleWorkerConnections()
                + ", probes=" + limits.probes()
                + "]";
    }

    static String times(Config.Times times) {
        WatchTimeouts watch = times.watchTimeouts();
        return "Times[dialMs=" + times.dialMs()
                + ", firstByteMs=" + times.firstByteMs()
                + ", probeMs=" + times.probeMs()
                + ", linkIdleMs=" + times.workerIdleMs()
                + ", legIdleMs=" + times.clientIdleMs()
                + ", legReadMs=" + times.clientReadMs()
                + ", list=ListClock[silenceMs=" + watch.silenceMs()
                + ", spreadMs=" + watch.spreadMs()
                + ", renewMs=" + watch.renewMs()
                + "], longestMs=" + times.longestDeadlineMs()
                + ", acceptMs=" + times.acceptMs()
                + ", holdMs=" + times.drainMs()
                + ", endMs=" + times.shutdownMs()
                + ", firstListMs=" + times.firstListMs()
                + "]";
    }
}
