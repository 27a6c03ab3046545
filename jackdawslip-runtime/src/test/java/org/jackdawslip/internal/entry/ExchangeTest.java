package org.jackdawslip.internal.entry;

import java.util.List;
import java.util.Optional;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.http.HttpHeader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ExchangeTest {

    /** Guards against reporting "not run" for a request that an instance may have run before it was lost. */
    @Test
    void lostRelayExcludesNotRun() {
        Exchange exchange = exchange();
        exchange.lostRelays = 1;
        exchange.fail(ErrorCode.NO_OWNER, "no route");
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, exchange.result.join().error().orElseThrow());
    }

    /**
     * Guards against a status that is no status of a response and reaches the caller through a relay of another
     * instance. A relay answer without a status has the status 0.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 99, 100, 199, 600, 999, 2000, -200})
    void invalidStatusIsAnUnknownOutcome(int status) {
        Exchange exchange = exchange();
        exchange.respond(status, List.of(new HttpHeader("X-Passed", "yes")), new byte[] {1});
        Exchange.Response response = exchange.result.join();
        assertEquals(Optional.of(ErrorCode.OUTCOME_UNKNOWN), response.error());
        assertEquals(ErrorCode.OUTCOME_UNKNOWN.httpStatus(), response.status());
        assertEquals(List.of(), response.headers());
        assertEquals(0, response.body().length);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 404, 599})
    void validStatusIsReturned(int status) {
        Exchange exchange = exchange();
        exchange.respond(status, List.of(), new byte[0]);
        assertEquals(status, exchange.result.join().status());
        assertEquals(Optional.empty(), exchange.result.join().error());
    }

    private static Exchange exchange() {
        return new Exchange.Builder()
                .target(new ServiceName("ledger"), "GET", "/")
                .time(0, 1000)
                .build();
    }
}
