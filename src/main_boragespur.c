/* main_boragespur.c - entry point of the command line program. */
#include "cli_command.h"

int
main(int argc, char **argv)
{
    return BsCommand_Main(argc, argv);
}
