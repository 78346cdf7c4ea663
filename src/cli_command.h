/*
 * cli_command.h - the subcommands of the boragespur command line program.
 *
 * Rules: exit code 0 means success, 1 a negative answer or none, 2 wrong usage
 * or settings; --json prints one JSON document.
 */
#ifndef BS_CLI_COMMAND_H
#define BS_CLI_COMMAND_H

#include <glib.h>
#include <stdbool.h>

#define BS_EXIT_OK 0
#define BS_EXIT_NEGATIVE 1
#define BS_EXIT_USAGE 2

/* Options shared by the subcommands. */
typedef struct {
    char *admin;   /* IP:port of an instance's admin address */
    char *callers; /* IP:port of an instance's callers' address */
    char *token;   /* bearer token */
    char *key;     /* idempotency key */
    char *ticket;
    char *tier;
    char *method;
    char *data;           /* body of the request, or @FILE */
    gint64 deadline_ms;   /* 0 sends none */
    char *platform;       /* address of the configuration service */
    char *host;           /* of a request to explain */
    char *path;           /* of a request to explain */
    char *account;        /* of a request to explain; NULL: none */
    gint64 prompt_tokens; /* of a request to explain; -1: not stated */
    gint64 output_tokens; /* of a request to explain; -1: not stated */
    char *log; /* log files of gateways, separated by commas; "-" for standard
                  input */
    gboolean json;
    gboolean html;
} BsCommandOptions;

/* Runs the command line; returns the exit code. */
int BsCommand_Main(int argc, char **argv);

/* Validates FILE: a sheet, or settings of a daemon or gateway. */
int BsCommand_Check(const BsCommandOptions *options, const char *file);

/* Sends a request for PATH to an instance and prints answer and outcome. */
int BsCommand_Send(const BsCommandOptions *options, const char *path);

/* Prints the status of an instance. */
int BsCommand_Status(const BsCommandOptions *options, const char *argument);

/* Prints what an instance knows about the request ID, or, if log files are
   given, what they contain about it.  Without ID, prints where a gateway would
   send the request that the options describe. */
int BsCommand_Explain(const BsCommandOptions *options, const char *id);

/* Prints where a gateway would send a request now, and why; see
   docs/design/explain.md. */
int BsCommand_ExplainRequest(const BsCommandOptions *options);

/* Prints the daily report, from the metrics of the instances at ADDRESSES
   (admin addresses, separated by commas).  Returns a BsDailyReportResult; 3
   means that not everything is known. */
int BsCommand_Evening(const BsCommandOptions *options, const char *addresses);

/* Starts a planned stop of an instance, without waiting for its end. */
int BsCommand_Drain(const BsCommandOptions *options, const char *argument);

#endif /* BS_CLI_COMMAND_H */
