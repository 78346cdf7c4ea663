/*
 * startsignals.h - signals that arrive while a process starts.
 *
 * SIGHUP, SIGTERM and SIGINT end a process that does not watch them yet.  They
 * are held back from the first line of main() until all are watched, and then
 * have their usual effect.  Only their arrival before main() is left to the
 * starting process, which may block them: the mask is inherited, and
 * BsStartSignals_Release() unblocks them.
 */
#ifndef BS_STARTSIGNALS_H
#define BS_STARTSIGNALS_H

/* Blocks the signals; to be called first in main(). */
void BsStartSignals_Hold(void);

/* Unblocks the signals, whoever blocked them; to be called once all of them
   are watched. */
void BsStartSignals_Release(void);

#endif /* BS_STARTSIGNALS_H */
