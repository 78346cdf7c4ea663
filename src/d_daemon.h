/*
 * d_daemon.h - the boragespurd process: event loop and tasks of an instance.
 */
#ifndef BS_D_DAEMON_H
#define BS_D_DAEMON_H

/* Runs boragespurd with its command line until it is stopped; returns the
   exit code: 0, or 2 for wrong usage or settings that cannot be used. */
int BsDaemon_Main(int argc, char **argv);

#endif /* BS_D_DAEMON_H */
