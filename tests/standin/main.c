/* main.c - chooses the stand-in by subcommand. */
#include "standin.h"

#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2

typedef struct {
    const char *name;
    int (*run)(int argc, char **argv);
} S_Command;

static const S_Command S_commands[] = {
    {"engine", BsStandinEngine_Main},
    {"service", BsStandinService_Main},
    {"platform", BsStandinPlatform_Main},
    {"collector", BsStandinCollector_Main},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(S_commands); i++) {
        if (strcmp(argv[1], S_commands[i].name) == 0) {
            return S_commands[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr,
            "usage: standin engine|service|platform|collector [FLAGS]\n");
    return EXIT_USAGE;
}
