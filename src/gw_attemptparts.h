/*
 * gw_attemptparts.h - attempts, shared by gw_attempt.c (start, end, retries),
 * gw_attemptanswer.c (answers), gw_attemptend.c (how attempts ended) and
 * gw_attemptsilence.c (silent upstreams).
 */
#ifndef BS_GW_ATTEMPTPARTS_H
#define BS_GW_ATTEMPTPARTS_H

#include "gw_relayparts.h"

/* Returns whether the request may run more than once. */
bool BsAttempt_MayRepeat(const BsRelay *relay);

/* Returns whether an answer of another run can be sent to the caller: it has
   received nothing yet, or an event stream that can be resumed. */
bool BsAttempt_MayContinue(const BsRelay *relay);

/* Returns whether the request may be sent to another upstream after this
   attempt. */
bool BsAttempt_MayRetry(const BsRelay *relay);

/* Excludes upstream ID from further attempts, as far as there is room. */
void BsAttempt_Exclude(BsRelay *relay, const char *id);

/* Logs that no requests are sent to UPSTREAM for PAUSE_MS. */
void BsAttempt_LogPause(BsGate *gate, const char *upstream, int64_t pause_ms);

/* Tells the retry budget that ATTEMPT, if it is a repeat that counts as open,
   has arrived at its upstream, or that it was given up without an answer. */
void BsAttempt_Settle(const BsRelay *relay, BsRelayAttempt *attempt,
                      bool arrived);

/* Returns the hash of the attempt's upstream and its start. */
uint32_t BsAttempt_HashUpstream(const BsRelayAttempt *attempt);

/* Returns whether the upstream has begun the answer without an event on shared
   parts of a prompt, which may crash it. */
bool BsAttempt_SuspectsParts(const BsRelay *relay,
                             const BsRelayAttempt *attempt);

/* Returns the number of ATTEMPT in the fleet, which is not 0. */
uint64_t BsAttempt_Id(const BsRelay *relay, const BsRelayAttempt *attempt);

/* Returns whether the request may be sent once more.  Every send but the first
   costs retry budget, which is taken here. */
bool BsAttempt_TakeSend(BsRelay *relay);

/* Counts and logs a retry with its CAUSE, and sends the request again. */
void BsAttempt_DispatchAgain(BsRelay *relay, const char *cause);

/* The attempt ended without an answer that can be forwarded. */
void BsAttempt_OnFailure(BsRelay *relay, BsTargetEnd end, const char *cause);

/* The request was not sent, or the upstream answered that it has not run. */
void BsAttempt_OnNotRun(BsRelay *relay, BsTargetEnd end, const char *cause);

/* Returns the hash of the request's id; 0: it has none. */
uint64_t BsAttempt_HashId(const BsRelay *relay);

/* Returns whether there is an alternative to the request's upstream, among
   those that have sent something since SPOKE_SINCE_MS: BS_TARGET_CHOSEN when
   another one has a free slot now. */
BsTargetVerdict BsAttempt_FindAlternative(BsRelay *relay,
                                          int64_t spoke_since_ms);

#endif /* BS_GW_ATTEMPTPARTS_H */
