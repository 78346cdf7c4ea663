/*
 * cli_http.h - one HTTP exchange of the command.
 */
#ifndef BS_CLI_HTTP_H
#define BS_CLI_HTTP_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>

typedef struct {
    long status;
    GString *body;
    char *request_id;
    char *outcome;
    char *ticket;
} BsExchange;

/* Sends METHOD to PATH at ADDRESS (IP:port or a URL) and waits.  BODY may be
   NULL.  Body bytes are also written to ECHO unless it is NULL.  Prints a
   line to standard error and returns false when there was no answer. */
bool BsExchange_Run(BsExchange *exchange, const char *address,
                    const char *method, const char *path,
                    struct curl_slist *headers, const char *body, FILE *echo);

/* As BsExchange_Run(), but gives up after TIMEOUT_MS unless it is 0. */
bool BsExchange_RunWithin(BsExchange *exchange, long timeout_ms,
                          const char *address, const char *method,
                          const char *path, struct curl_slist *headers,
                          const char *body, FILE *echo);

/* Frees what EXCHANGE holds. */
void BsExchange_Clear(BsExchange *exchange);

#endif /* BS_CLI_HTTP_H */
