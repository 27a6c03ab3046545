package org.jackdawslip.platform;

/** Another writer adds an entry of a service that the manifest does not name, at the address of an upstream with keys. */
final class ForeignEntryCase {

    private static final int UPSTREAMS = 5;

    private ForeignEntryCase() {}

    public static void main(String[] arguments) {
        Trial.run(arguments, ForeignEntryCase::run);
    }

    private static int run(Trial trial) throws Exception {
        KeyCheck check = new KeyCheck(trial);
        trial.writeManifest();
        for (int i = 1; i <= UPSTREAMS; i++) {
            Upstream upstream = new Upstream(trial, "s-" + i, "keyed", check.keys, check::onGrant);
            check.upstreams.add(upstream);
            upstream.start(false);
        }
        trial.startGateway("front-1", "a");
        trial.startGateway("front-2", "b");
        check.start();
        check.startTraffic(trial.gateways, 4, 60, 60);
        check.awaitAllHeld();
        Thread.sleep(5_000);
        if (trial.trouble) {
            Upstream upstream = check.upstreams.get(1);
            String entry = "{\"address\":\"127.0.0.1:" + upstream.port + "\",\"born\":" + System.currentTimeMillis()
                    + ",\"information\":{\"service\":\"unnamed\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":3},"
                    + "\"status\":{\"state\":\"ready\",\"sequence\":1,\"warmup_remaining_ms\":0}}";
            trial.report("another writer adds servers/other-1: " + entry);
            trial.store.put("servers/other-1", entry);
        }
        Thread.sleep(9_000);
        return check.result();
    }
}
