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
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.protocol.LoopbackReplica;
import pinewick.protocol.ReplicaListJson;
import pinewick.protocol.TcpReplicaConnection;

/**
 * Sends queries through a separate pipeline before the router is ready, so that the first real queries find all
 * classes loaded and the usual path compiled. Client and replicas are pipes within this process: nothing reaches the
 * network, and nothing that the pipeline learned is kept.
 */
final class PipelineWarmUp {
    /** Few, because each pipe uses four file descriptors. */
    private static final int MAX_CELLS = 4;

    private final SchedulerHost.Deployment deployment;
    private final Limits limits;
    private final EventLoop loop;
    private final Log log;
    private final Runnable onDone;
    private final RequestPipeline pipeline;
    private final List<StreamConnection> pipeEnds = new ArrayList<>();
    private StreamConnection client;
    private double startedAt;
    private int requestCount;
    private boolean finished;

    PipelineWarmUp(StartupConfig config, EventLoop loop, ByteBufferPool buffers, Runnable onDone) {
        this.deployment = config.deployment();
        this.limits = config.limits();
        this.loop = loop;
        this.log = new Log(System.err, 0);
        this.onDone = onDone;
        pipeline = new RequestPipeline(deployment, limits, 1, loop, log, buffers, this::connect);
    }

    void start() {
        startedAt = loop.now();
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int cell = 0; cell < Math.min(MAX_CELLS, deployment.cells()); cell++) {
            entries.add(new SchedulerHost.ReplicaEntry(
                    "r-" + cell, cell, deployment.zone(), SchedulerHost.LifecycleState.READY, 0));
            addresses.add(InetSocketAddress.createUnresolved("pipe", 1 + cell));
        }
        pipeline.onReplicaListUpdate(
                new ReplicaListJson.Update(1, true, entries, addresses), SchedulerHost.ListUpdateKind.CACHED);
        try {
            client = pipe(pipeline.clientListener::handleEvent);
        } catch (IOException e) {
            finish();
            return;
        }
        client.getSourceChannel().setReadListener(any -> loop.event("rehearsing", this::onResponse));
        client.getSourceChannel().resumeReads();
        loop.after(limits.warmUpSeconds() * 3, "ending the warm-up", this::finish);
        sendRequest();
    }

    /** Opens a pipe, passes its far end to the handler and returns the near end. */
    private StreamConnection pipe(java.util.function.Consumer<StreamConnection> farEndHandler) throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe = loop.thread().createFullDuplexPipeConnection();
        pipeEnds.add(pipe.getLeftSide());
        pipeEnds.add(pipe.getRightSide());
        farEndHandler.accept(pipe.getRightSide());
        return pipe.getLeftSide();
    }

    private void connect(TcpReplicaConnection connection) {
        loop.later("connecting for the warm-up", () -> {
            try {
                connection.attach(pipe(farEnd -> new LoopbackReplica(farEnd, loop, limits)));
            } catch (IOException e) {
                connection.close(e.getMessage());
            }
        });
    }

    private void sendRequest() {
        SchedulerHost.ServiceClassConfig serviceClass = deployment
                .serviceClasses()
                .get(requestCount++ % deployment.serviceClasses().size());
        StringBuilder body = new StringBuilder("{\"slices\":[");
        int shardCount = Math.min(Math.min(MAX_CELLS, deployment.cells()), limits.shardCount());
        for (int shard = 0; shard < shardCount; shard++) {
            body.append(shard == 0 ? "" : ",")
                    .append("{\"slice\":")
                    .append(shard)
                    .append(",\"mass\":")
                    .append(1.0 / shardCount)
                    .append('}');
        }
        body.append("],\"filter\":\"rehearsal\"}");
        String request = "POST /api HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: rehearsal-" + requestCount + "\r\nReq-Kind: "
                + serviceClass.name() + "\r\nReq-Deadline: "
                + Math.min(limits.maxQueryTimeoutSeconds(), Math.max(1, serviceClass.hardDeadlineSeconds()))
                + "\r\nIdempotency-Key: rehearsal-" + requestCount + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
        try {
            client.getSinkChannel().write(ByteBuffer.wrap(request.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            finish();
        }
    }

    private void onResponse() {
        ByteBuffer buffer = loop.readBuffer();
        try {
            buffer.clear();
            int count = client.getSourceChannel().read(buffer);
            if (count < 0) {
                finish();
            } else if (count > 0 && !finished) {
                if (loop.clock() - startedAt < limits.warmUpSeconds()) {
                    sendRequest();
                } else {
                    finish();
                }
            }
        } catch (IOException e) {
            finish();
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            pipeline.close();
            pipeEnds.forEach(IoUtils::safeClose);
            onDone.run();
        }
    }
}
