/*
 * d_daemon.h - an instance: the loop and all tasks in it.
 */
#ifndef BS_D_DAEMON_H
#define BS_D_DAEMON_H

/* Runs boragespurd with its command line; returns the exit code. */
int BsDaemon_Main(int argc, char **argv);

#endif /* BS_D_DAEMON_H */
