import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The service at advice: handles one call at a time for each calling machine, in turn; with 32 waiting it answers 429. */
final class Advice {
    private record Ticket(long validUntil) {}

    private final Lab lab;
    private final long decideMs;
    private final long eachMs;
    private final long validMs;
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final List<Http> queues = new ArrayList<>();
    private long lastTicket;
    int answered;
    int refused;

    Advice(Lab lab, long decideMs, long eachMs, long validMs) {
        this.lab = lab;
        this.decideMs = decideMs;
        this.eachMs = eachMs;
        this.validMs = validMs;
    }

    Map<String, Object> policy() {
        return Json.map("decideMs", decideMs, "eachMs", eachMs, "validMs", validMs);
    }

    /** Returns the address at which one machine calls. */
    String open() throws Exception {
        Object turn = new Object();
        long[] next = {0, 0};
        Http http = new Http("127.0.0.1", call -> {
            long mine;
            synchronized (turn) {
                if (next[1] - next[0] > 32) {
                    refused++;
                    return new Http.Answer(429, null);
                }
                mine = next[1]++;
                while (next[0] != mine) {
                    turn.wait();
                }
            }
            Http.Answer answer = decide(call);
            synchronized (turn) {
                next[0]++;
                turn.notifyAll();
            }
            return answer;
        });
        queues.add(http);
        return http.address();
    }

    @SuppressWarnings("unchecked")
    private Http.Answer decide(Http.Call call) {
        String step = Json.text(call.body, "step");
        List<Object> workers = (List<Object>) call.body.get("workers");
        Lab.sleep(decideMs + eachMs * workers.size());
        List<Object> good = new ArrayList<>();
        synchronized (lab) {
            for (Object worker : workers) {
                if (Math.floorMod((step + worker).hashCode(), 2) == 0 || workers.size() == 1) {
                    String ticket = "t-" + ++lastTicket;
                    tickets.put(step + " " + worker + " " + ticket, new Ticket(Lab.now() + validMs));
                    good.add(List.of(worker, ticket));
                }
            }
            answered++;
            lab.record("advice", step + " of " + workers.size() + " good " + good.size());
        }
        return new Http.Answer(200, Json.map("good", good, "validMs", validMs));
    }

    boolean isValid(String step, String worker, String ticket) {
        Ticket known = tickets.get(step + " " + worker + " " + ticket);
        return known != null && Lab.now() <= known.validUntil;
    }
}
