/** Sends SIGHUP to an entry host at several times after the start of its process. */
final class EarlyHup {

    private static final int[] MILLIS = { 20, 60, 100, 150, 200, 250, 300, 400, 500, 600, 800, 1000, 1300 };

    private EarlyHup() {
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, EarlyHup::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store()
            .put("op", "config", Settings.config(1, Settings.plain("r-fetch", "/fetch/", "idempotent", "studio-app")));
        rig.startHosts(1);
        EntryProcess host = rig.hosts().get(0);
        host.close();
        boolean held = true;
        for (int millis : MILLIS) {
            host.start();
            Thread.sleep(millis);
            if (Rig.trouble()) {
                host.signal("HUP");
            }
            int exit = host.awaitExit(1500);
            held = held && exit < 0;
            rig.note("SIGHUP " + millis + " ms after the start: " + ((exit < 0) ? "the process lives" : "exit " + exit));
            host.close();
        }
        return held;
    }

}
