/* main_boragespur.c - the command's entry point. */
#include "cli_command.h"

int
main(int argc, char **argv)
{
    return BsCommand_Main(argc, argv);
}
