package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** A client of the entries. */
final class Client {
    private final World world;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(3))
            .build();

    Client(World world) {
        this.world = world;
    }

    /** An answer; the status is 0 if there was none. */
    record Answer(int status, String body) {}

    Answer send(Entry entry, String method, String path, byte[] body) {
        long sent = world.now();
        world.record("client: " + method + " " + path + " to " + entry.name);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.front + path))
                .header("Host", "jobs.example")
                .header("Content-Type", "application/json")
                .header("X-Trefoilpost-Request-Deadline", "3000")
                .timeout(Duration.ofSeconds(3))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        Answer answer;
        try {
            HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            answer = new Answer(response.statusCode(), new String(response.body(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            answer = new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            answer = new Answer(0, "interrupted");
        }
        world.record("client: " + method + " " + path + " to " + entry.name + ", sent at " + sent + ": " + answer.status
                + " " + answer.body);
        return answer;
    }

    /** Submits a job until it is accepted; refused submissions are sent again after a second. */
    void submit(Entry entry, String queue, World.Job job, int attempts) throws Exception {
        synchronized (world) {
            world.jobs.put(job.id, job);
        }
        for (int i = 0; i < attempts; i++) {
            if (submitOnce(entry, queue, job).status / 100 == 2) {
                return;
            }
            Thread.sleep(1_000);
        }
        throw new World.CannotRun("job " + job.id + " is not accepted");
    }

    /**
     * Submits a job over a connection that breaks before the answer is read, about as long after the request as an answer
     * takes.
     */
    void submitOverABreakingConnection(Entry entry, String queue, World.Job job) throws Exception {
        synchronized (world) {
            world.jobs.put(job.id, job);
        }
        byte[] body = Http.bytes(job.body());
        String head = "POST /" + queue + "/" + job.id + " HTTP/1.1\r\nHost: jobs.example\r\n"
                + "Content-Type: application/json\r\nX-Trefoilpost-Request-Deadline: 3000\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        String[] address = entry.front.split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write((head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            world.record("client: POST /" + queue + "/" + job.id + " to " + entry.name + ", over a connection that breaks");
            Thread.sleep(60);
            socket.setSoLinger(true, 0);
        }
    }

    Answer submitOnce(Entry entry, String queue, World.Job job) {
        synchronized (world) {
            world.jobs.put(job.id, job);
        }
        Answer answer = send(entry, "POST", "/" + queue + "/" + job.id, Http.bytes(job.body()));
        if (answer.status / 100 == 2 && job.acceptedMillis < 0) {
            job.acceptedMillis = world.now();
        }
        return answer;
    }

    String state(Entry entry, String queue, String id) {
        Answer answer = send(entry, "GET", "/" + queue + "/" + id, new byte[0]);
        return answer.status == 200
                ? Http.parse(answer.body.getBytes(StandardCharsets.UTF_8)).path("state").asText()
                : Integer.toString(answer.status);
    }
}
