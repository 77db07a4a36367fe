package pinewick.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import pinewick.model.SocketAddress;

/** A simple client for the fleet's HTTP interfaces. */
public final class HttpPeer {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final Duration timeout;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .followRedirects(HttpClient.Redirect.NORMAL)
            .build();

    /** Uses a response time-out of five seconds. */
    public HttpPeer() {
        this(DEFAULT_TIMEOUT);
    }

    /** @param timeout the response time-out */
    public HttpPeer(Duration timeout) {
        this.timeout = timeout;
    }

    /** Sends a GET request; returns the status code of the response, 0 if there was none. */
    public int status(SocketAddress peer, String path) throws InterruptedException {
        return statusOf(get(peer, path));
    }

    /** The status report of a controller; empty if it does not respond with status 200. */
    public Optional<JsonObject> report(SocketAddress controlPlane) throws InterruptedException {
        try {
            HttpResponse<String> response =
                    client.send(get(controlPlane, "/status"), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == OK
                    ? Optional.of(JsonParser.parseString(response.body()).getAsJsonObject())
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Sends a POST request with a JSON body; returns the status code of the response, 0 if there was none. */
    public int post(SocketAddress peer, String path, String body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(peer, path))
                .timeout(DEFAULT_TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return statusOf(request);
    }

    /** Sends a configuration change; returns the status code of the response, 0 if there was none. */
    public int change(SocketAddress controlPlane, String path, long baseVersion, byte[] body)
            throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(controlPlane, path))
                .timeout(timeout)
                .header("Content-Type", "application/json")
                .header("X-Pinewick-Base-Version", Long.toString(baseVersion))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return statusOf(request);
    }

    private int statusOf(HttpRequest request) throws InterruptedException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private HttpRequest get(SocketAddress peer, String path) {
        return HttpRequest.newBuilder(uri(peer, path)).timeout(timeout).build();
    }

    private static URI uri(SocketAddress peer, String path) {
        return URI.create("http://" + peer + path);
    }
}
