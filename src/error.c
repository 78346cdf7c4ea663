/* error.c - typed error kinds with message and remedy. */
#include "boragespur.h"

G_DEFINE_QUARK(bs - error - quark, bs_error)

static const BsErrorText S_errors[BS_ERR_COUNT] = {
    [BS_ERR_NONE] = {"none", 200, "no error", "nothing to do"},
    [BS_ERR_SETTINGS] = {"settings", 500, "the settings are invalid",
                         "correct the named key and run boragespur check"},
    [BS_ERR_SHEET] = {"sheet", 500, "the sheet is invalid",
                      "correct the named key and publish a new revision"},
    [BS_ERR_MESSAGE] = {"message", 500, "the peer message is invalid",
                        "run the same release on every instance"},
    [BS_ERR_BAD_REQUEST] = {"bad_request", 400, "the request is malformed",
                            "correct the request and send it again"},
    [BS_ERR_UNAUTHORIZED] = {"unauthorized", 401,
                             "the bearer token is not known",
                             "send Authorization: Bearer with a token "
                             "listed in the sheet"},
    [BS_ERR_UNKNOWN_MODEL] = {"unknown_model", 404,
                              "no such model is configured",
                              "choose one of GET /v1/models"},
    [BS_ERR_UNKNOWN_SERVICE] = {"unknown_service", 404,
                                "no such service is configured",
                                "use a service named in the sheet"},
    [BS_ERR_UNKNOWN_TIER] = {"unknown_tier", 400, "no such tier is configured",
                             "use a tier named in the sheet"},
    [BS_ERR_TOO_LARGE] = {"too_large", 413, "the request exceeds a size limit",
                          "send a smaller request"},
    [BS_ERR_ACCOUNT_LIMIT] = {"account_limit", 429,
                              "the account is at its limit",
                              "send it again after Retry-After"},
    [BS_ERR_OVERLOADED] = {"overloaded", 503, "there is no capacity left",
                           "send it again after Retry-After"},
    [BS_ERR_DEADLINE] = {"deadline", 504, "the deadline cannot be met",
                         "send it again with a later deadline"},
    [BS_ERR_NO_UPSTREAM] = {"no_upstream", 503, "no open upstream serves this",
                            "send it again after Retry-After"},
    [BS_ERR_UPSTREAM_FAILED] = {"upstream_failed", 502, "the upstream failed",
                                "ask GET /v1/requests/ID for the outcome"},
    [BS_ERR_UPSTREAM_REFUSED] = {"upstream_refused", 503,
                                 "the upstream refused the request",
                                 "send it again after Retry-After"},
    [BS_ERR_CONNECT] = {"connect", 503, "the upstream cannot be reached",
                        "send it again after Retry-After"},
    [BS_ERR_PEER_LOST] = {"peer_lost", 502,
                          "the instance holding the request was lost",
                          "send it again with the same Idempotency-Key"},
    [BS_ERR_KEY_CONFLICT] = {"key_conflict", 422,
                             "the key was used with another body",
                             "use a new Idempotency-Key for a new request"},
    [BS_ERR_KEY_UNCERTAIN] = {"key_uncertain", 409,
                              "an earlier attempt with this key may have run",
                              "ask the service whether it has run before "
                              "sending it under a new key"},
    [BS_ERR_TICKET] = {"ticket", 409, "the ticket's keeper is gone",
                       "get a new one from POST /v1/tickets if the ticket "
                       "was never used"},
    [BS_ERR_QUARANTINED] = {"quarantined", 422,
                            "the request crashed its upstreams",
                            "change the request before sending it again"},
    [BS_ERR_DRAINING] = {"draining", 503, "the instance is stopping",
                         "send it again to another instance"},
    [BS_ERR_MEMORY_FULL] = {"memory_full", 503, "a table is full",
                            "send it again after Retry-After"},
    [BS_ERR_NOT_READY] = {"not_ready", 503,
                          "the instance has no sheet or list yet",
                          "send it again after Retry-After"},
    [BS_ERR_CANCELLED] = {"cancelled", 499, "the caller went away",
                          "send it again"},
    [BS_ERR_NOT_FOUND] = {"not_found", 404, "no such request is known",
                          "check the request id and the account"},
    [BS_ERR_INCARNATION] = {"incarnation", 503, "the instance was replaced",
                            "send it again after Retry-After"},
    [BS_ERR_NOT_KEEPER] = {"not_keeper", 503,
                           "the instances disagree on the list",
                           "send it again after Retry-After"},
    [BS_ERR_KEY_MOVED] = {"key_moved", 503,
                          "another instance holds the record",
                          "send it again with the same Idempotency-Key"},
    [BS_ERR_ANSWER_LOST] = {"answer_lost", 410,
                            "the request ran; its answer is not kept",
                            "read the result from the service; do not send "
                            "it again under a new key"},
    [BS_ERR_VERSION_GONE] = {"version_gone", 502,
                             "no engine has the model version that began "
                             "the stream",
                             "send the request again from its start"},
};

const BsErrorText *
BsError_Describe(BsErrorKind kind)
{
    if ((unsigned)kind >= BS_ERR_COUNT || S_errors[kind].name == NULL) {
        kind = BS_ERR_NONE;
    }
    return &S_errors[kind];
}
