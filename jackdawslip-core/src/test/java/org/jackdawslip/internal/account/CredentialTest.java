package org.jackdawslip.internal.account;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Guards against credentials that are read as a key that they do not carry. */
class CredentialTest {

    private static Credential parse(String... values) {
        return Credential.parse(List.of(values), "Token");
    }

    @Test
    void keyFollowsTheScheme() {
        assertEquals(KeyDigest.of("abc-123"), parse("Token abc-123").key());
        assertEquals(KeyDigest.of("abc-123"), parse("tOKEN abc-123").key());
        assertEquals(Credential.Status.PRESENT, parse("Token a").status());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Token",
                "Token ",
                "Token  abc",
                "Token abc ",
                "Token a b",
                "Token a\tb",
                "Token a\u0000b",
                "Token \u00e4bc",
                "Token \u2003abc",
                "Token abc\u007f"
            })
    void malformedKeyIsNoKey(String value) {
        assertEquals(Credential.Status.MALFORMED, parse(value).status());
        assertNull(parse(value).key());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "abc", "Tokenabc", "Token\tabc", " Token abc", "Basic YTpi", "Bearer abc"})
    void otherSchemeIsNoKey(String value) {
        assertEquals(Credential.Status.OTHER_SCHEME, parse(value).status());
        assertNull(parse(value).key());
    }

    @Test
    void repeatedCredentialIsNoKeyEvenIfEqual() {
        assertEquals(Credential.Status.REPEATED, parse("Token abc", "Token abc").status());
        assertEquals(Credential.Status.REPEATED, parse("Token abc", "").status());
        assertEquals(Credential.Status.MISSING, parse().status());
    }

    @Test
    void lengthIsLimited() {
        int length = Credential.MAX_LENGTH - "Token ".length();
        assertEquals(
                Credential.Status.PRESENT, parse("Token " + "a".repeat(length)).status());
        assertEquals(
                Credential.Status.TOO_LONG,
                parse("Token " + "a".repeat(length + 1)).status());
    }

    @Test
    void textOfACredentialDoesNotContainTheKey() {
        assertFalse(parse("Token very-secret").toString().contains("very-secret"));
    }
}
