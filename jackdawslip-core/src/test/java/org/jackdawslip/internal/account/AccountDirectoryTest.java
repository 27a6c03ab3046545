package org.jackdawslip.internal.account;

import java.util.List;

import org.jackdawslip.AccountName;
import org.jackdawslip.JackdawslipException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a key that is taken for a key of another account, and against keys that are kept in clear. */
class AccountDirectoryTest {

    private static ClientAccount account(String name) {
        return new ClientAccount(new AccountName(name), 1, new Quota(10, 5));
    }

    @Test
    void keyBelongsToItsAccountOnly() {
        AccountDirectory directory = AccountDirectory.builder()
                .add(account("a"), List.of("key-1", "key-2"))
                .add(account("b"), List.of("key-3"))
                .build();
        assertEquals("a", directory.find(KeyDigest.of("key-2")).name().value());
        assertEquals("b", directory.find(KeyDigest.of("key-3")).name().value());
        assertNull(directory.find(KeyDigest.of("key-4")));
        assertNull(directory.find(KeyDigest.of("KEY-3")));
        assertNull(directory.find(KeyDigest.of("")));
        assertEquals(2, directory.accounts().size());
        assertTrue(AccountDirectory.NONE.isEmpty());
        assertFalse(directory.isEmpty());
    }

    @Test
    void ambiguousAccountsAreRefusedWithoutNamingTheKey() {
        AccountDirectory.Builder builder = AccountDirectory.builder().add(account("a"), List.of("key-1", "key-1"));
        assertThrows(JackdawslipException.class, () -> builder.add(account("a"), List.of("key-2")));
        JackdawslipException shared =
                assertThrows(JackdawslipException.class, () -> builder.add(account("b"), List.of("key-1")));
        assertFalse(shared.getMessage().contains("key-1"), shared.getMessage());
    }

    @Test
    void changesNameAccountsAndDigests() {
        AccountDirectory before = AccountDirectory.builder()
                .add(account("a"), List.of("key-1", "moved"))
                .add(account("b"), List.of("key-2"))
                .build();
        AccountDirectory after = AccountDirectory.builder()
                .add(account("a"), List.of("key-1", "new"))
                .add(account("b"), List.of("key-2", "moved"))
                .build();
        assertEquals(List.of("a/" + KeyDigest.of("moved")), before.keysMissingIn(after));
        assertEquals(List.of("a/" + KeyDigest.of("new"), "b/" + KeyDigest.of("moved")), after.keysMissingIn(before));
        assertEquals(8, KeyDigest.of("new").toString().length());
    }

    /** An older configuration in the store with other accounts must be told from one with the same accounts. */
    @Test
    void equalityComparesAccountsAndKeys() {
        AccountDirectory directory =
                AccountDirectory.builder().add(account("a"), List.of("key-1")).build();
        assertEquals(
                directory,
                AccountDirectory.builder().add(account("a"), List.of("key-1")).build());
        assertNotEquals(
                directory,
                AccountDirectory.builder().add(account("a"), List.of("key-2")).build());
        assertNotEquals(
                directory,
                AccountDirectory.builder().add(account("a"), List.of()).build());
        assertNotEquals(directory, AccountDirectory.NONE);
    }
}
