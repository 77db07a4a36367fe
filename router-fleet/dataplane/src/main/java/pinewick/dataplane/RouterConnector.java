package pinewick.dataplane;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A Jetty connector that uses one selector for connections of clients and for those to replicas, so that a response
 * needs one thread and one wake-up.
 */
final class RouterConnector extends ServerConnector implements UpstreamConnector {
    private static final int NO_ACCEPTOR_THREAD = 0;
    private static final int ONE_SELECTOR = 1;

    private final AtomicInteger clients = new AtomicInteger();
    private final int maxClients;

    /**
     * @param maxClients maximum number of client connections; a further one is closed before anything is read from it.
     *     Jetty's own limit is not used: it stops accepting, which can lose the listening socket if the selector itself
     *     accepts
     */
    RouterConnector(Server server, Scheduler scheduler, HttpConnectionFactory http, int maxClients) {
        super(
                server,
                new ConnectionExecutor(server.getThreadPool()),
                scheduler,
                null,
                NO_ACCEPTOR_THREAD,
                ONE_SELECTOR,
                http);
        this.maxClients = maxClients;
    }

    @Override
    protected SelectorManager newSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
        return new ClientAndUpstreamSelectorManager(executor, scheduler, selectors);
    }

    @Override
    public void connect(
            InetSocketAddress address, int timeoutMs, UpstreamConnectionFactory factory, Runnable onFailure) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.INET);
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            OutgoingConnection outgoing = new OutgoingConnection(factory, onFailure);
            if (channel.connect(address)) {
                getSelectorManager().accept(channel, outgoing);
            } else {
                getSelectorManager().setConnectTimeout(timeoutMs);
                getSelectorManager().connect(channel, outgoing);
            }
        } catch (IOException | RuntimeException e) {
            // The channel throws runtime exceptions for an unresolved or unsupported address; they count as a failed
            // connect too.
            IO.close(channel);
            onFailure.run();
        }
    }

    /** Attachment that marks a connection opened by this router. */
    private record OutgoingConnection(UpstreamConnectionFactory factory, Runnable onFailure) {}

    private final class ClientAndUpstreamSelectorManager extends ServerConnectorManager {
        private ClientAndUpstreamSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
            super(executor, scheduler, selectors);
        }

        @Override
        protected void accepted(SelectableChannel channel) throws IOException {
            if (clients.get() >= maxClients) {
                IO.close(channel);
            } else {
                super.accepted(channel);
            }
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(
                SelectableChannel channel, ManagedSelector selector, SelectionKey key) throws IOException {
            if (key.attachment() instanceof OutgoingConnection) {
                return new UpstreamEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
            return super.newEndPoint(channel, selector, key);
        }

        @Override
        public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment)
                throws IOException {
            if (attachment instanceof OutgoingConnection outgoing) {
                return outgoing.factory().create(endPoint, getExecutor());
            }
            return super.newConnection(channel, endPoint, attachment);
        }

        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable failure, Object attachment) {
            if (attachment instanceof OutgoingConnection outgoing) {
                outgoing.onFailure().run();
            } else {
                super.connectionFailed(channel, failure, attachment);
            }
        }

        @Override
        protected void endPointOpened(EndPoint endPoint) {
            if (!(endPoint.getConnection() instanceof UpstreamConnection)) {
                clients.incrementAndGet();
                super.endPointOpened(endPoint);
            }
        }

        @Override
        protected void endPointClosed(EndPoint endPoint) {
            if (!(endPoint.getConnection() instanceof UpstreamConnection)) {
                clients.decrementAndGet();
                super.endPointClosed(endPoint);
            }
        }
    }
}
