package org.jackdawslip.internal.http;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Collects a response body and fails if the body exceeds a limit or the status of the response is not one of HTTP.
 *
 * <p>Invariant: after a failure no response is returned. Not thread-safe: the JDK client calls it serially.
 */
final class LimitedBodySubscriber implements HttpResponse.BodySubscriber<byte[]> {

    /** The JDK client rejects lower statuses than those of HTTP, but not higher ones. */
    private static final int MAX_STATUS = 599;

    private final HttpResponse.BodySubscriber<byte[]> collector = HttpResponse.BodySubscribers.ofByteArray();
    private final int status;
    private final int limitBytes;
    private Flow.Subscription subscription;
    private long receivedBytes;

    private LimitedBodySubscriber(int status, int limit) {
        this.status = status;
        this.limitBytes = limit;
    }

    static HttpResponse.BodyHandler<byte[]> handler(int limit) {
        return information -> new LimitedBodySubscriber(information.statusCode(), limit);
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return collector.getBody();
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        collector.onSubscribe(newSubscription);
        if (status > MAX_STATUS) {
            fail("the response has the invalid status " + status);
        }
    }

    private void fail(String problem) {
        subscription.cancel();
        collector.onError(new IOException(problem));
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            receivedBytes += buffer.remaining();
        }
        if (receivedBytes > limitBytes) {
            fail("the response body exceeds " + limitBytes + " bytes");
        } else {
            collector.onNext(buffers);
        }
    }

    @Override
    public void onError(Throwable failure) {
        collector.onError(failure);
    }

    @Override
    public void onComplete() {
        collector.onComplete();
    }
}
