/* main_boragespurd.c - entry point of the daemon. */
#include "d_daemon.h"

int
main(int argc, char **argv)
{
    return BsDaemon_Main(argc, argv);
}
