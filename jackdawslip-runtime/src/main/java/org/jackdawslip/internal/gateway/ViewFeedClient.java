package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.durable.StoreEra;

/**
 * Both ends of the calls to a {@link ViewFeed} over HTTP: sends them to other instances, and passes those of other
 * instances to the feed of this one. Confined to the event loop.
 */
final class ViewFeedClient implements FeedReader.SourceClient {

    private static final String PATH = "/view-changes";
    private static final String AFTER = "after";
    private static final String WAIT = "wait";
    /** Missing in calls of earlier versions, and if the store states no era. */
    private static final String ERA = "era";

    private final InternalHttpClient client;

    ViewFeedClient(InternalHttpClient client) {
        this.client = client;
    }

    /** Returns whether the URI is one of a call to a feed. */
    static boolean isFeedCall(String uri) {
        return uri.startsWith(PATH + "?");
    }

    /**
     * Passes a call to the feed.
     *
     * @throws IllegalArgumentException if a parameter is missing or not a number
     * @throws JackdawslipException if the era is not valid
     */
    static void dispatch(ViewFeed feed, String uri, Consumer<DurableStore.Result> whenDone) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        List<String> era = query.parameters().get(ERA);
        feed.watch(
                StoreEra.parse(era == null ? null : era.get(0)), number(query, AFTER), number(query, WAIT), whenDone);
    }

    private static long number(QueryStringDecoder query, String parameter) {
        if (!query.parameters().containsKey(parameter)) {
            throw new IllegalArgumentException("parameter " + parameter + " is missing");
        }
        return Long.parseLong(query.parameters().get(parameter).get(0));
    }

    @Override
    public void watch(
            String address,
            StoreEra era,
            long afterRevision,
            long waitMillis,
            long timeoutMillis,
            Consumer<DurableStore.Result> whenDone) {
        String uri = PATH + "?" + AFTER + "=" + afterRevision + "&" + WAIT + "=" + waitMillis
                + (era.equals(StoreEra.NONE) ? "" : "&" + ERA + "=" + era);
        client.call(address, HttpMethod.GET, uri, null, timeoutMillis, response -> whenDone.accept(decode(response)));
    }

    private static DurableStore.Result decode(InternalHttpClient.Response response) {
        if (response.status() == HttpResponseStatus.OK.code()) {
            try {
                return ViewChangesCodec.decode(response.content());
            } catch (IOException e) {
                // An invalid message is handled like a missing one: the store is asked.
                return DurableStore.Result.of(DurableStore.Status.UNKNOWN);
            }
        }
        return DurableStore.Result.of(response.received() ? DurableStore.Status.REFUSED : DurableStore.Status.UNKNOWN);
    }
}
