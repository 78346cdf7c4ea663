/* main_boragespurd.c - entry point of the daemon. */
#include "d_daemon.h"
#include "startsignals.h"

int
main(int argc, char **argv)
{
    BsStartSignals_Hold();
    return BsDaemon_Main(argc, argv);
}
