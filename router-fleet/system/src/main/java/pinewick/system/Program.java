package pinewick.system;

import java.util.List;
import pinewick.control.Controller;
import pinewick.dataplane.Router;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

/** A program that the command line can run: the router or the controller. */
interface Program {
    /** Starts to serve. Throws if the program cannot start. */
    void start() throws Exception;

    /** Completes requests in flight within the grace period and returns when the program has stopped. */
    void stop() throws Exception;

    /** Replaces the seed nodes after a change of the settings. */
    void updateSeeds(List<SocketAddress> seeds);

    /** Creates a program from its settings. */
    @FunctionalInterface
    interface Factory {
        Program create(NodeSettings settings);
    }

    /** The two kinds of program. */
    enum Kind {
        ROUTER("frontend", Program::router),
        CONTROLLER("control_plane", Program::controller);

        private final String service;
        private final Factory factory;

        Kind(String service, Factory factory) {
            this.service = service;
            this.factory = factory;
        }

        /** The name in the settings of the interface that the program serves. */
        String service() {
            return service;
        }

        Factory factory() {
            return factory;
        }
    }

    static Program router(NodeSettings settings) {
        Router router = new Router(settings);
        return new Program() {
            @Override
            public void start() throws Exception {
                router.start();
            }

            @Override
            public void stop() throws Exception {
                router.stop();
            }

            @Override
            public void updateSeeds(List<SocketAddress> seeds) {
                router.updateSeeds(seeds);
            }
        };
    }

    static Program controller(NodeSettings settings) {
        Controller controller = new Controller(settings);
        return new Program() {
            @Override
            public void start() throws Exception {
                controller.start();
            }

            @Override
            public void stop() throws Exception {
                controller.stop();
            }

            @Override
            public void updateSeeds(List<SocketAddress> seeds) {
                controller.updateSeeds(seeds);
            }
        };
    }
}
