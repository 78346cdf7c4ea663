/*
 * standin.h - small HTTP servers that simulate outside systems in tests.
 *
 * Each subcommand is one process with one listening socket.  A handler runs
 * on the thread of its connection and may block.  Faults are set at run time
 * by PUT /control/fault with a JSON object.
 */
#ifndef BS_STANDIN_H
#define BS_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit codes of an engine that crashes. */
#define BS_STANDIN_EXIT_OVERLOADED 3
#define BS_STANDIN_EXIT_POISONED 4

/* One call with its complete body. */
typedef struct {
    struct MHD_Connection *connection;
    const char *method;
    const char *path;
    const char *body; /* NUL-terminated */
    size_t body_bytes;
} BsStandinCall;

/* Answers a call with BsStandin_Reply() or a similar function; MHD_NO closes
   the connection without an answer. */
typedef enum MHD_Result (*BsStandinHandler)(const BsStandinCall *call);

/* Serves PORT of 127.0.0.1 until SIGTERM or SIGINT; 0 picks a port.  Prints
   "listening 127.0.0.1:PORT" and returns an exit code. */
int BsStandin_Serve(int port, BsStandinHandler handler);

/* Returns whether CALL has this method and path. */
bool BsStandin_Matches(const BsStandinCall *call, const char *method,
                       const char *path);

/* Returns a request header, or NULL. */
const char *BsStandin_Header(const BsStandinCall *call, const char *name);

/* Returns an argument of the query string, or NULL. */
const char *BsStandin_Argument(const BsStandinCall *call, const char *name);

/* Queues RESPONSE and drops the reference to it. */
enum MHD_Result BsStandin_Queue(const BsStandinCall *call, unsigned status,
                                struct MHD_Response *response);

/* Replies with JSON and drops the reference to it. */
enum MHD_Result BsStandin_Reply(const BsStandinCall *call, unsigned status,
                                json_t *json);

/* Replies 503 with a header that says that the request was not started. */
enum MHD_Result BsStandin_Refuse(const BsStandinCall *call);

/* Makes the connection end with a TCP reset; returns MHD_NO. */
enum MHD_Result BsStandin_Reset(const BsStandinCall *call);

/* Returns whether the caller has closed its side of the connection. */
bool BsStandin_IsDisconnected(struct MHD_Connection *connection);

/* Returns monotonic time in milliseconds. */
int64_t BsStandin_NowMs(void);

/* Parses the flags; on an error prints it and returns false. */
bool BsStandin_ParseFlags(int *argc, char ***argv,
                          const GOptionEntry *entries);

/* Subcommands; each returns the exit code. */
int BsStandinEngine_Main(int argc, char **argv);
int BsStandinService_Main(int argc, char **argv);
int BsStandinPlatform_Main(int argc, char **argv);
int BsStandinCollector_Main(int argc, char **argv);

#endif /* BS_STANDIN_H */
