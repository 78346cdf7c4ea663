/* startsignals.c - signals that arrive while a process starts. */
#include "startsignals.h"

#include <signal.h>

static void
S_change_mask(int how)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(how, &set, NULL);
}

void
BsStartSignals_Hold(void)
{
    S_change_mask(SIG_BLOCK);
}

void
BsStartSignals_Release(void)
{
    S_change_mask(SIG_UNBLOCK);
}
