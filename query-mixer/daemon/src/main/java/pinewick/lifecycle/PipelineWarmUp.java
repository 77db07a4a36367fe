package pinewick.lifecycle;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import pinewick.core.SchedulerHost;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.wire.ListText;
import pinewick.wire.PretendSearcher;
import pinewick.wire.SearcherLink;

/**
 * Queries played through a chain of their own before the mixer is ready, so that the first real ones find all
 * classes loaded and the ordinary path compiled. Client and searchers are pipes within this process: nothing
 * reaches the network, and nothing of what the chain learned is kept.
 */
final class PipelineWarmUp {
    /** Few, since each pipe takes four descriptors. */
    private static final int CELLS = 4;

    private final SchedulerHost.Deployment given;
    private final Limits limits;
    private final Loop loop;
    private final Log log;
    private final Runnable then;
    private final RequestPipeline chain;
    private final List<StreamConnection> ends = new ArrayList<>();
    private StreamConnection client;
    private double startedAt;
    private int asked;
    private boolean over;

    PipelineWarmUp(StartupConfig orders, Loop loop, ByteBufferPool buffers, Runnable then) {
        this.given = orders.deployment();
        this.limits = orders.limits();
        this.loop = loop;
        this.log = new Log(System.err, 0);
        this.then = then;
        chain = new RequestPipeline(given, limits, 1, loop, log, buffers, this::dial);
    }

    void start() {
        startedAt = loop.now();
        List<SchedulerHost.ReplicaEntry> listings = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int cell = 0; cell < Math.min(CELLS, given.cells()); cell++) {
            listings.add(new SchedulerHost.ReplicaEntry(
                    "r-" + cell, cell, given.zone(), SchedulerHost.LifecycleState.READY, 0));
            addresses.add(InetSocketAddress.createUnresolved("pipe", 1 + cell));
        }
        chain.list(new ListText.Piece(1, true, listings, addresses), SchedulerHost.ListUpdateKind.CACHED);
        try {
            client = pipe(chain.door::handleEvent);
        } catch (IOException none) {
            end();
            return;
        }
        client.getSourceChannel().setReadListener(any -> loop.event("rehearsing", this::answered));
        client.getSourceChannel().resumeReads();
        loop.after(limits.rehearsal() * 3, "ending the rehearsal", this::end);
        ask();
    }

    /** Opens a pipe, hands its far end over and gives back the near one. */
    private StreamConnection pipe(java.util.function.Consumer<StreamConnection> far) throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe = loop.thread().createFullDuplexPipeConnection();
        ends.add(pipe.getLeftSide());
        ends.add(pipe.getRightSide());
        far.accept(pipe.getRightSide());
        return pipe.getLeftSide();
    }

    private void dial(SearcherLink link) {
        loop.later("rehearsing a connection", () -> {
            try {
                link.up(pipe(far -> new PretendSearcher(far, loop, limits)));
            } catch (IOException none) {
                link.close(none.getMessage());
            }
        });
    }

    private void ask() {
        SchedulerHost.ServiceClassConfig grade =
                given.serviceClasses().get(asked++ % given.serviceClasses().size());
        StringBuilder body = new StringBuilder("{\"slices\":[");
        int parts = Math.min(Math.min(CELLS, given.cells()), limits.shards());
        for (int part = 0; part < parts; part++) {
            body.append(part == 0 ? "" : ",")
                    .append("{\"slice\":")
                    .append(part)
                    .append(",\"mass\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        body.append("],\"filter\":\"rehearsal\"}");
        String request = "POST /api HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: rehearsal-" + asked + "\r\nReq-Kind: "
                + grade.name() + "\r\nReq-Deadline: "
                + Math.min(limits.longestWait(), Math.max(1, grade.hardDeadlineSeconds()))
                + "\r\nIdempotency-Key: rehearsal-" + asked + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
        try {
            client.getSinkChannel().write(ByteBuffer.wrap(request.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException broken) {
            end();
        }
    }

    private void answered() {
        ByteBuffer in = loop.readBuffer();
        try {
            in.clear();
            int count = client.getSourceChannel().read(in);
            if (count < 0) {
                end();
            } else if (count > 0 && !over) {
                if (loop.clock() - startedAt < limits.rehearsal()) {
                    ask();
                } else {
                    end();
                }
            }
        } catch (IOException broken) {
            end();
        }
    }

    private void end() {
        if (!over) {
            over = true;
            chain.end();
            ends.forEach(IoUtils::safeClose);
            then.run();
        }
    }
}
