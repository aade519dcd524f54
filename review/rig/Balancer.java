import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the host of each new connection as the platform does in a zone: asks each host
 * once a second whether it is ready, takes it out after two misses, and uses all while
 * fewer than half are left. Thread-safe.
 */
final class Balancer {

    private static final long PERIOD_MILLIS = 1000;

    private final Rig rig;

    private final Map<EntryProcess, Boolean> out = new ConcurrentHashMap<>();

    private final AtomicInteger drawn = new AtomicInteger();

    Balancer(Rig rig) {
        this.rig = rig;
        for (EntryProcess host : rig.hosts()) {
            Rig.thread("readiness of " + host.name(), () -> watch(host));
        }
    }

    private void watch(EntryProcess host) throws InterruptedException {
        int misses = 0;
        while (true) {
            long asked = System.nanoTime();
            boolean ready = host.ready();
            misses = ready ? 0 : misses + 1;
            boolean isOut = misses >= 2;
            if (isOut != this.out.getOrDefault(host, false)) {
                this.rig.note("the platform " + (isOut ? "takes " + host.name() + " out" : "uses " + host.name() + " again"));
            }
            this.out.put(host, isOut);
            Thread.sleep(Math.max(1, PERIOD_MILLIS - (System.nanoTime() - asked) / 1_000_000));
        }
    }

    EntryProcess next() {
        List<EntryProcess> used = new ArrayList<>(this.rig.hosts());
        used.removeIf((host) -> this.out.getOrDefault(host, false));
        if (2 * used.size() < this.rig.hosts().size()) {
            used = this.rig.hosts();
        }
        return used.get(Math.floorMod(this.drawn.getAndIncrement(), used.size()));
    }

}
