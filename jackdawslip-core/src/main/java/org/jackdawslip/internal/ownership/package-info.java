/**
 * Decides which instance may send requests to each backend server and which backend server owns each key
 * range.
 *
 * <p>The instances of a failure domain are its members. A coordinator record in the store names the
 * coordinator, which assigns the ranges; the successor, which may take over; and the witness, without whose
 * consent the successor may not take over. Every change of the record raises its epoch. The homes records in
 * the store assign each range to a failure domain. The coordinator publishes the assignments as versioned
 * tables.
 *
 * <p>Replies to heartbeats carry short leases. A permit lets a member renew grants, and send to backend
 * servers that do not check tokens. A promise lets the coordinator act: while it is valid, the successor does
 * not take over, or the witness does not consent to a takeover. A grant lets a backend server run requests
 * for a range; the sender of the backend server renews it with grant calls. A member is unfenced while it may
 * hold permits of a successor that was replaced.
 */
package org.jackdawslip.internal.ownership;
