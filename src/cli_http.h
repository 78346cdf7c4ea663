/*
 * cli_http.h - one HTTP request of the command and its answer.
 */
#ifndef BS_CLI_HTTP_H
#define BS_CLI_HTTP_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>

/* The answer to a request; a header that it lacks is NULL. */
typedef struct {
    long status;
    GString *body;
    char *request_id;
    char *outcome;
    char *ticket;
} BsExchange;

/* Sends a request with METHOD for PATH to ADDRESS (IP:port or a URL) and waits
   for the answer.  BODY may be NULL.  The answer's body is also written to
   ECHO as it arrives, unless ECHO is NULL.  Prints an error and returns false
   when there was no complete answer. */
bool BsExchange_Run(BsExchange *exchange, const char *address,
                    const char *method, const char *path,
                    struct curl_slist *headers, const char *body, FILE *echo);

/* Like BsExchange_Run(), but fails after TIMEOUT_MS unless it is 0. */
bool BsExchange_RunWithin(BsExchange *exchange, long timeout_ms,
                          const char *address, const char *method,
                          const char *path, struct curl_slist *headers,
                          const char *body, FILE *echo);

/* Frees the members of EXCHANGE. */
void BsExchange_Clear(BsExchange *exchange);

#endif /* BS_CLI_HTTP_H */
