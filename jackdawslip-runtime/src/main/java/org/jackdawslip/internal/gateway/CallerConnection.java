package org.jackdawslip.internal.gateway;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jackdawslip.internal.limits.CallerMemory;
import org.jackdawslip.internal.limits.ConnectionBudget;
import org.jackdawslip.internal.limits.MemoryUse;
import org.jackdawslip.internal.traffic.CallerLimits;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RoutingConfig;

/**
 * The connection of one caller. Pipelined requests are processed concurrently, and their responses are
 * written in the order of the requests. Requests behind a response that is being written in parts wait for its end,
 * because the connection closes if that response breaks off.
 *
 * <p>Invariants: this instance closes the connection only after every request that was read has a response and the
 * caller had time to receive it, except after an I/O error, or if the caller does not read its responses. Requests
 * that follow a request with "Connection: close" receive no response. A request that is refused to protect the
 * instance was not passed on. Confined to the event loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest>
        implements ClientHttpCodec.Gate, CallerMemory.Client, ConnectionBudget.Connection {

    /** Requests without a response on one connection at which the connection stops reading. */
    private static final int MAX_PIPELINED = 32;
    /** Bytes of requests without a response, or of responses to be written, at which it stops reading as well. */
    private static final int MAX_PIPELINED_BYTES = 256 * 1024;
    /** Size up to which the only request of a connection counts as ordinary: a body of about 100 KB with headers. */
    private static final long MAX_ORDINARY_BYTES = 256 * 1024;
    /** Estimated heap of a connection without requests. */
    private static final long CONNECTION_BYTES = 4 * 1024;
    /** Estimated heap of a request beside its headers and body. */
    private static final long REQUEST_BYTES = 2 * 1024;
    /** Time for the caller to receive the last response and to close the connection. */
    private static final long LINGER_MILLIS = 5_000;
    /** The same after a refusal, or while the caller goes on sending what nobody reads. */
    private static final long REFUSED_LINGER_MILLIS = 2_000;
    /** Delay before a caller that was refused may retry. A caller honours up to a third of the time it has left. */
    private static final long RETRY_DELAY_MILLIS = 250;

    private final RequestComponents components;
    private final CallerServer server;
    private final CallerResources resources;
    private final Channel channel;
    private final Object address;
    private final CallerMemory.Holder heapHolder;
    private final CallerMemory.Holder largeBodyHolder;
    private final CallerRequestAggregator aggregator;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private ClientHttpCodec codec;
    private ChannelHandlerContext context;
    private boolean closing;
    /** Whether further input is discarded, because a request was refused. */
    private boolean inputDiscarded;
    /** Whether reading stopped until requests have responses that the caller reads. */
    private boolean paused;
    /** Closes the connection if the caller does not; set once the last response was written. */
    private ScheduledFuture<?> lingerTimer;

    private long lastActiveAt;
    private boolean requestCompleted;
    private final RequestReceipt receipt;
    private final UnreadResponses unread;

    /** Creates the handler of a connection. */
    CallerConnection(RequestComponents components, CallerServer server, CallerResources resources, Channel channel) {
        this.components = components;
        this.server = server;
        this.resources = resources;
        this.channel = channel;
        this.address = CallerServer.addressOf(channel);
        heapHolder = resources.heap().open(address, this);
        largeBodyHolder = resources.largeBodies().open(address, this);
        receipt = new RequestReceipt(heapHolder);
        unread = new UnreadResponses(heapHolder);
        aggregator = new CallerRequestAggregator(this, components.routing(), resources.limits());
        lastActiveAt = resources.now();
    }

    /** Takes a place among the connections; returns false if there is none. */
    boolean tryOpen() {
        if (!resources.connections().tryOpen(this)) {
            resources.recordRefusal(CallerRefusal.CONNECTIONS, address);
            return false;
        }
        if (!heapHolder.tryReserve(MemoryUse.CONNECTION, CONNECTION_BYTES, true)) {
            resources.connections().close(this);
            resources.recordRefusal(CallerRefusal.MEMORY, address);
            return false;
        }
        // Handlers are not told of the end if the connection failed before they were added.
        channel.closeFuture().addListener(closed -> {
            heapHolder.release(MemoryUse.CONNECTION, CONNECTION_BYTES);
            resources.connections().close(this);
        });
        return true;
    }

    /** Adds the handlers of the connection. */
    void addHandlers(ChannelPipeline pipeline, HttpDecoderConfig decoder) {
        codec = new ClientHttpCodec(decoder, this);
        pipeline.addLast(new ClientReadGate(this::onBytesReceived), codec, aggregator, this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
        server.onConnectionOpened(this);
    }

    CallerRequestMemory newRequestMemory() {
        return new CallerRequestMemory(heapHolder, largeBodyHolder);
    }

    /** Returns the estimated heap of a request without its body. */
    long headCost(HttpRequest request) {
        return REQUEST_BYTES + ClientHttpCodec.headCost(request.headers().size(), codec.lastHeadBytes());
    }

    /** Returns whether a request of this size is as small as that of an ordinary caller. */
    boolean isOrdinary(long bytes) {
        return pendingRequests.isEmpty() && bytes <= MAX_ORDINARY_BYTES;
    }

    private void onBytesReceived(int bytes) {
        lastActiveAt = resources.now();
        receipt.onBytes(bytes, lastActiveAt);
    }

    void onHeadReceived() {
        receipt.startBody(resources.now());
    }

    /** The rest of a body that was not kept has arrived. */
    void onDiscarded() {
        receipt.end();
    }

    void onReadComplete() {
        if (discardsInput()) {
            return;
        }
        long cost = codec.partialHeadCost();
        if (!receipt.tryReserveHead(cost, isOrdinary(cost))) {
            refuse(CallerRefusal.MEMORY, null);
        } else if (cost > 0) {
            receipt.startHead(resources.now());
        } else if (!aggregator.isReceivingBody() && !aggregator.isDiscardingBody()) {
            receipt.end();
        }
    }

    @Override
    public boolean acceptsRequest() {
        return (pendingRequests.isEmpty() || resources.mayPipeline())
                && pendingRequests.size() < MAX_PIPELINED
                && heapHolder.heldBytes(MemoryUse.FORWARDED) + largeBodyHolder.heldBytes(MemoryUse.FORWARDED)
                        < MAX_PIPELINED_BYTES
                && heapHolder.heldBytes(MemoryUse.WAITING) + largeBodyHolder.heldBytes(MemoryUse.WAITING)
                        < MAX_PIPELINED_BYTES
                && unread.waitingBytes() < MAX_PIPELINED_BYTES
                && channel.isWritable()
                && !server.readingStopped();
    }

    @Override
    public void onDeclined() {
        paused = true;
        channel.config().setAutoRead(false);
    }

    @Override
    public boolean discardsInput() {
        return closing || inputDiscarded;
    }

    private void resumeReading() {
        if (paused && (discardsInput() || acceptsRequest()) && !server.readingStopped()) {
            paused = false;
            channel.config().setAutoRead(true);
            codec.resume();
        }
    }

    /** Handles a request that was rejected or is malformed. */
    @Override
    protected void channelRead0(ChannelHandlerContext ignored, FullHttpRequest message) {
        if (closing || inputDiscarded) {
            return;
        }
        Throwable cause = message.decoderResult().cause();
        boolean bodySkipped = cause instanceof CallerRequestAggregator.RejectedRequestException;
        PendingRequest rejected = new PendingRequest(bodySkipped && HttpUtil.isKeepAlive(message), message);
        pendingRequests.addLast(rejected);
        rejected.write(CallerRequestAggregator.rejectionStatus(cause), new DefaultHttpHeaders(), new byte[0]);
    }

    /**
     * Handles a request.
     *
     * @param body the body; its reference belongs to this connection
     * @param bodyDiscarded whether the body was not kept
     */
    void receive(HttpRequest message, ByteBuf body, CallerRequestMemory memory, boolean bodyDiscarded) {
        if (!bodyDiscarded) {
            receipt.end();
        }
        if (closing || inputDiscarded) {
            body.release();
            memory.releaseHead();
            return;
        }
        requestCompleted = true;
        CallerRequest request = new CallerRequest(
                message.method(), message.uri(), message.headers(), body, resources.now(), bodyDiscarded);
        PendingRequest pending = new PendingRequest(HttpUtil.isKeepAlive(message), message);
        pending.request = request;
        pending.memory = memory;
        memory.moveTo(MemoryUse.WAITING);
        pendingRequests.addLast(pending);
        if (!acceptsRequest()) {
            onDeclined();
        }
        pending.forwarder = new RequestForwarder(components, request, pending);
        if (pendingRequests.stream().noneMatch(PendingRequest::isOpen)) {
            pending.start();
        }
    }

    /**
     * Refuses the request that is being received, without having passed it on. No further request is read.
     *
     * @param request the head of the request, or null if it is not complete
     */
    void refuse(CallerRefusal refusal, HttpRequest request) {
        if (closing || inputDiscarded) {
            return;
        }
        resources.recordRefusal(refusal, address);
        inputDiscarded = true;
        receipt.end();
        aggregator.abandon();
        receipt.tryReserveHead(0, true);
        PendingRequest refused = new PendingRequest(false, request);
        pendingRequests.addLast(refused);
        HeaderNames names = components.adapter().headers();
        String requestId = request == null ? "" : request.headers().get(names.requestId(), "");
        String text = "refused before it ran: " + refusal.label();
        LocalResponse.send(refused, names, requestId, refusal.status().code(), text, RETRY_DELAY_MILLIS);
        resumeReading();
    }

    /** Discards all further input and closes the connection after the responses to the requests that were read. */
    void closeAfterOpenRequests() {
        inputDiscarded = true;
        receipt.end();
        if (pendingRequests.isEmpty() && !closing) {
            closing = true;
            closeAfterLastResponse();
        } else if (!pendingRequests.isEmpty()) {
            pendingRequests.peekLast().keepAlive = false;
        }
    }

    /** Refuses a request, or closes the connection, if the caller exceeds a time limit. */
    void checkDeadlines(CallerLimits limits) {
        long now = resources.now();
        updateUnread();
        if (closing) {
            return;
        }
        resumeReading();
        if (unread.isOverdue(limits.idleTimeoutMillis(), now)) {
            closeAtOnce(CallerRefusal.UNREAD_RESPONSE);
        } else if (paused) {
            // The caller cannot send, because this instance does not read.
            receipt.restart(now);
        } else if (receipt.isHeadOverdue(limits.headerTimeoutMillis(), now)) {
            refuse(CallerRefusal.HEADER_TIMEOUT, null);
        } else if (receipt.isBodyOverdue(limits.idleTimeoutMillis(), now)) {
            handleSlowBody();
        } else if (pendingRequests.isEmpty()
                && !receipt.isOpen()
                && unread.isEmpty()
                && now - lastActiveAt >= limits.idleTimeoutMillis()) {
            channel.close();
        }
    }

    private void handleSlowBody() {
        if (aggregator.isReceivingBody()) {
            refuse(CallerRefusal.BODY_TIMEOUT, aggregator.head());
        } else {
            closeAfterOpenRequests();
        }
    }

    private void closeAtOnce(CallerRefusal reason) {
        resources.recordRefusal(reason, address);
        channel.close();
    }

    @Override
    public long slowMillis() {
        return Math.max(slowSendMillis(), unread.slowMillis(resources.now()));
    }

    private long slowSendMillis() {
        boolean droppable = !paused && (receipt.holdsHead() || aggregator.isReceivingBody());
        return droppable ? receipt.slowMillis(resources.now()) : NOT_DROPPABLE;
    }

    @Override
    public void drop() {
        if (unread.slowMillis(resources.now()) >= slowSendMillis()) {
            closeAtOnce(CallerRefusal.UNREAD_RESPONSE);
        } else {
            refuse(CallerRefusal.SLOWEST, aggregator.head());
        }
    }

    @Override
    public ConnectionBudget.Activity activity() {
        if (closing || inputDiscarded) {
            return ConnectionBudget.Activity.ENDING;
        }
        if (pendingRequests.stream().anyMatch(pending -> pending.head == null)) {
            return ConnectionBudget.Activity.BUSY;
        }
        boolean idle = requestCompleted && !receipt.isOpen() && unread.isEmpty();
        return idle ? ConnectionBudget.Activity.IDLE : ConnectionBudget.Activity.UNPROVEN;
    }

    @Override
    public long waitingMillis() {
        long slowMillis = slowMillis();
        return slowMillis == NOT_DROPPABLE ? resources.now() - lastActiveAt : slowMillis;
    }

    @Override
    public Object address() {
        return address;
    }

    @Override
    public void closeForAnother() {
        closeAtOnce(CallerRefusal.REPLACED);
    }

    /** Adjusts the reserved memory to the responses that are unread. */
    private void updateUnread() {
        if (!unread.update(channel, resources.now()) && unread.reservedBytes() > MAX_PIPELINED_BYTES) {
            closeAtOnce(CallerRefusal.UNREAD_RESPONSE);
        }
    }

    /** Writes what is ready of the responses, in the order of the requests. */
    private void writeReadyResponses() {
        boolean written = false;
        while (!pendingRequests.isEmpty() && pendingRequests.peekFirst().hasOutput()) {
            PendingRequest first = pendingRequests.peekFirst();
            if (!first.started) {
                first.started = true;
                if (!first.keepAlive || server.keepAliveDisabled() && pendingRequests.size() == 1) {
                    announceClose(first);
                }
            }
            first.writeOutput();
            written = true;
            if (!first.ended) {
                break;
            }
            pendingRequests.pollFirst();
            first.releaseRequest();
            if (closing || inputDiscarded && pendingRequests.isEmpty()) {
                closing = true;
                closeAfterLastResponse();
                return;
            }
            startWaitingRequests();
        }
        if (written) {
            lastActiveAt = resources.now();
            context.flush();
            resumeReading();
        }
        updateUnread();
    }

    /**
     * Ends the output and waits until the caller closes the connection. A close with unread bytes would reset the
     * connection, and the caller would lose what it has not received yet.
     */
    private void closeAfterLastResponse() {
        long millis = inputDiscarded ? REFUSED_LINGER_MILLIS : LINGER_MILLIS;
        lingerTimer = context.executor().schedule(() -> channel.close(), millis, TimeUnit.MILLISECONDS);
        channel.config().setAutoRead(true);
        codec.resume();
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> ((DuplexChannel) channel).shutdownOutput());
        receipt.tryReserveHead(0, true);
        updateUnread();
    }

    private void startWaitingRequests() {
        if (pendingRequests.stream().anyMatch(PendingRequest::isOpen)) {
            return;
        }
        for (PendingRequest pending : List.copyOf(pendingRequests)) {
            pending.start();
        }
    }

    /** Makes this response the last one on the connection. */
    private void announceClose(PendingRequest last) {
        last.head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closing = true;
        pendingRequests.pollFirst();
        abandonPendingRequests();
        pendingRequests.addFirst(last);
    }

    /** Ends the processing of requests whose responses cannot be written any more. */
    private void abandonPendingRequests() {
        List<PendingRequest> abandoned = List.copyOf(pendingRequests);
        pendingRequests.clear();
        abandoned.forEach(PendingRequest::handleDisconnect);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        PendingRequest first = pendingRequests.peekFirst();
        if (first != null && first.started && channel.isWritable()) {
            first.onWritable.run();
        }
        if (!closing) {
            resumeReading();
        }
    }

    /** Stops reading and closes the connection after the response to the last request that was read. */
    void closeGracefully() {
        if (lingerTimer != null) {
            return;
        }
        if (pendingRequests.isEmpty()) {
            closing = true;
            channel.close();
        } else {
            channel.config().setAutoRead(false);
        }
    }

    /** Answers the requests that have no response yet, whatever their attempts do. */
    void answerOpenRequests() {
        for (PendingRequest pending : List.copyOf(pendingRequests)) {
            if (pending.forwarder != null) {
                pending.forwarder.onInstanceExit();
            }
        }
    }

    /** Returns whether a request has no response yet, or the caller may still receive the last one. */
    boolean isBusy() {
        return !pendingRequests.isEmpty() || lingerTimer != null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        if (lingerTimer != null) {
            lingerTimer.cancel(false);
        }
        server.onConnectionClosed(this);
        abandonPendingRequests();
        aggregator.abandon();
        receipt.tryReserveHead(0, true);
        unread.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        channel.close();
        if (!(cause instanceof IOException)) {
            resources.recordFault(cause, address);
        }
    }

    /** One request, its position in the order of the responses, and the output that waits for that position. */
    private final class PendingRequest implements ResponseWriter, ResponseBodyWriter {
        private boolean keepAlive;
        private final boolean headRequest;
        private final boolean acceptsChunks;
        private final Deque<HttpObject> output = new ArrayDeque<>();
        private HttpResponse head;
        private RequestForwarder forwarder;
        private CallerRequest request;
        private CallerRequestMemory memory;
        private Runnable onWritable = () -> {};
        private boolean forwarding;
        private boolean started;
        private boolean ended;
        private boolean disconnected;

        PendingRequest(boolean keepAlive, HttpRequest request) {
            this.keepAlive = keepAlive;
            this.headRequest = request != null && request.method().equals(HttpMethod.HEAD);
            this.acceptsChunks = request != null && request.protocolVersion().isKeepAliveDefault();
        }

        /** Releases the request, which is not attempted again. */
        private void releaseRequest() {
            if (memory != null) {
                request.body().release();
                memory.releaseHead();
                memory = null;
                if (forwarding) {
                    resources.recordEnd();
                }
            }
        }

        /**
         * Releases the request of a caller that left. One that may run only once goes on at its server, and its
         * headers stay in memory for about the time limit of its route.
         */
        private void releaseAbandonedRequest() {
            RoutingConfig config = components.routing().config();
            HostRoute route = !forwarding || config == null
                    ? null
                    : config.route(request.headers().get(HttpHeaderNames.HOST), request.path())
                            .orElse(null);
            if (route == null || route.kind().repeatable()) {
                releaseRequest();
            } else {
                CallerRequestMemory held = memory;
                memory = null;
                request.body().release();
                Runnable end = () -> {
                    held.releaseHead();
                    resources.recordEnd();
                };
                context.executor().schedule(end, route.timeoutMillis(), TimeUnit.MILLISECONDS);
            }
        }

        /** Starts to process the request, unless that was done or a response is known already. */
        private void start() {
            if (!forwarding && forwarder != null && head == null && !disconnected) {
                forwarding = true;
                memory.moveTo(MemoryUse.FORWARDED);
                resources.recordStart();
                forwarder.start();
            }
        }

        /** Returns whether the response is being written in parts. */
        private boolean isOpen() {
            return head != null && !ended;
        }

        private boolean hasOutput() {
            return !output.isEmpty();
        }

        private void writeOutput() {
            while (!output.isEmpty()) {
                HttpObject part = output.pollFirst();
                unread.recordWritten(part);
                context.write(part, context.voidPromise());
            }
            if (!ended && isWritable()) {
                onWritable.run();
            }
        }

        private void handleDisconnect() {
            disconnected = true;
            discardOutput();
            if (forwarder != null) {
                forwarder.onCallerDisconnect();
            }
            if (memory != null) {
                releaseAbandonedRequest();
            }
        }

        private void discardOutput() {
            for (HttpObject part : output) {
                unread.removeWaiting(part);
                ReferenceCountUtil.release(part);
            }
            output.clear();
        }

        private void add(HttpObject part) {
            if (disconnected) {
                ReferenceCountUtil.release(part);
            } else {
                output.addLast(part);
                unread.addWaiting(part);
                writeReadyResponses();
            }
        }

        @Override
        public void write(int status, HttpHeaders headers, byte[] body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            response.headers().add(headers);
            if (!headRequest) {
                response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            head = response;
            ended = true;
            add(response);
        }

        @Override
        public boolean canWriteParts(long contentLength) {
            if (contentLength == UNKNOWN_LENGTH) {
                return acceptsChunks;
            }
            // Requests behind this one may run, and would lose their responses if this one broke off.
            return this == pendingRequests.peekLast() || contentLength > BackendDirectory.MAX_RESPONSE_BYTES;
        }

        @Override
        public ResponseBodyWriter start(int status, HttpHeaders headers, long contentLength, Runnable newOnWritable) {
            head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            head.headers().add(headers);
            if (contentLength == UNKNOWN_LENGTH) {
                HttpUtil.setTransferEncodingChunked(head, true);
            } else {
                HttpUtil.setContentLength(head, contentLength);
            }
            onWritable = newOnWritable;
            add(head);
            return this;
        }

        @Override
        public boolean isWritable() {
            return started && channel.isWritable();
        }

        @Override
        public void write(ByteBuf part) {
            add(new DefaultHttpContent(part));
        }

        @Override
        public void end() {
            ended = true;
            add(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public boolean abandon() {
            onWritable = () -> {};
            if (started) {
                channel.close();
                return false;
            }
            discardOutput();
            return true;
        }
    }
}
