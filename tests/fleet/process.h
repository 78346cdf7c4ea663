/*
 * process.h - child processes of a test and the ports they listen on.
 *
 * A child dies with its parent.  Signals go to single processes by id.
 */
#ifndef BS_PROCESS_H
#define BS_PROCESS_H

#include <glib.h>
#include <stdbool.h>

/* One child process. */
typedef struct {
    GPid pid; /* 0 once it has ended */
    int port; /* printed by a stand-in */
} BsProcess;

/* Starts PROGRAM with arguments ARGV, which ends with NULL and includes the
   program; its error output goes to the file LOG_PATH.  Aborts on failure. */
void BsProcess_Start(BsProcess *process, char **argv, const char *log_path);

/* As BsProcess_Start(), then waits for "listening 127.0.0.1:PORT". */
void BsProcess_StartStandin(BsProcess *process, char **argv,
                            const char *log_path);

/* Sends SIGNAL_NUMBER if the process still runs. */
void BsProcess_Signal(const BsProcess *process, int signal_number);

/* Waits up to LIMIT_MS for the end; returns the exit code, 128 + signal, or
   -1 when it still runs. */
int BsProcess_Wait(BsProcess *process, int limit_ms);

/* Kills the process and waits for it. */
void BsProcess_Kill(BsProcess *process);

/* Returns a TCP port of 127.0.0.1 that is free now, outside the range from
   which the system picks. */
int BsProcess_FreePort(void);

#endif /* BS_PROCESS_H */
