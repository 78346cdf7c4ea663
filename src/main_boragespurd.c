/* main_boragespurd.c - the daemon's entry point. */
#include "d_daemon.h"

int
main(int argc, char **argv)
{
    return BsDaemon_Main(argc, argv);
}
