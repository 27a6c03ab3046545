package org.jackdawslip.internal.account;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jackdawslip.AccountName;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * The client accounts of one version of the configuration and the digests of their keys.
 *
 * <p>Invariants: it holds no key in clear; each key belongs to one account. Immutable and thread-safe.
 */
public final class AccountDirectory {

    /** The directory of a configuration without accounts. */
    public static final AccountDirectory NONE = builder().build();

    private final Map<AccountName, ClientAccount> accounts;
    private final Map<KeyDigest, ClientAccount> accountsByKey;

    private AccountDirectory(Builder builder) {
        this.accounts = Map.copyOf(builder.accounts);
        this.accountsByKey = Map.copyOf(builder.accountsByKey);
    }

    /** Returns a builder of a directory without accounts. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a directory. Not thread-safe. */
    public static final class Builder {
        private final Map<AccountName, ClientAccount> accounts = new LinkedHashMap<>();
        private final Map<KeyDigest, ClientAccount> accountsByKey = new LinkedHashMap<>();

        private Builder() {}

        /**
         * Adds an account with its keys.
         *
         * @throws JackdawslipException with {@link ErrorCode#INVALID_BUNDLE} if the account was added before or a key
         *     belongs to another account
         */
        public Builder add(ClientAccount account, List<String> keys) {
            if (accounts.putIfAbsent(account.name(), account) != null) {
                throw new JackdawslipException(
                        ErrorCode.INVALID_BUNDLE, "account \"" + account.name() + "\" occurs twice");
            }
            for (String key : keys) {
                ClientAccount other = accountsByKey.putIfAbsent(KeyDigest.of(key), account);
                if (other != null && other != account) {
                    throw new JackdawslipException(
                            ErrorCode.INVALID_BUNDLE,
                            "accounts \"" + other.name() + "\" and \"" + account.name() + "\" have the same key");
                }
            }
            return this;
        }

        /** Returns the directory. */
        public AccountDirectory build() {
            return new AccountDirectory(this);
        }
    }

    /** Returns whether there are no accounts, so that requests need no key. */
    public boolean isEmpty() {
        return accounts.isEmpty();
    }

    /** Returns all accounts, in no particular order. */
    public Collection<ClientAccount> accounts() {
        return accounts.values();
    }

    /** Returns the account that has the key, or null if there is none. */
    public ClientAccount find(KeyDigest key) {
        return accountsByKey.get(key);
    }

    /**
     * Returns the keys that an account has here and not in the other directory, each as the name of the account and
     * the short digest of the key. A key that another account has there is one of them.
     */
    public List<String> keysMissingIn(AccountDirectory other) {
        List<String> missing = new ArrayList<>();
        accountsByKey.forEach((key, account) -> {
            ClientAccount there = other.find(key);
            if (there == null || !there.name().equals(account.name())) {
                missing.add(account.name() + "/" + key);
            }
        });
        missing.sort(null);
        return missing;
    }

    /** Returns whether both directories have the same accounts with the same keys, priorities and quotas. */
    @Override
    public boolean equals(Object other) {
        return other instanceof AccountDirectory that
                && accounts.equals(that.accounts)
                && accountsByKey.equals(that.accountsByKey);
    }

    @Override
    public int hashCode() {
        return accountsByKey.hashCode();
    }
}
