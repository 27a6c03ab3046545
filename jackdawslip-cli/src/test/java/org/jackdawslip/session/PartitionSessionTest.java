package org.jackdawslip.session;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.approvaltests.namer.NamedEnvironment;
import org.approvaltests.namer.NamerFactory;
import org.jackdawslip.standins.BackendServerProcess;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sessions about instances and failure domains that cannot reach each other, and frozen backend servers. */
class PartitionSessionTest {

    @TempDir
    private Path directory;

    /** Guards against a domain that stops serving its own keys, or runs foreign ones, without peers and store. */
    @Test
    @Tag("known-red")
    void isolatedDomainsServeTheirOwnKeys() throws Exception {
        try (Session session = new Session(directory, "a1", "a2", "b1", "b2")) {
            session.service("sheets", "keyed");
            session.backend("sheets-a1", AtMostOnceSessionTest.quick());
            session.backend("sheets-b1", AtMostOnceSessionTest.quick());
            session.startAll();
            Map<String, String> homes = new HashMap<>();
            for (int i = 0; i < 24; i++) {
                String key = "key-" + i;
                session.awaitServed("a1", "POST", "/sheets/", "Key", key);
                session.journal().stream()
                        .filter(run -> key.equals(run.get("key")))
                        .forEach(run ->
                                homes.put(key, run.get("server").toString().substring(7, 8)));
            }
            session.note("24 keys are served, homes in both domains: "
                    + homes.values().containsAll(List.of("a", "b")));
            session.links("a", "b", Link.Mode.CUT);
            session.links("a", "store", Link.Mode.STALLED);
            session.links("b", "store", Link.Mode.STALLED);
            session.note("the domains are cut from each other and from the store");
            Session.await(
                    "silence between the domains",
                    () -> Stream.of("a1", "a2").noneMatch(name -> reachable(session, name, "fd-b"))
                            && Stream.of("b1", "b2").noneMatch(name -> reachable(session, name, "fd-a")));
            session.note("from its own domain: " + answers(session, homes, true));
            session.note("from the other domain: " + answers(session, homes, false));
            session.links("a", "b", Link.Mode.OPEN);
            session.links("a", "store", Link.Mode.OPEN);
            session.links("b", "store", Link.Mode.OPEN);
            Session.await("summaries", () -> reachable(session, "a1", "fd-b") && reachable(session, "b1", "fd-a"));
            session.note("the partition ends; from the other domain: " + answers(session, homes, false));
            session.verify();
        }
    }

    private static boolean reachable(Session session, String instance, String domain) {
        return session.status(instance)
                .path("domains")
                .path(domain)
                .path("reachable")
                .asBoolean();
    }

    private static Set<String> answers(Session session, Map<String, String> homes, boolean own) {
        Map<String, CompletableFuture<Session.Answer>> sent = new HashMap<>();
        homes.forEach((key, home) -> {
            String id = session.id();
            String from = home.equals("a") == own ? "a1" : "b1";
            sent.put(id, session.send(from, "POST", "/sheets/", "Key", key, "Request-Id", id));
        });
        Set<String> texts = new HashSet<>();
        sent.forEach((id, answer) -> texts.add(answer.join().text() + ", runs " + session.runs(id)));
        return texts;
    }

    /**
     * Guards against two senders of one backend server when its sender loses the others and the store, while the
     * backend server freezes and returns.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void isolatedSenderAndFrozenBackendServer(boolean checksTokens) throws Exception {
        try (Session session = new Session(directory, "a1", "a2", "a3");
                NamedEnvironment names = NamerFactory.withParameters(checksTokens)) {
            session.service("orders", "pool").put("checksTokens", checksTokens).put("onSilence", "move");
            BackendServerProcess server =
                    session.backend("orders-a1", AtMostOnceSessionTest.quick().checksTokens(checksTokens));
            session.startAll();
            session.awaitServed("a1", "POST", "/orders/");
            String sender = session.sender("orders-a1");
            Map<String, CompletableFuture<Session.Answer>> sent = new HashMap<>();
            send(session, sent, 10);
            server.freeze(1500);
            session.note("the backend server freezes while requests run");
            send(session, sent, 10);
            session.links(sender, "", Link.Mode.STALLED);
            session.note("its sender is cut from the other instances and from the store");
            send(session, sent, 10);
            String other = session.instances.keySet().stream()
                    .filter(name -> !name.equals(sender))
                    .findFirst()
                    .orElseThrow();
            session.awaitServed(other, "POST", "/orders/");
            session.note("another instance serves again");
            send(session, sent, 10);
            session.links(sender, "", Link.Mode.OPEN);
            session.awaitServed(sender, "POST", "/orders/");
            session.note("the former sender returns and serves through the others");
            List<String> untrue = new ArrayList<>();
            sent.forEach((id, answer) -> {
                if (!AtMostOnceSessionTest.truthful(session, id, answer.join().text())) {
                    untrue.add(answer.join().text() + ", runs " + session.runs(id));
                }
            });
            session.note("answers that do not agree with the journal: " + untrue);
            session.note("runs by a former sender after those of its follower: " + late(server));
            session.verify();
        }
    }

    private static void send(Session session, Map<String, CompletableFuture<Session.Answer>> sent, int count) {
        for (int i = 0; i < count; i++) {
            for (String instance : session.instances.keySet()) {
                String id = session.id();
                sent.put(id, session.send(instance, "POST", "/orders/", "Request-Id", id, "Request-Timeout", "8000"));
            }
        }
    }

    /** Counts the runs whose token is lower than that of an earlier run. */
    private static long late(BackendServerProcess server) {
        long highest = 0;
        long late = 0;
        for (Map<String, Object> run : server.journal().stream()
                .sorted(Comparator.comparingLong(run -> (Long) run.get("startNanos")))
                .toList()) {
            long token = (Long) run.get("senderToken");
            late += token < highest ? 1 : 0;
            highest = Math.max(highest, token);
        }
        return late;
    }
}
