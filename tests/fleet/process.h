/*
 * process.h - child processes of a test and the ports they listen on.
 *
 * A child is killed when its parent ends.  Signals go to single processes, by
 * process id.
 */
#ifndef BS_PROCESS_H
#define BS_PROCESS_H

#include <glib.h>
#include <stdbool.h>

/* One child process. */
typedef struct {
    GPid pid; /* 0 once it has ended */
    int port; /* that a stand-in printed, else 0 */
} BsProcess;

/* Starts the program ARGV[0] with the arguments ARGV, which end with NULL; its
   output goes to the file LOG_PATH.  Aborts on failure. */
void BsProcess_Start(BsProcess *process, char **argv, const char *log_path);

/* Like BsProcess_Start(), then reads "listening 127.0.0.1:PORT" from the
   standard output and sets the port. */
void BsProcess_StartStandin(BsProcess *process, char **argv,
                            const char *log_path);

/* Sends SIGNAL_NUMBER unless the process has ended. */
void BsProcess_Signal(const BsProcess *process, int signal_number);

/* Waits up to LIMIT_MS for the end; returns the exit code, 128 + signal, or
   -1 if it still runs. */
int BsProcess_Wait(BsProcess *process, int limit_ms);

/* Kills the process and waits for it. */
void BsProcess_Kill(BsProcess *process);

/* Returns a TCP port of 127.0.0.1 that is free now, outside the range of
   ephemeral ports. */
int BsProcess_FreePort(void);

#endif /* BS_PROCESS_H */
